// Package member implements the membership protocol of the fleet's routers. It
// follows SWIM (Das, Gupta, Motivala 2002): direct probes, indirect probes
// through other members, a suspicion timeout during which a member can refute,
// and updates piggybacked on probes. Unlike SWIM, peers are not chosen at
// random: members form a ring ordered by the hashes of their IDs, each member
// probes its successor and gossips changes to its fingers, the members 1, 2, 4,
// 8, ... positions after it. Each member is therefore probed once per period, a
// change reaches all members in log2(n) hops, and a router keeps connections to
// only a few others.
//
// The package performs no I/O. Times are monotonic durations since the process
// started, and randomness comes from the configuration. A [Node] must be used
// by one goroutine only.
package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Timing of the protocol. A killed member is removed from all views within
// ProbePeriod + ProbeFailure + SuspicionTime and a few ticks.
const (
	TickPeriod    = 100 * time.Millisecond // interval at which Tick is expected to be called
	ProbePeriod   = time.Second
	ProbeTimeout  = 300 * time.Millisecond // after it, other members are asked to probe
	ProbeFailure  = 800 * time.Millisecond // after it, the member becomes Suspect
	SuspicionTime = 1500 * time.Millisecond

	tombstoneTTL      = 10 * time.Minute       // how long Dead and Left members are remembered
	minPause          = 500 * time.Millisecond // gap between ticks from which the process counts as paused
	minSyncInterval   = 500 * time.Millisecond // between view synchronizations started by this router
	minAbsentInterval = 2 * time.Second        // between pings to routers outside the view
	maxAbsentInterval = 30 * time.Second
	relayTimeout      = time.Second // for the Ack to a Ping sent for another router
)

// Limits of the protocol.
const (
	indirectProbes      = 2
	fingerProbePeriods  = 8  // probe periods between probes of a finger other than the successor
	retransmissions     = 3  // times an update is piggybacked after it was gossiped
	maxPiggyback        = 8  // updates per Ping or Ack
	maxUpdates          = 32 // updates per Gossip
	maxMembers          = 4096
	maxNameLen          = 64 // bytes of a router ID or data centre name
	maxRelays           = 256
	syncAfterMismatches = 2 // consecutive digest mismatches with a peer that trigger a sync
)

// Config identifies this router.
type Config struct {
	ID          msg.RouterID
	Incarnation uint64 // increases with each start of the process
	DataCentre  string
	Rand        *rand.Rand
}

// Candidate is a router that may exist: a seed, or an entry of the host list,
// which lags behind the fleet.
type Candidate struct {
	ID      msg.RouterID
	Leaving bool
}

// Member is a router in the membership view.
type Member struct {
	ID          msg.RouterID
	Incarnation uint64
	DataCentre  string
	State       State // Alive, Leaving or Suspect
}

// NewerSettings reports a peer that has applied a higher settings version.
type NewerSettings struct {
	From    msg.RouterID
	Version uint64
}

// Ready holds the actions that the caller must carry out.
type Ready struct {
	Send []Outgoing
	// Sync lists routers to synchronize views with: the caller sends each the
	// result of SyncRequest over a reliable connection and passes the reply to
	// SyncDone.
	Sync []msg.RouterID
	// Changed is set when the result of Members has changed.
	Changed bool
	// Newer is set when a peer has applied newer settings than this router.
	Newer NewerSettings
	// Superseded is set to an incarnation that this router cannot override,
	// because the fleet knows a higher one than its own or because it cannot be
	// refuted any more. The process must restart with a higher incarnation.
	Superseded uint64
}

// Node is the protocol state of one router.
type Node struct {
	config          Config
	self            Update
	settingsVersion uint64
	members         map[msg.RouterID]*entry // excludes this router
	order           []msg.RouterID          // sorted keys of members
	candidates      map[msg.RouterID]Candidate
	candidateIDs    []msg.RouterID // sorted keys of candidates

	ring   []ringEntry // nil: must be rebuilt
	digest uint64
	joined bool

	lastTick        time.Duration
	nextProbe       time.Duration
	nextAbsentProbe time.Duration
	absentIndex     int // random at start, so that routers pick different targets
	nextSync        time.Duration
	nextGossip      time.Duration
	periods         int
	seq             uint64
	probes          []probe
	relays          []relay

	pendingGossip    []msg.RouterID       // updates to gossip to the fingers at the next opportunity
	piggyback        map[msg.RouterID]int // remaining piggyback transmissions by member
	announceSettings bool                 // the settings version must be gossiped
	ready            Ready
}

// entry is the state kept for another router.
type entry struct {
	Update
	deadline         time.Duration // Suspect: when it is declared dead; Dead or Left: when it is removed
	digestMismatches int           // consecutive
}

// New returns a node whose view contains only itself.
func New(config Config) *Node {
	n := &Node{
		config:     config,
		members:    map[msg.RouterID]*entry{},
		candidates: map[msg.RouterID]Candidate{},
		piggyback:  map[msg.RouterID]int{},
		self: Update{
			ID:          config.ID,
			Incarnation: config.Incarnation,
			DataCentre:  config.DataCentre,
			State:       Alive,
		},
	}
	n.nextProbe = time.Duration(config.Rand.Int64N(int64(ProbePeriod)))
	n.absentIndex = config.Rand.IntN(maxMembers)
	n.disseminate(n.self.ID)
	return n
}

// SetCandidates replaces the list of candidates. A candidate is not a member
// until it has been heard of through the protocol. A member that the list marks
// as leaving is reported as Leaving.
func (n *Node) SetCandidates(now time.Duration, list []Candidate) {
	candidates := make(map[msg.RouterID]Candidate, len(list))
	for _, c := range list {
		if c.ID == n.self.ID || len(c.ID) > maxNameLen {
			continue
		}
		candidates[c.ID] = c
		if candidates[c.ID].Leaving != n.candidates[c.ID].Leaving {
			n.ready.Changed = true
		}
	}
	n.candidates = candidates
	n.candidateIDs = n.candidateIDs[:0]
	for id := range candidates {
		n.candidateIDs = append(n.candidateIDs, id)
	}
	slices.Sort(n.candidateIDs)
	if !n.joined {
		n.nextAbsentProbe = now
	}
}

// SetSettingsVersion records the settings version that this router has applied
// and gossips it. A version that is not higher than the last one is ignored.
func (n *Node) SetSettingsVersion(now time.Duration, version uint64) {
	if version <= n.settingsVersion {
		return
	}
	n.settingsVersion = version
	n.announceSettings = true
	n.gossipPending(now)
}

// StartLeaving announces that this router is draining: it finishes its requests
// and accepts no new ones.
func (n *Node) StartLeaving(now time.Duration) { n.setOwnState(now, Leaving) }

// AnnounceLeft announces the end of this process. Only Ready may be called
// after it.
func (n *Node) AnnounceLeft(now time.Duration) {
	n.nextGossip = now
	n.setOwnState(now, Left)
}

func (n *Node) setOwnState(now time.Duration, state State) {
	if n.self.State >= state {
		return
	}
	n.self.State = state
	n.self.Refutation++
	n.viewChanged()
	n.disseminate(n.self.ID)
	n.gossipPending(now)
}

// Joined reports whether this router has synchronized views with another.
func (n *Node) Joined() bool { return n.joined }

// Ready returns the pending actions and clears them. It must be called after
// every other call that may change the node.
func (n *Node) Ready() Ready {
	r := n.ready
	n.ready = Ready{}
	return r
}

// Members returns the view, including this router, sorted by ID.
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
	if state == Alive && n.candidates[u.ID].Leaving {
		state = Leaving
	}
	return Member{ID: u.ID, Incarnation: u.Incarnation, DataCentre: u.DataCentre, State: state}
}

func (n *Node) send(to msg.RouterID, m Message) {
	m.Incarnation = n.self.Incarnation
	m.SettingsVersion = n.settingsVersion
	n.ready.Send = append(n.ready.Send, Outgoing{To: to, Message: m})
}

// viewChanged invalidates the ring and the digest and reports the change.
func (n *Node) viewChanged() {
	n.ring = nil
	n.ready.Changed = true
}
