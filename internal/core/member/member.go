// Package member decides which routers are members of the fleet. It follows
// SWIM (Das, Gupta, Motivala 2002): probes, indirect probes through others, a
// suspicion time in which a member can refute, and updates that are piggybacked
// on the probes. It differs in whom a router talks to: members stand on a ring in
// the order of their IDs' hashes; each probes the one behind it and passes
// changes on to those 1, 2, 4, 8, ... places behind it. So each member is
// probed once a period, a change reaches all in log2(n) hops, and a router
// keeps connections to a few others only.
//
// The package has no input or output. Time is the monotonic time since the
// process started, randomness comes from the configuration. A [Node] belongs
// to one goroutine.
package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Times of the protocol. A member that is killed is out of all views after at
// most ProbePeriod + ProbeFailure + SuspicionTime and a few ticks.
const (
	TickPeriod    = 100 * time.Millisecond // how often Tick should be called
	ProbePeriod   = time.Second
	ProbeTimeout  = 300 * time.Millisecond // then others are asked to probe
	ProbeFailure  = 800 * time.Millisecond // then the member is suspect
	SuspicionTime = 1500 * time.Millisecond

	tombstoneTime = 10 * time.Minute       // dead members are remembered this long
	pauseMin      = 500 * time.Millisecond // between two ticks: this process was paused
	syncGap       = 500 * time.Millisecond // between two whole-view exchanges begun here
	contactMin    = 2 * time.Second        // between tries to reach who is not a member
	contactMax    = 30 * time.Second
	relayTime     = time.Second // for the answer to a probe on behalf of another
)

// Bounds of the protocol.
const (
	indirectProbes  = 2
	fingerEvery     = 8  // periods between probes of another finger
	retransmissions = 3  // an update is piggybacked this often on probes after it was passed on
	maxPiggyback    = 8  // updates on one probe
	maxUpdates      = 32 // updates in one Gossip
	maxMembers      = 4096
	maxName         = 64 // bytes of an ID or a data centre
	maxRelays       = 256
	mismatches      = 2 // differing digests in a row from a peer before views are exchanged
)

// Config says who this router is.
type Config struct {
	ID          msg.RouterID
	Incarnation uint64 // higher at each start of the process
	DataCentre  string
	Rand        *rand.Rand
}

// Candidate is a router that may exist: a seed, or an entry of the lagging
// host list.
type Candidate struct {
	ID      msg.RouterID
	Leaving bool
}

// Member is a router in the view.
type Member struct {
	ID          msg.RouterID
	Incarnation uint64
	DataCentre  string
	State       State // Alive, Leaving or Suspect
}

// NewerSettings says that a peer has a higher settings version in force.
type NewerSettings struct {
	From    msg.RouterID
	Version uint64
}

// Ready is what the caller has to do.
type Ready struct {
	Send []Outgoing
	// Sync names routers to exchange views with: send them SyncRequest over a
	// conversation and give the answer to SyncDone.
	Sync []msg.RouterID
	// Changed says that Members differs from what it was.
	Changed bool
	// Newer is set when a peer has newer settings than this router.
	Newer NewerSettings
	// Superseded is set when the fleet knows a higher incarnation of this
	// router: the process must start again with a higher one than this.
	Superseded uint64
}

// Node is one router's view of the fleet.
type Node struct {
	config   Config
	self     Update
	settings uint64
	members  map[msg.RouterID]*entry // without self
	order    []msg.RouterID          // keys of members, sorted
	hints    map[msg.RouterID]Candidate
	contacts []msg.RouterID // keys of hints, sorted

	ring   []place // nil: to be rebuilt
	digest uint64
	joined bool

	lastTick    time.Duration
	nextProbe   time.Duration
	nextContact time.Duration
	contactTurn int // starts at random, so that routers turn to different ones
	nextSync    time.Duration
	nextFlood   time.Duration
	periods     int
	seq         uint64
	probes      []probe
	relays      []relay

	fresh     []msg.RouterID       // to be passed on at once
	piggyback map[msg.RouterID]int // to go with probes this many times more
	announce  bool                 // settings are to be passed on
	ready     Ready
}

// entry is what a node knows of another router.
type entry struct {
	Update
	deadline time.Duration // of a Suspect: when dead; of a Dead or Left: when forgotten
	differ   int           // differing digests in a row
}

// New returns a node that knows only itself.
func New(config Config) *Node {
	n := &Node{
		config:    config,
		members:   map[msg.RouterID]*entry{},
		hints:     map[msg.RouterID]Candidate{},
		piggyback: map[msg.RouterID]int{},
		self: Update{
			ID:          config.ID,
			Incarnation: config.Incarnation,
			DataCentre:  config.DataCentre,
			State:       Alive,
		},
	}
	n.nextProbe = time.Duration(config.Rand.Int64N(int64(ProbePeriod)))
	n.contactTurn = config.Rand.IntN(maxMembers)
	n.disseminate(n.self.ID)
	return n
}

// Candidates replaces the routers that may exist. Being on the list makes no
// router a member; one that is marked leaving there is shown as leaving.
func (n *Node) Candidates(now time.Duration, list []Candidate) {
	hints := make(map[msg.RouterID]Candidate, len(list))
	for _, c := range list {
		if c.ID == n.self.ID || len(c.ID) > maxName {
			continue
		}
		hints[c.ID] = c
		if hints[c.ID].Leaving != n.hints[c.ID].Leaving {
			n.ready.Changed = true
		}
	}
	n.hints = hints
	n.contacts = n.contacts[:0]
	for id := range hints {
		n.contacts = append(n.contacts, id)
	}
	slices.Sort(n.contacts)
	if !n.joined {
		n.nextContact = now
	}
}

// SetSettings tells the settings version in force here, which is passed on.
func (n *Node) SetSettings(now time.Duration, version uint64) {
	if version <= n.settings {
		return
	}
	n.settings = version
	n.announce = true
	n.flood(now)
}

// Leave announces that this router finishes its work and takes no more.
func (n *Node) Leave(now time.Duration) { n.end(now, Leaving) }

// Depart announces the end of this process. Nothing is to be called after it
// but Ready.
func (n *Node) Depart(now time.Duration) {
	n.nextFlood = now
	n.end(now, Left)
}

func (n *Node) end(now time.Duration, state State) {
	if n.self.State >= state {
		return
	}
	n.self.State = state
	n.self.Refutation++
	n.changed()
	n.disseminate(n.self.ID)
	n.flood(now)
}

// Joined says whether this router has exchanged views with another.
func (n *Node) Joined() bool { return n.joined }

// Ready returns what is to be done and forgets it. It is called after each
// other call.
func (n *Node) Ready() Ready {
	r := n.ready
	n.ready = Ready{}
	return r
}

// Members returns the view, this router included, in the order of IDs.
func (n *Node) Members() []Member {
	list := []Member{n.member(n.self)}
	for _, id := range n.order {
		if e := n.members[id]; e.State.present() {
			list = append(list, n.member(e.Update))
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

func (n *Node) member(u Update) Member {
	state := u.State
	if state == Alive && n.hints[u.ID].Leaving {
		state = Leaving
	}
	return Member{ID: u.ID, Incarnation: u.Incarnation, DataCentre: u.DataCentre, State: state}
}

func (n *Node) send(to msg.RouterID, m Message) {
	m.Incarnation = n.self.Incarnation
	m.Settings = n.settings
	n.ready.Send = append(n.ready.Send, Outgoing{To: to, Message: m})
}

// changed notes that the view differs.
func (n *Node) changed() {
	n.ring = nil
	n.ready.Changed = true
}
