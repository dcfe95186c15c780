package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/msg"
)

// TestMembershipStateMachine runs a small fleet through random message loss,
// network partitions, kills, restarts and shutdowns. No view may ever return to
// an older incarnation of a member. After all faults end, every view must
// contain exactly the running routers, each in its own state, so a killed router
// must not reappear, and then stay unchanged.
func TestMembershipStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 9).Draw(t, "routers"))
		m := &stateMachine{simNetwork: w, router: rapid.SampledFrom(w.ids), seen: map[[2]msg.RouterID]uint64{}}
		w.onEvent = func(id msg.RouterID, n *Node, _ Ready) { m.checkView(t, id, n) }
		for _, id := range w.ids {
			w.start(id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":      m.advance,
			"loss":      m.setLoss,
			"cut":       m.cutLink,
			"partition": m.partition,
			"kill":      func(t *rapid.T) { w.kill(m.router.Draw(t, "id")) },
			"restart":   m.restart,
			"leave":     m.startLeaving,
			"depart":    m.announceLeft,
		})
		m.healAndCheck(t)
	})
}

// stateMachine is a simulated network with the incarnations its routers have
// seen.
type stateMachine struct {
	*simNetwork
	router *rapid.Generator[msg.RouterID]
	seen   map[[2]msg.RouterID]uint64 // incarnation by observer and member
}

// checkView checks that no incarnation is older than in the previous view.
func (m *stateMachine) checkView(t *rapid.T, id msg.RouterID, n *Node) {
	for _, other := range n.Members() {
		key := [2]msg.RouterID{id, other.ID}
		if other.Incarnation < m.seen[key] {
			t.Fatalf("%s returned to an older incarnation of %s", id, other.ID)
		}
		m.seen[key] = other.Incarnation
	}
}

func (m *stateMachine) advance(t *rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 600).Draw(t, "steps")) * simStep)
}

func (m *stateMachine) setLoss(t *rapid.T) {
	m.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	m.advance(t)
}

func (m *stateMachine) cutLink(t *rapid.T) {
	m.setCut(m.router.Draw(t, "a"), m.router.Draw(t, "b"), rapid.Bool().Draw(t, "on"))
}

func (m *stateMachine) partition(t *rapid.T) {
	side := rapid.IntRange(1, len(m.ids)-1).Draw(t, "side")
	for i, a := range m.ids {
		for j, b := range m.ids {
			m.setCut(a, b, (i < side) != (j < side))
		}
	}
	m.advance(t)
}

func (m *stateMachine) restart(t *rapid.T) {
	id := m.router.Draw(t, "id")
	for key := range m.seen { // a new process has no previous view
		if key[0] == id {
			delete(m.seen, key)
		}
	}
	m.start(id)
}

func (m *stateMachine) startLeaving(t *rapid.T) {
	id := m.router.Draw(t, "id")
	if n, ok := m.nodes[id]; ok {
		n.StartLeaving(m.now)
		m.handleReady(id, n)
	}
}

func (m *stateMachine) announceLeft(t *rapid.T) {
	id := m.router.Draw(t, "id")
	if n, ok := m.nodes[id]; ok {
		n.AnnounceLeft(m.now)
		m.handleReady(id, n)
		m.kill(id)
	}
}

// healAndCheck ends all faults, after which the views must converge and then
// stay unchanged.
func (m *stateMachine) healAndCheck(t *rapid.T) {
	m.loss = 0
	clear(m.cutLinks)
	m.setCandidateLists() // all seeds may be down
	m.run(convergenceTime)
	if text := m.viewMismatch(); text != "" {
		t.Fatal(text)
	}
	m.onEvent = func(id msg.RouterID, _ *Node, r Ready) {
		if r.Changed {
			t.Fatalf("%s changed its view of a stable fleet", id)
		}
	}
	m.run(20 * time.Second)
}
