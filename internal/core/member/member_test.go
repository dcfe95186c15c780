package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
)

// settle is enough for all views to agree, whatever went before: contact with
// the absent, the suspicions it may raise, and an exchange of views.
const settle = 60 * time.Second

func startAll(seed uint64, routers int) *network {
	w := newNetwork(seed, routers)
	for _, id := range w.ids {
		w.start(id)
	}
	return w
}

// disagreement names a running node whose view is not the running nodes.
func (w *network) disagreement() string {
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
			return fmt.Sprintf("at %v: %s sees %v, not %v", w.now, id, got, want)
		}
	}
	return ""
}

// hostList gives each router the whole list, dead routers included.
func (w *network) hostList() {
	var list []Candidate
	for _, id := range w.ids {
		list = append(list, Candidate{ID: id})
	}
	for _, n := range w.nodes {
		n.Candidates(w.now, list)
	}
}

func TestKilledRouterIsOutOfAllViewsIn4s(t *testing.T) {
	for seed := range uint64(50) {
		w := startAll(seed, 8)
		w.run(10 * time.Second)
		assert.Equal(t, w.disagreement(), "")
		victim := w.ids[seed%8]
		w.run(time.Duration(seed) * 37 * time.Millisecond)
		w.kill(victim)
		w.run(4 * time.Second)
		assert.Equal(t, w.disagreement(), "", "seed %d", seed)
	}
}

func TestRestartSupersedesAtOnce(t *testing.T) {
	w := startAll(1, 8)
	w.run(10 * time.Second)
	w.kill("r3")
	w.start("r3")
	w.run(1500 * time.Millisecond) // a ping of a seed, and the hops
	assert.Equal(t, w.disagreement(), "")
}

func TestLeavingAndDeparture(t *testing.T) {
	w := startAll(2, 8)
	w.run(10 * time.Second)
	n := w.nodes["r3"]
	n.Leave(w.now)
	w.take("r3", n)
	w.run(500 * time.Millisecond)
	assert.Equal(t, w.disagreement(), "")
	n.Depart(w.now)
	w.take("r3", n)
	w.kill("r3")
	w.run(500 * time.Millisecond)
	assert.Equal(t, w.disagreement(), "")
}

func TestHostListIsOnlyAHint(t *testing.T) {
	w := startAll(3, 3)
	w.run(10 * time.Second)
	n := w.nodes["r1"]
	n.Candidates(w.now, []Candidate{{ID: "r2", Leaving: true}, {ID: "ghost"}})
	assert.Assert(t, n.Ready().Changed)
	w.run(10 * time.Second)
	members := n.Members()
	assert.Equal(t, len(members), 3)
	assert.Equal(t, members[1].State, Leaving)
	n.Candidates(w.now, nil)
	assert.Equal(t, n.Members()[1].State, Alive)
}

func TestCutOffOneWayIsHelpedByOthers(t *testing.T) {
	w := startAll(4, 8)
	w.run(10 * time.Second)
	w.observe = func(id msg.RouterID, _ *Node, r Ready) {
		assert.Assert(t, !r.Changed, "%s changed its view", id)
	}
	n := w.nodes["r1"]
	w.cut("r1", n.successor(), true)
	w.run(time.Minute)
}

// After a partition each side holds the other dead. When they meet, nobody is
// dropped on the word of the other side.
func TestHealingDropsNobody(t *testing.T) {
	const routers, side = 20, 10
	w := startAll(9, routers)
	w.run(10 * time.Second)
	w.hostList()
	for _, a := range w.ids[:side] {
		for _, b := range w.ids[side:] {
			w.cut(a, b, true)
		}
	}
	w.run(30 * time.Second)
	for _, id := range w.ids {
		assert.Equal(t, len(w.nodes[id].Members()), side, "%s", id)
	}
	clear(w.cuts)
	least := map[msg.RouterID]int{}
	w.observe = func(id msg.RouterID, n *Node, _ Ready) {
		members := len(n.Members())
		assert.Assert(t, members >= least[id], "%s dropped a member", id)
		least[id] = members
	}
	w.run(settle)
	assert.Equal(t, w.disagreement(), "")
}

func TestLossDropsNobody(t *testing.T) {
	w := startAll(10, 8)
	w.run(10 * time.Second)
	w.loss = 0.1
	suspicions := 0
	w.observe = func(id msg.RouterID, n *Node, _ Ready) {
		assert.Assert(t, len(n.Members()) == 8, "%s dropped a member", id)
		for _, m := range n.Members() {
			if m.State == Suspect {
				suspicions++
			}
		}
	}
	w.run(30 * time.Minute)
	assert.Assert(t, suspicions > 0) // else the loss was too small to show anything
}

func TestPausedRouterDoesNotAccuseOthers(t *testing.T) {
	w := startAll(5, 8)
	w.run(10 * time.Second)
	n := w.nodes["r1"]
	n.probe(w.now, n.successor())
	before := w.now
	w.now += time.Minute // only r1 lives through this minute
	n.Tick(w.now)
	assert.Assert(t, !n.Ready().Changed)
	w.now = before
}

func TestSettingsVersionIsPassedOn(t *testing.T) {
	w := startAll(6, 40)
	w.run(20 * time.Second)
	heard := map[msg.RouterID]bool{}
	w.observe = func(id msg.RouterID, n *Node, r Ready) {
		if r.Newer.Version != 7 {
			return
		}
		heard[id] = true
		n.SetSettings(w.now, 7) // as if fetched from r.Newer.From
		w.take(id, n)
	}
	first := w.nodes["r1"]
	first.SetSettings(w.now, 7)
	w.take("r1", first)
	w.run(time.Second)
	assert.Equal(t, len(heard), 39)
	first.SetSettings(w.now, 6)
	assert.Equal(t, first.settings, uint64(7))
}

func TestBadlyChosenIncarnationIsReported(t *testing.T) {
	w := startAll(7, 4)
	w.run(10 * time.Second)
	w.kill("r3")
	var superseded uint64
	w.observe = func(id msg.RouterID, _ *Node, r Ready) {
		if id == "r3" {
			superseded = max(superseded, r.Superseded)
		}
	}
	w.startAs("r3", 1) // a clock that went back
	w.run(10 * time.Second)
	assert.Equal(t, superseded, firstIncarnation+1)
}

func TestDifferingViewsAreFoundAndExchanged(t *testing.T) {
	w := startAll(11, 8)
	w.run(10 * time.Second)
	leaver, n := w.nodes["r5"], w.nodes["r1"]
	leaver.Leave(w.now)
	w.take("r5", leaver)
	w.run(4 * time.Second)
	stale := &n.members["r5"].Update // as if r1 had missed it
	stale.State, stale.Refutation = Alive, 0
	n.changed()
	assert.Assert(t, w.disagreement() != "")
	w.run(4 * time.Second)
	assert.Equal(t, w.disagreement(), "")
}

func TestOldIncarnationIsNotHeard(t *testing.T) {
	n := startAll(12, 2).nodes["r1"]
	n.SyncReply(0, Full{Updates: []Update{{ID: "r2", Incarnation: 2, State: Alive}}})
	n.Ready()
	news := []Update{{ID: "r3", Incarnation: 1, State: Alive}}
	n.Step(time.Second, "r2", Message{Type: Ping, Seq: 9, Incarnation: 1, Settings: 5, Updates: news})
	r := n.Ready()
	assert.Equal(t, r.Changed, false)
	assert.Equal(t, r.Newer, NewerSettings{})
	assert.Equal(t, len(r.Sync), 0)
	assert.Equal(t, r.Send[0].Message.Updates[0].Incarnation, uint64(2))
}

func TestFleetAtRestSendsNoUpdates(t *testing.T) {
	w := startAll(13, 40)
	w.run(4 * time.Second)
	w.observe = func(_ msg.RouterID, _ *Node, r Ready) {
		assert.Equal(t, len(r.Sync), 0)
		for _, out := range r.Send {
			assert.Equal(t, len(out.Message.Updates), 0)
		}
	}
	w.run(time.Minute)
}

func TestUpdatesBeyondBoundsAreDropped(t *testing.T) {
	n := startAll(8, 2).nodes["r1"]
	long := msg.RouterID(make([]byte, maxName+1))
	for _, u := range []Update{{}, {ID: long, State: Alive}, {ID: "x"}, {ID: "x", State: Left + 1}} {
		n.Step(0, "r2", Message{Type: Gossip, Updates: []Update{u}})
	}
	var many Full
	for i := range 2 * maxMembers {
		many.Updates = append(many.Updates, Update{ID: msg.RouterID(fmt.Sprint("m", i)), State: Alive})
	}
	n.SyncReply(0, many)
	assert.Assert(t, len(n.members) <= maxMembers)
	_, ok := n.members["x"]
	assert.Assert(t, !ok)
}
