package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
)

// convergenceTime is enough for all views to agree after any fault: it covers
// the ping to an absent router, the suspicions that may follow, and a sync.
const convergenceTime = 60 * time.Second

func startNetwork(seed uint64, routers int) *simNetwork {
	w := newSimNetwork(seed, routers)
	for _, id := range w.ids {
		w.start(id)
	}
	return w
}

// viewMismatch describes a running node whose view differs from the set of
// running nodes, or returns "" if all views agree.
func (w *simNetwork) viewMismatch() string {
	var want []string
	for _, id := range w.ids {
		if n, ok := w.nodes[id]; ok {
			want = append(want, fmt.Sprint(id, n.self.Incarnation, n.self.State))
		}
	}
	slices.Sort(want)
	for _, id := range w.ids {
		n, ok := w.nodes[id]
		if !ok {
			continue
		}
		var got []string
		for _, m := range n.Members() {
			got = append(got, fmt.Sprint(m.ID, m.Incarnation, m.State))
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			return fmt.Sprintf("at %v: view of %s is %v, want %v", w.now, id, got, want)
		}
	}
	return ""
}

// setCandidateLists gives each node a list of all routers, including dead ones.
func (w *simNetwork) setCandidateLists() {
	var list []Candidate
	for _, id := range w.ids {
		list = append(list, Candidate{ID: id})
	}
	for _, n := range w.nodes {
		n.SetCandidates(w.now, list)
	}
}

func TestKilledRouterLeavesAllViewsWithin4s(t *testing.T) {
	for seed := range uint64(50) {
		w := startNetwork(seed, 8)
		w.run(10 * time.Second)
		assert.Equal(t, w.viewMismatch(), "")
		victim := w.ids[seed%8]
		w.run(time.Duration(seed) * 37 * time.Millisecond)
		w.kill(victim)
		w.run(4 * time.Second)
		assert.Equal(t, w.viewMismatch(), "", "seed %d", seed)
	}
}

func TestRestartSupersedesOldIncarnation(t *testing.T) {
	w := startNetwork(1, 8)
	w.run(10 * time.Second)
	w.kill("r3")
	w.start("r3")
	w.run(1500 * time.Millisecond) // a ping to a seed, then the gossip hops
	assert.Equal(t, w.viewMismatch(), "")
}

func TestLeavingAndLeftPropagate(t *testing.T) {
	w := startNetwork(2, 8)
	w.run(10 * time.Second)
	n := w.nodes["r3"]
	n.StartLeaving(w.now)
	w.handleReady("r3", n)
	w.run(500 * time.Millisecond)
	assert.Equal(t, w.viewMismatch(), "")
	n.AnnounceLeft(w.now)
	w.handleReady("r3", n)
	w.kill("r3")
	w.run(500 * time.Millisecond)
	assert.Equal(t, w.viewMismatch(), "")
}

func TestCandidatesAreNotMembers(t *testing.T) {
	w := startNetwork(3, 3)
	w.run(10 * time.Second)
	n := w.nodes["r1"]
	n.SetCandidates(w.now, []Candidate{{ID: "r2", Leaving: true}, {ID: "ghost"}})
	assert.Assert(t, n.Ready().Changed)
	w.run(10 * time.Second)
	members := n.Members()
	assert.Equal(t, len(members), 3)
	assert.Equal(t, members[1].State, Leaving)
	n.SetCandidates(w.now, nil)
	assert.Equal(t, n.Members()[1].State, Alive)
}

func TestIndirectProbesCoverBrokenLink(t *testing.T) {
	w := startNetwork(4, 8)
	w.run(10 * time.Second)
	w.onEvent = func(id msg.RouterID, _ *Node, r Ready) {
		assert.Assert(t, !r.Changed, "%s changed its view", id)
	}
	n := w.nodes["r1"]
	w.setCut("r1", n.successor(), true)
	w.run(time.Minute)
}

// After a network partition, each side considers the other one dead. When the
// partition heals, no member may be removed because the other side reports it
// as dead.
func TestPartitionHealDropsNoMember(t *testing.T) {
	const routers, side = 20, 10
	w := startNetwork(9, routers)
	w.run(10 * time.Second)
	w.setCandidateLists()
	for _, a := range w.ids[:side] {
		for _, b := range w.ids[side:] {
			w.setCut(a, b, true)
		}
	}
	w.run(30 * time.Second)
	for _, id := range w.ids {
		assert.Equal(t, len(w.nodes[id].Members()), side, "%s", id)
	}
	clear(w.cutLinks)
	least := map[msg.RouterID]int{}
	w.onEvent = func(id msg.RouterID, n *Node, _ Ready) {
		members := len(n.Members())
		assert.Assert(t, members >= least[id], "%s dropped a member", id)
		least[id] = members
	}
	w.run(convergenceTime)
	assert.Equal(t, w.viewMismatch(), "")
}

func TestMessageLossDropsNoMember(t *testing.T) {
	w := startNetwork(10, 8)
	w.run(10 * time.Second)
	w.loss = 0.1
	suspicions := 0
	w.onEvent = func(id msg.RouterID, n *Node, _ Ready) {
		assert.Assert(t, len(n.Members()) == 8, "%s dropped a member", id)
		for _, m := range n.Members() {
			if m.State == Suspect {
				suspicions++
			}
		}
	}
	w.run(30 * time.Minute)
	assert.Assert(t, suspicions > 0) // otherwise the message loss was too low for the test to be meaningful
}

func TestPausedRouterDoesNotSuspectOthers(t *testing.T) {
	w := startNetwork(5, 8)
	w.run(10 * time.Second)
	n := w.nodes["r1"]
	n.probe(w.now, n.successor())
	before := w.now
	w.now += time.Minute // the clock advances for r1 only
	n.Tick(w.now)
	assert.Assert(t, !n.Ready().Changed)
	w.now = before
}

func TestSettingsVersionPropagates(t *testing.T) {
	w := startNetwork(6, 40)
	w.run(20 * time.Second)
	heard := map[msg.RouterID]bool{}
	w.onEvent = func(id msg.RouterID, n *Node, r Ready) {
		if r.Newer.Version != 7 {
			return
		}
		heard[id] = true
		n.SetSettingsVersion(w.now, 7) // as if the settings had been fetched from r.Newer.From
		w.handleReady(id, n)
	}
	first := w.nodes["r1"]
	first.SetSettingsVersion(w.now, 7)
	w.handleReady("r1", first)
	w.run(time.Second)
	assert.Equal(t, len(heard), 39)
	first.SetSettingsVersion(w.now, 6)
	assert.Equal(t, first.settingsVersion, uint64(7))
}

func TestLowerIncarnationIsReportedAsSuperseded(t *testing.T) {
	w := startNetwork(7, 4)
	w.run(10 * time.Second)
	w.kill("r3")
	var superseded uint64
	w.onEvent = func(id msg.RouterID, _ *Node, r Ready) {
		if id == "r3" {
			superseded = max(superseded, r.Superseded)
		}
	}
	w.startAs("r3", 1) // as if the clock had gone back
	w.run(10 * time.Second)
	assert.Equal(t, superseded, firstIncarnation+1)
}

func TestViewMismatchTriggersSync(t *testing.T) {
	w := startNetwork(11, 8)
	w.run(10 * time.Second)
	leaver, n := w.nodes["r5"], w.nodes["r1"]
	leaver.StartLeaving(w.now)
	w.handleReady("r5", leaver)
	w.run(4 * time.Second)
	stale := &n.members["r5"].Update // as if r1 had missed the update
	stale.State, stale.Refutation = Alive, 0
	n.viewChanged()
	assert.Assert(t, w.viewMismatch() != "")
	w.run(4 * time.Second)
	assert.Equal(t, w.viewMismatch(), "")
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	n := startNetwork(12, 2).nodes["r1"]
	n.SyncReply(0, SyncMessage{Updates: []Update{{ID: "r2", Incarnation: 2, State: Alive}}})
	n.Ready()
	news := []Update{{ID: "r3", Incarnation: 1, State: Alive}}
	n.Step(time.Second, "r2", Message{Type: Ping, Seq: 9, Incarnation: 1, SettingsVersion: 5, Updates: news})
	r := n.Ready()
	assert.Equal(t, r.Changed, false)
	assert.Equal(t, r.Newer, NewerSettings{})
	assert.Equal(t, len(r.Sync), 0)
	assert.Equal(t, r.Send[0].Message.Updates[0].Incarnation, uint64(2))
}

func TestStableFleetSendsNoUpdates(t *testing.T) {
	w := startNetwork(13, 40)
	w.run(4 * time.Second)
	w.onEvent = func(_ msg.RouterID, _ *Node, r Ready) {
		assert.Equal(t, len(r.Sync), 0)
		for _, out := range r.Send {
			assert.Equal(t, len(out.Message.Updates), 0)
		}
	}
	w.run(time.Minute)
}

func TestInvalidUpdatesAreDropped(t *testing.T) {
	n := startNetwork(8, 2).nodes["r1"]
	long := msg.RouterID(make([]byte, maxNameLen+1))
	for _, u := range []Update{{}, {ID: long, State: Alive}, {ID: "x"}, {ID: "x", State: Left + 1}} {
		n.Step(0, "r2", Message{Type: Gossip, Updates: []Update{u}})
	}
	var many SyncMessage
	for i := range 2 * maxMembers {
		many.Updates = append(many.Updates, Update{ID: msg.RouterID(fmt.Sprint("m", i)), State: Alive})
	}
	n.SyncReply(0, many)
	assert.Assert(t, len(n.members) <= maxMembers)
	_, ok := n.members["x"]
	assert.Assert(t, !ok)
}
