package member

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/wire"
)

// firstIncarnation is about what a clock in nanoseconds gives.
const firstIncarnation uint64 = 1e18

const step = 10 * time.Millisecond // also the delay of a message

// network passes messages between nodes in simulated time.
type network struct {
	rand    *rand.Rand
	now     time.Duration
	ids     []msg.RouterID
	nodes   map[msg.RouterID]*Node // running ones
	starts  map[msg.RouterID]uint64
	cuts    map[[2]msg.RouterID]bool
	loss    float64
	bytes   int // of all messages sent, in CBOR, if measured
	measure bool
	flying  []func()
	// observe is called after each event at a node.
	observe func(id msg.RouterID, n *Node, r Ready)
}

func newNetwork(seed uint64, routers int) *network {
	w := &network{
		rand:    rand.New(rand.NewPCG(seed, 1)),
		nodes:   map[msg.RouterID]*Node{},
		starts:  map[msg.RouterID]uint64{},
		cuts:    map[[2]msg.RouterID]bool{},
		observe: func(msg.RouterID, *Node, Ready) {},
	}
	for i := range routers {
		w.ids = append(w.ids, msg.RouterID(fmt.Sprintf("r%d", i+1)))
	}
	return w
}

// start runs a new incarnation of a router that knows one seed.
func (w *network) start(id msg.RouterID) {
	w.starts[id]++
	w.startAs(id, firstIncarnation+w.starts[id])
}

func (w *network) startAs(id msg.RouterID, incarnation uint64) {
	n := New(Config{
		ID: id, Incarnation: incarnation, DataCentre: "dc-1",
		Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
	})
	w.nodes[id] = n
	n.Tick(w.now)
	n.Candidates(w.now, []Candidate{{ID: w.ids[0]}, {ID: w.ids[1]}})
	w.take(id, n)
}

func (w *network) kill(id msg.RouterID) { delete(w.nodes, id) }

func (w *network) cut(a, b msg.RouterID, on bool) {
	w.cuts[[2]msg.RouterID{a, b}] = on
	w.cuts[[2]msg.RouterID{b, a}] = on
}

func (w *network) lost(from, to msg.RouterID) bool {
	return w.cuts[[2]msg.RouterID{from, to}] || w.loss > 0 && w.rand.Float64() < w.loss
}

func (w *network) count(v any) {
	if !w.measure {
		return
	}
	data, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.bytes += len(data)
}

// take does what a node's Ready asks.
func (w *network) take(id msg.RouterID, n *Node) {
	r := n.Ready()
	for _, out := range r.Send {
		w.count(out.Message)
		if w.lost(id, out.To) {
			continue
		}
		w.flying = append(w.flying, func() {
			if peer, ok := w.nodes[out.To]; ok {
				peer.Step(w.now, id, out.Message)
				w.take(out.To, peer)
			}
		})
	}
	for _, to := range r.Sync {
		w.sync(id, n, to)
	}
	w.observe(id, n, r)
}

func (w *network) sync(id msg.RouterID, n *Node, to msg.RouterID) {
	request := n.SyncRequest()
	w.count(request)
	if w.lost(id, to) {
		return
	}
	w.flying = append(w.flying, func() {
		peer, ok := w.nodes[to]
		if !ok {
			return
		}
		reply := peer.SyncReply(w.now, request)
		w.take(to, peer)
		w.count(reply)
		if w.lost(to, id) {
			return
		}
		w.flying = append(w.flying, func() {
			if w.nodes[id] == n {
				n.SyncDone(w.now, reply)
				w.take(id, n)
			}
		})
	})
}

// run lets time pass.
func (w *network) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		arriving := w.flying
		w.flying = nil
		for _, deliver := range arriving {
			deliver()
		}
		for i, id := range w.ids {
			// Each node ticks in a phase of its own.
			n, ok := w.nodes[id]
			if !ok || (w.now/step+time.Duration(i))%(TickPeriod/step) != 0 {
				continue
			}
			n.Tick(w.now)
			w.take(id, n)
		}
	}
}
