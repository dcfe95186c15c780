package share_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// fleet connects Nodes by a simulated network with delay and loss, and
// simulates the backend servers. Time is simulated and runs are deterministic.
type fleet struct {
	rng             *rand.Rand
	config          share.Config // of each node, except for its identity
	now             time.Duration
	events          eventHeap
	seq             int
	delay           time.Duration // least one-way delay; up to half of it is added
	loss            float64
	side            map[msg.RouterID]int           // of the partition; messages between different sides are lost
	skew            map[msg.RouterID]time.Duration // offset of a router's clock
	nodes           map[msg.RouterID]*share.Node
	ids             []msg.RouterID
	servers         map[msg.ServerID]*simServer
	requests        map[msg.RequestID]*simRequest
	served          map[simKey]float64 // cost over weight
	done            func(*simRequest)
	refused         func(*simRequest, share.Reason)
	bytes           int
	messages        int
	countBytes      bool // encode messages to count their bytes
	tick            time.Duration
	onSend          func(*share.Message)
	overSlots       int // highest number of requests queued at a server beyond its slots
	lastIncarnation uint64
	incarnations    map[msg.RouterID]uint64
}

type simServer struct {
	id         msg.ServerID
	pools      []msg.PoolID
	slots      int
	rate       float64 // cost per second and slot
	running    []*simRequest
	queue      []*simRequest
	leaving    bool
	overloaded bool          // refuses requests
	busy       time.Duration // total slot time used
	busyAt     time.Duration
}

type simRequest struct {
	share.Request
	entry   msg.RouterID
	cost    float64
	server  *simServer
	arrived time.Duration
	began   time.Duration
	first   time.Duration
	starts  int
	ended   bool
	refused bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func newFleet(seed uint64, routers int, config share.Config) *fleet {
	f := &fleet{
		config: config, lastIncarnation: 1_790_000_000,
		rng: rand.New(rand.NewPCG(seed, 1)), delay: time.Millisecond, tick: 10 * time.Millisecond,
		side: map[msg.RouterID]int{}, skew: map[msg.RouterID]time.Duration{}, nodes: map[msg.RouterID]*share.Node{},
		servers: map[msg.ServerID]*simServer{}, requests: map[msg.RequestID]*simRequest{},
		served: map[simKey]float64{}, incarnations: map[msg.RouterID]uint64{},
		done: func(*simRequest) {}, refused: func(*simRequest, share.Reason) {},
	}
	for i := range routers {
		f.startNode(msg.RouterID(fmt.Sprintf("r%d", i)))
	}
	f.setMembers(f.ids)
	return f
}

// startNode starts a router, or restarts it without state.
func (f *fleet) startNode(id msg.RouterID) {
	f.lastIncarnation++
	f.incarnations[id] = f.lastIncarnation
	if _, ok := f.nodes[id]; !ok {
		f.ids = append(f.ids, id)
	}
	cfg := f.config
	cfg.ID, cfg.Incarnation, cfg.DataCentre = id, f.lastIncarnation, dataCentre(id)
	n := share.New(cfg)
	f.nodes[id] = n
	f.after(time.Duration(f.rng.Int64N(int64(f.tick))), func() { f.tickNode(id, n) })
}

func (f *fleet) tickNode(id msg.RouterID, n *share.Node) {
	if f.nodes[id] != n {
		return
	}
	n.Tick(f.clock(id))
	f.runActions(id)
	f.after(f.tick, func() { f.tickNode(id, n) })
}

func (f *fleet) clock(id msg.RouterID) time.Duration { return f.now + f.skew[id] }

func (f *fleet) setMembers(ids []msg.RouterID) {
	for _, id := range ids {
		f.setMembersOf(id, "")
	}
}

// setMembersOf sets a router's members to all routers but one.
func (f *fleet) setMembersOf(id, without msg.RouterID) {
	var list []share.Member
	for _, x := range f.ids {
		if x != without {
			list = append(list, share.Member{ID: x, Incarnation: f.incarnations[x], DataCentre: dataCentre(x)})
		}
	}
	f.nodes[id].SetMembers(f.clock(id), list)
	f.runActions(id)
}

func (f *fleet) addServer(id string, slots int, rate float64, pools ...msg.PoolID) {
	f.servers[msg.ServerID(id)] = &simServer{id: msg.ServerID(id), pools: pools, slots: slots, rate: rate}
}

func (f *fleet) setServers() {
	for _, id := range f.ids {
		f.setServersOf(id)
	}
}

func (f *fleet) setServersOf(id msg.RouterID) {
	var list []msg.ServerID
	for i := range len(f.servers) {
		list = append(list, msg.ServerID(fmt.Sprintf("s%d", i)))
	}
	f.nodes[id].SetServers(f.clock(id), list)
	f.runActions(id)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + d, f.seq, do})
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *fleet) latency() time.Duration {
	return f.delay + time.Duration(f.rng.Int64N(int64(f.delay)/2+1))
}

// runActions carries out a node's pending actions.
func (f *fleet) runActions(id msg.RouterID) {
	n := f.nodes[id]
	r := n.Ready()
	for _, out := range r.Send {
		f.send(id, out)
	}
	for _, s := range r.Start {
		f.start(f.requests[s.Request], f.servers[s.Server])
	}
	for _, x := range r.Refuse {
		req := f.requests[x.Request]
		req.refused = true
		f.refused(req, x.Reason)
	}
	for _, s := range r.Probe {
		f.after(f.latency(), func() { f.report(id, n, f.servers[s]) })
	}
}

func (f *fleet) send(from msg.RouterID, out share.Outgoing) {
	f.messages++
	m := out.Message
	if f.onSend != nil {
		f.onSend(m)
	}
	if f.countBytes {
		b, err := share.Encode(m)
		if err != nil {
			panic(err)
		}
		f.bytes += len(b)
	}
	if f.side[from] != f.side[out.To] || f.rng.Float64() < f.loss {
		return
	}
	f.after(f.latency(), func() {
		if to := f.nodes[out.To]; to != nil {
			to.HandleMessage(f.clock(out.To), from, m)
			f.runActions(out.To)
		}
	})
}

func (f *fleet) report(id msg.RouterID, n *share.Node, s *simServer) {
	if f.nodes[id] != n {
		return
	}
	n.HandleLoadReport(f.clock(id), share.LoadReport{
		Server: s.id, Pools: s.pools, Slots: s.slots, Running: len(s.running), Queued: len(s.queue), Leaving: s.leaving,
	})
	f.runActions(id)
}

func (f *fleet) arrive(r *simRequest) {
	f.requests[r.ID] = r
	r.arrived = f.now
	f.nodes[r.entry].Arrive(f.clock(r.entry), r.Request)
	f.runActions(r.entry)
}

// start runs a request at a server, or queues it there if the slots are taken.
func (f *fleet) start(r *simRequest, s *simServer) {
	r.starts++
	r.server = s
	r.began = f.now
	if s.overloaded || s.leaving {
		f.refuse(r)
		return
	}
	if len(s.running) >= s.slots {
		s.queue = append(s.queue, r)
		f.overSlots = max(f.overSlots, len(s.queue))
		return
	}
	f.begin(r)
}

func (f *fleet) begin(r *simRequest) {
	s := r.server
	s.use(f.now)
	s.running = append(s.running, r)
	r.first = f.now - r.began + 5*time.Millisecond
	r.began = f.now
	n := f.nodes[r.entry]
	f.after(time.Duration(r.cost/s.rate*float64(time.Second)), func() { f.finish(r, n) })
}

func (s *simServer) use(now time.Duration) {
	s.busy += time.Duration(len(s.running)) * (now - s.busyAt)
	s.busyAt = now
}

func (f *fleet) finish(r *simRequest, n *share.Node) {
	s := r.server
	s.use(f.now)
	for i, x := range s.running {
		if x == r {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	r.ended = true
	f.served[keyOf(r)] += r.cost / r.Weight
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		f.begin(next)
	}
	if f.nodes[r.entry] == n {
		n.End(f.clock(r.entry), r.ID, share.Result{Cost: msg.Cost(r.cost), First: r.first, Total: f.now - r.began})
		f.runActions(r.entry)
	}
	delete(f.requests, r.ID)
	f.done(r)
}
