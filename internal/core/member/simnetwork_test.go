package member

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/wire"
)

// firstIncarnation has the magnitude of a Unix time in nanoseconds.
const firstIncarnation uint64 = 1e18

const simStep = 10 * time.Millisecond // also the message delay

// simNetwork delivers messages between nodes in simulated time.
type simNetwork struct {
	rand        *rand.Rand
	now         time.Duration
	ids         []msg.RouterID
	nodes       map[msg.RouterID]*Node // running nodes only
	startCounts map[msg.RouterID]uint64
	cutLinks    map[[2]msg.RouterID]bool
	loss        float64
	sentBytes   int // CBOR size of all messages sent while countSent is set
	countSent   bool
	inFlight    []func()
	// onEvent is called after each event at a node.
	onEvent func(id msg.RouterID, n *Node, r Ready)
}

func newSimNetwork(seed uint64, routers int) *simNetwork {
	w := &simNetwork{
		rand:        rand.New(rand.NewPCG(seed, 1)),
		nodes:       map[msg.RouterID]*Node{},
		startCounts: map[msg.RouterID]uint64{},
		cutLinks:    map[[2]msg.RouterID]bool{},
		onEvent:     func(msg.RouterID, *Node, Ready) {},
	}
	for i := range routers {
		w.ids = append(w.ids, msg.RouterID(fmt.Sprintf("r%d", i+1)))
	}
	return w
}

// start runs a new incarnation of a router that knows two seeds.
func (w *simNetwork) start(id msg.RouterID) {
	w.startCounts[id]++
	w.startAs(id, firstIncarnation+w.startCounts[id])
}

func (w *simNetwork) startAs(id msg.RouterID, incarnation uint64) {
	n := New(Config{
		ID: id, Incarnation: incarnation, DataCentre: "dc-1",
		Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
	})
	w.nodes[id] = n
	n.Tick(w.now)
	n.SetCandidates(w.now, []Candidate{{ID: w.ids[0]}, {ID: w.ids[1]}})
	w.handleReady(id, n)
}

func (w *simNetwork) kill(id msg.RouterID) { delete(w.nodes, id) }

func (w *simNetwork) setCut(a, b msg.RouterID, on bool) {
	w.cutLinks[[2]msg.RouterID{a, b}] = on
	w.cutLinks[[2]msg.RouterID{b, a}] = on
}

func (w *simNetwork) drops(from, to msg.RouterID) bool {
	return w.cutLinks[[2]msg.RouterID{from, to}] || w.loss > 0 && w.rand.Float64() < w.loss
}

func (w *simNetwork) countBytes(v any) {
	if !w.countSent {
		return
	}
	data, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.sentBytes += len(data)
}

// handleReady carries out the actions in a node's Ready.
func (w *simNetwork) handleReady(id msg.RouterID, n *Node) {
	r := n.Ready()
	for _, out := range r.Send {
		w.countBytes(out.Message)
		if w.drops(id, out.To) {
			continue
		}
		w.inFlight = append(w.inFlight, func() {
			if peer, ok := w.nodes[out.To]; ok {
				peer.Step(w.now, id, out.Message)
				w.handleReady(out.To, peer)
			}
		})
	}
	for _, to := range r.Sync {
		w.sync(id, n, to)
	}
	w.onEvent(id, n, r)
}

func (w *simNetwork) sync(id msg.RouterID, n *Node, to msg.RouterID) {
	request := n.SyncRequest()
	w.countBytes(request)
	if w.drops(id, to) {
		return
	}
	w.inFlight = append(w.inFlight, func() {
		peer, ok := w.nodes[to]
		if !ok {
			return
		}
		reply := peer.SyncReply(w.now, request)
		w.handleReady(to, peer)
		w.countBytes(reply)
		if w.drops(to, id) {
			return
		}
		w.inFlight = append(w.inFlight, func() {
			if w.nodes[id] == n {
				n.SyncDone(w.now, reply)
				w.handleReady(id, n)
			}
		})
	})
}

// run advances the simulated time by d.
func (w *simNetwork) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += simStep
		arriving := w.inFlight
		w.inFlight = nil
		for _, deliver := range arriving {
			deliver()
		}
		for i, id := range w.ids {
			// Stagger the ticks of the nodes.
			n, ok := w.nodes[id]
			if !ok || (w.now/simStep+time.Duration(i))%(TickPeriod/simStep) != 0 {
				continue
			}
			n.Tick(w.now)
			w.handleReady(id, n)
		}
	}
}
