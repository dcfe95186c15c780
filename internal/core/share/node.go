package share

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Node is one router's part in the sharing.
type Node struct {
	cfg       Config
	now       time.Duration
	members   members
	servers   []msg.ServerID
	addrs     map[msg.ServerID]Addr
	entry     entry
	admit     admitter
	directory directory
	tree      tree
	seq       uint64
	outbox    map[msg.RouterID]*Message
	order     []msg.RouterID // of the outbox, for equal runs
	local     []*Message     // to this router itself
	ready     Ready
}

// New returns a Node that knows no member but itself.
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

// advance takes the time, which never goes back within a Node.
func (n *Node) advance(now time.Duration) {
	n.now = max(n.now, now)
}

// Arrive takes a request that waits for a slot. The answer comes as a Start or
// Refuse, perhaps at once.
func (n *Node) Arrive(now time.Duration, r Request) {
	n.advance(now)
	n.entry.arrive(r)
	n.settle()
}

// Cancel forgets a waiting request. A started one is ended with End.
func (n *Node) Cancel(now time.Duration, id msg.RequestID) {
	n.advance(now)
	n.entry.cancel(id)
	n.settle()
}

// Progress says what a started request has cost so far.
func (n *Node) Progress(now time.Duration, id msg.RequestID, cost msg.Cost) {
	n.advance(now)
	n.entry.progress(id, cost)
}

// End gives a started request's slot back. A second End is ignored.
func (n *Node) End(now time.Duration, id msg.RequestID, r Result) {
	n.advance(now)
	n.entry.end(id, r)
	n.settle()
}

// SetMembers replaces the live routers; this router is always among them. An
// unchanged list costs next to nothing.
func (n *Node) SetMembers(now time.Duration, list []Member) {
	n.advance(now)
	list = withSelf(list, n.self())
	if n.members.same(list) {
		return
	}
	n.members = newMembers(list)
	n.admit.membersChanged()
	n.entry.membersChanged()
	n.directory.membersChanged()
	n.tree.membersChanged()
	n.settle()
}

// SetServers replaces the backend servers that may be given new work. A router
// that drains sets none.
func (n *Node) SetServers(now time.Duration, list []msg.ServerID) {
	n.advance(now)
	if slices.Equal(n.servers, list) {
		return
	}
	n.servers = append([]msg.ServerID(nil), list...)
	n.admit.assign()
	n.settle()
}

// SetAddrs replaces the addresses that grants carry.
func (n *Node) SetAddrs(addrs map[msg.ServerID]Addr) { n.addrs = addrs }

// Load takes a server's load report. Reports of servers that this router does
// not admit to are ignored.
func (n *Node) Load(now time.Duration, r LoadReport) {
	n.advance(now)
	n.admit.load(r)
	n.settle()
}

// SetSettings says which version of the settings is in force here.
func (n *Node) SetSettings(now time.Duration, version uint64) {
	n.advance(now)
	n.tree.settings = max(n.tree.settings, version)
}

// Step takes a message of another router.
func (n *Node) Step(now time.Duration, from msg.RouterID, m *Message) {
	n.advance(now)
	n.step(from, m)
	n.settle()
}

// Tick lets time pass. The shell calls it every 5 to 10 milliseconds.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	n.admit.tick()
	n.entry.tick()
	n.directory.tick()
	n.tree.tick()
	n.settle()
}

// Ready returns what there is to do, and forgets it.
func (n *Node) Ready() Ready {
	for _, to := range n.order {
		n.ready.Send = append(n.ready.Send, Outgoing{To: to, Message: n.outbox[to]})
		delete(n.outbox, to)
	}
	n.order = n.order[:0]
	r := n.ready
	n.ready = Ready{}
	return r
}

// step applies one message, part by part.
func (n *Node) step(from msg.RouterID, m *Message) {
	if !n.admit.entrySeen(from, m) {
		return
	}
	if m.Of == n.cfg.Incarnation {
		for _, e := range m.Ends {
			n.admit.end(from, e)
		}
		if m.Held != nil {
			n.admit.held(from, m)
		}
	}
	for _, w := range m.Waits {
		n.admit.wait(from, m, w)
	}
	for _, h := range m.Haves {
		n.directory.have(from, m.Incarnation, h)
	}
	for _, a := range m.Asks {
		n.directory.ask(from, a)
	}
	for _, a := range m.Admitters {
		n.entry.admitters(a)
	}
	for _, num := range m.Forgot {
		n.entry.forgot(from, num)
	}
	if m.Of == 0 || m.Of == n.cfg.Incarnation {
		for _, g := range m.Grants {
			n.entry.grant(from, m.Incarnation, g)
		}
	}
	for _, o := range m.Offers {
		n.entry.offer(o)
	}
	if m.Up != nil {
		n.tree.up(from, m.Incarnation, m.Up)
	}
	if m.Down != nil {
		n.tree.down(from, m.Incarnation, m.Down)
	}
}

// settle grants what can be granted and applies what this router has told
// itself, until nothing is left.
func (n *Node) settle() {
	for {
		n.entry.sync()
		n.admit.grantAll()
		if len(n.local) == 0 {
			return
		}
		list := n.local
		n.local = nil
		for _, m := range list {
			n.step(n.cfg.ID, m)
		}
	}
}

// to returns the message under way to a router, to add parts to.
func (n *Node) to(id msg.RouterID) *Message {
	if id == n.cfg.ID {
		m := n.newMessage()
		n.local = append(n.local, m)
		return m
	}
	m, ok := n.outbox[id]
	if !ok {
		m = n.newMessage()
		n.outbox[id] = m
		n.order = append(n.order, id)
	}
	return m
}

func (n *Node) newMessage() *Message {
	return &Message{Incarnation: n.cfg.Incarnation}
}

// SetQueueLimits replaces the limits on all waiting requests of the router.
func (n *Node) SetQueueLimits(bytes int64, requests int) {
	n.cfg.QueueBytes, n.cfg.QueueRequests = bytes, requests
}

// Counts returns how many requests wait and run at this entry.
func (n *Node) Counts() (waiting, running int) {
	return len(n.entry.waiting), len(n.entry.running)
}
