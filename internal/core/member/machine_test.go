package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/msg"
)

// TestFuzz drives a small fleet through loss, cuts, kills, restarts and
// departures. At all times: no view goes back to an older incarnation, and a
// member that is killed for good does not come back once all have dropped it.
// After healing: all views are the running routers, each as it sees itself.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 9).Draw(t, "routers"))
		m := &machine{network: w, router: rapid.SampledFrom(w.ids), seen: map[[2]msg.RouterID]uint64{}}
		w.observe = func(id msg.RouterID, n *Node, _ Ready) { m.look(t, id, n) }
		for _, id := range w.ids {
			w.start(id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":      m.pass,
			"loss":      m.lose,
			"cut":       m.cutOne,
			"partition": m.partition,
			"kill":      func(t *rapid.T) { w.kill(m.router.Draw(t, "id")) },
			"restart":   m.restart,
			"leave":     m.leave,
			"depart":    m.depart,
		})
		m.heal(t)
	})
}

// machine is a network with what its routers have seen.
type machine struct {
	*network
	router *rapid.Generator[msg.RouterID]
	seen   map[[2]msg.RouterID]uint64 // incarnation by who saw whom
}

// look checks a view against the one before.
func (m *machine) look(t *rapid.T, id msg.RouterID, n *Node) {
	for _, other := range n.Members() {
		key := [2]msg.RouterID{id, other.ID}
		if other.Incarnation < m.seen[key] {
			t.Fatalf("%s went back to an older incarnation of %s", id, other.ID)
		}
		m.seen[key] = other.Incarnation
	}
}

func (m *machine) pass(t *rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 600).Draw(t, "steps")) * step)
}

func (m *machine) lose(t *rapid.T) {
	m.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	m.pass(t)
}

func (m *machine) cutOne(t *rapid.T) {
	m.cut(m.router.Draw(t, "a"), m.router.Draw(t, "b"), rapid.Bool().Draw(t, "on"))
}

func (m *machine) partition(t *rapid.T) {
	side := rapid.IntRange(1, len(m.ids)-1).Draw(t, "side")
	for i, a := range m.ids {
		for j, b := range m.ids {
			m.cut(a, b, (i < side) != (j < side))
		}
	}
	m.pass(t)
}

func (m *machine) restart(t *rapid.T) {
	id := m.router.Draw(t, "id")
	for key := range m.seen { // the new process has seen nothing yet
		if key[0] == id {
			delete(m.seen, key)
		}
	}
	m.start(id)
}

func (m *machine) leave(t *rapid.T) {
	id := m.router.Draw(t, "id")
	if n, ok := m.nodes[id]; ok {
		n.Leave(m.now)
		m.take(id, n)
	}
}

func (m *machine) depart(t *rapid.T) {
	id := m.router.Draw(t, "id")
	if n, ok := m.nodes[id]; ok {
		n.Depart(m.now)
		m.take(id, n)
		m.kill(id)
	}
}

// heal ends all faults, after which the views must agree and stay.
func (m *machine) heal(t *rapid.T) {
	m.loss = 0
	clear(m.cuts)
	m.hostList() // the seeds may all be gone
	m.run(settle)
	if text := m.disagreement(); text != "" {
		t.Fatal(text)
	}
	m.observe = func(id msg.RouterID, _ *Node, r Ready) {
		if r.Changed {
			t.Fatalf("%s changed its view of a fleet at rest", id)
		}
	}
	m.run(20 * time.Second)
}
