package share

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Node is one router's part in the sharing of slots.
type Node struct {
	cfg           Config
	now           time.Duration
	members       members
	servers       []msg.ServerID
	addrs         map[msg.ServerID]Addr
	entry         entry
	admit         admitter
	directory     directory
	tree          tree
	seq           uint64
	outbox        map[msg.RouterID]*Message
	outboxOrder   []msg.RouterID // keys of outbox in order of insertion, so that runs are deterministic
	localMessages []*Message     // addressed to this router itself
	ready         Ready
}

// New returns a Node whose only member is itself.
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	n := &Node{cfg: cfg, outbox: map[msg.RouterID]*Message{}}
	n.entry = newEntry(n)
	n.admit = newAdmitter(n)
	n.directory = newDirectory(n)
	n.tree = newTree(n)
	n.members = newMembers([]Member{n.self()})
	return n
}

func (n *Node) self() Member {
	return Member{ID: n.cfg.ID, Incarnation: n.cfg.Incarnation, DataCentre: n.cfg.DataCentre}
}

// advance sets the time, which never goes back within a Node.
func (n *Node) advance(now time.Duration) {
	n.now = max(n.now, now)
}

// Arrive adds a request that waits for a slot. The result is a Start or a
// Refusal, possibly at once.
func (n *Node) Arrive(now time.Duration, r Request) {
	n.advance(now)
	n.entry.arrive(r)
	n.process()
}

// Cancel removes a waiting request. Started requests are ended with End.
func (n *Node) Cancel(now time.Duration, id msg.RequestID) {
	n.advance(now)
	n.entry.cancel(id)
	n.process()
}

// Progress reports what a started request has cost so far.
func (n *Node) Progress(now time.Duration, id msg.RequestID, cost msg.Cost) {
	n.advance(now)
	n.entry.progress(id, cost)
}

// End returns the slot of a started request. Repeated calls are ignored.
func (n *Node) End(now time.Duration, id msg.RequestID, r Result) {
	n.advance(now)
	n.entry.end(id, r)
	n.process()
}

// SetMembers replaces the set of live routers, which always includes this one.
// Setting an unchanged list is cheap.
func (n *Node) SetMembers(now time.Duration, list []Member) {
	n.advance(now)
	list = withSelf(list, n.self())
	if n.members.equal(list) {
		return
	}
	n.members = newMembers(list)
	n.admit.membersChanged()
	n.entry.membersChanged()
	n.directory.membersChanged()
	n.tree.membersChanged()
	n.process()
}

// SetServers replaces the set of backend servers that may be given new
// requests. A draining router sets none.
func (n *Node) SetServers(now time.Duration, list []msg.ServerID) {
	n.advance(now)
	if slices.Equal(n.servers, list) {
		return
	}
	n.servers = append([]msg.ServerID(nil), list...)
	n.admit.assign()
	n.process()
}

// SetAddrs replaces the server addresses that grants carry.
func (n *Node) SetAddrs(addrs map[msg.ServerID]Addr) { n.addrs = addrs }

// HandleLoadReport applies a server's load report. Reports of servers that this
// router does not admit to are ignored.
func (n *Node) HandleLoadReport(now time.Duration, r LoadReport) {
	n.advance(now)
	n.admit.handleLoadReport(r)
	n.process()
}

// SetSettingsVersion reports which version of the settings is in force here.
func (n *Node) SetSettingsVersion(now time.Duration, version uint64) {
	n.advance(now)
	n.tree.settings = max(n.tree.settings, version)
}

// HandleMessage applies a message of another router.
func (n *Node) HandleMessage(now time.Duration, from msg.RouterID, m *Message) {
	n.advance(now)
	n.apply(from, m)
	n.process()
}

// Tick advances the time and runs what is due. The shell calls it every 5 to 10
// milliseconds.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	n.admit.tick()
	n.entry.tick()
	n.directory.tick()
	n.tree.tick()
	n.process()
}

// Ready returns the pending actions and clears them.
func (n *Node) Ready() Ready {
	for _, to := range n.outboxOrder {
		n.ready.Send = append(n.ready.Send, Outgoing{To: to, Message: n.outbox[to]})
		delete(n.outbox, to)
	}
	n.outboxOrder = n.outboxOrder[:0]
	r := n.ready
	n.ready = Ready{}
	return r
}

// apply applies each part of a message.
func (n *Node) apply(from msg.RouterID, m *Message) {
	if !n.admit.noteEntry(from, m) {
		return
	}
	if m.ReceiverIncarnation == n.cfg.Incarnation {
		for _, r := range m.Releases {
			n.admit.handleRelease(from, r)
		}
		if m.KeepAlive != nil {
			n.admit.handleKeepAlive(from, m)
		}
	}
	for _, r := range m.Registrations {
		n.admit.handleRegistration(from, m, r)
	}
	for _, c := range m.Capacities {
		n.directory.handleCapacity(from, m.Incarnation, c)
	}
	for _, d := range m.Demands {
		n.directory.handleDemand(from, d)
	}
	for _, list := range m.AdmitterLists {
		n.entry.handleAdmitterList(list)
	}
	for _, num := range m.UnknownQueues {
		n.entry.handleUnknownQueue(from, num)
	}
	if m.ReceiverIncarnation == 0 || m.ReceiverIncarnation == n.cfg.Incarnation {
		for _, g := range m.Grants {
			n.entry.handleGrant(from, m.Incarnation, g)
		}
	}
	for _, o := range m.Offers {
		n.entry.handleOffer(o)
	}
	if m.ServiceReport != nil {
		n.tree.handleReport(from, m.Incarnation, m.ServiceReport)
	}
	if m.FleetTotals != nil {
		n.tree.handleTotals(from, m.Incarnation, m.FleetTotals)
	}
}

// process grants slots and applies this router's messages to itself until
// nothing is left to do.
func (n *Node) process() {
	for {
		n.entry.syncRegistrations()
		n.admit.grantAll()
		if len(n.localMessages) == 0 {
			return
		}
		list := n.localMessages
		n.localMessages = nil
		for _, m := range list {
			n.apply(n.cfg.ID, m)
		}
	}
}

// messageTo returns the pending message to a router, to add parts to.
func (n *Node) messageTo(id msg.RouterID) *Message {
	if id == n.cfg.ID {
		m := n.newMessage()
		n.localMessages = append(n.localMessages, m)
		return m
	}
	m, ok := n.outbox[id]
	if !ok {
		m = n.newMessage()
		n.outbox[id] = m
		n.outboxOrder = append(n.outboxOrder, id)
	}
	return m
}

func (n *Node) newMessage() *Message {
	return &Message{Incarnation: n.cfg.Incarnation}
}

// SetQueueLimits replaces the limits on the router's waiting requests.
func (n *Node) SetQueueLimits(bytes int64, requests int) {
	n.cfg.QueueBytes, n.cfg.QueueRequests = bytes, requests
}

// Counts returns how many requests wait and run at this entry.
func (n *Node) Counts() (waiting, running int) {
	return len(n.entry.waiting), len(n.entry.running)
}
