package controlplane

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// The network.
const (
	nearDelay = 200 * time.Microsecond // within a data centre, one way
	farDelay  = 900 * time.Microsecond
	linkRate  = 125e6 // bytes a second
	// dialTimeout is after what time a fetch from a host without power fails.
	dialTimeout = 350 * time.Millisecond
)

// costs are what a core needs for single operations (go test -bench, internal/edge/peers and
// internal/edge/state), with what the system charges for a wake-up and its calls.
const (
	costSent     = 12 * time.Microsecond // a datagram
	costTaken    = 30 * time.Microsecond
	costTakenKB  = 25 * time.Microsecond // decoding it
	costMadeKB   = 8 * time.Microsecond
	costFetch    = 250 * time.Microsecond // a connection, at each side
	costGivenKB  = 3 * time.Microsecond
	costFetchKB  = 15 * time.Microsecond // reading and decoding
	costList     = 3 * time.Microsecond  // a server of a list that is taken whole
	costWake     = 20 * time.Microsecond
	costConfig   = 3 * time.Millisecond
	costRow      = 6 * time.Microsecond // a row of the store
	costProcess  = 25 * time.Millisecond
	listOfServer = 35 // bytes of a server in a list
)

// event is something that happens at a moment; of those at one moment the one that was planned
// first.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim is one run.
type sim struct {
	Scenario
	rng    *rand.Rand
	start  time.Time
	now    time.Duration
	events queue
	seq    int
	hosts  []*host
	byAddr map[string]*host
	store  *store
	log    *slog.Logger
	total  Cost
	result *Result
	watch  *watch
	config *routing.Config
	raw    []byte
}

// Run plays the scenario.
func Run(sc Scenario) *Result {
	sc.defaults()
	s := &sim{
		Scenario: sc,
		rng:      rand.New(rand.NewPCG(sc.Seed, 7)),
		start:    time.Unix(1_790_000_000, 0),
		byAddr:   map[string]*host{},
		log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
		result:   &Result{Ready: -1, Known: -1, Steady: map[string]Load{}, Left: map[string]int64{}},
	}
	s.build()
	s.watchStart()
	for i := range sc.Changes {
		s.planChange(sc.Changes[i])
	}
	for i := range sc.Faults {
		s.planFault(sc.Faults[i])
	}
	if sc.Requests > 0 {
		s.arrive()
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > sc.Length {
			break
		}
		s.now = e.at
		e.do()
	}
	s.finish()
	return s.result
}

// after plans something.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(d, 0), s.seq, do})
}

// time is the simulated time of day.
func (s *sim) time() time.Time { return s.start.Add(s.now) }

// build makes the store, the servers and the hosts.
func (s *sim) build() {
	s.store = newStore(s)
	s.config = &routing.Config{Version: 1, Services: []routing.Service{{Name: service, Engine: &routing.Engine{Slots: 64, CacheTokens: 232000}}}}
	for i := range s.Customers {
		s.config.Customers = append(s.config.Customers, routing.Customer{Name: fmt.Sprintf("customer%03d", i)})
	}
	s.raw, _ = json.Marshal(s.config) // a struct of plain fields
	for i := range s.Servers {
		s.store.put(s.server(i, 0))
	}
	for i := range s.Routers {
		h := &host{sim: s, index: i, ready: -1, centre: fmt.Sprintf("dc%d", i%s.DataCentres), cores: s.SmallCores}
		h.addr = fmt.Sprintf("10.%d.%d.%d:8785", i%s.DataCentres, i/s.DataCentres/250, i/s.DataCentres%250+1)
		if i/s.DataCentres%max(s.Routers/s.DataCentres/max(s.Large, 1), 1) == 0 && i/s.DataCentres/max(s.Routers/s.DataCentres/max(s.Large, 1), 1) < s.Large {
			h.cores = s.LargeCores
		}
		s.hosts = append(s.hosts, h)
		s.byAddr[h.addr] = h
	}
	for _, h := range s.hosts {
		s.after(time.Duration(s.rng.Int64N(int64(300*time.Millisecond))), func() { h.boot(true) })
	}
}

const service = "llm"

// server is the entry of the i-th server, at one of its starts.
func (s *sim) server(i, life int) routing.Server {
	return routing.Server{
		ID:         fmt.Sprintf("i-%08x", i*2654435761%(1<<32)+life),
		Born:       s.start.UnixMilli() + int64(i*7+life),
		Service:    service,
		Addr:       fmt.Sprintf("10.%d.%d.%d:8000", 100+i/65536, i/256%256, i%256),
		DataCentre: fmt.Sprintf("dc%d", i%s.DataCentres),
		Slots:      64,
		State:      routing.ServerReady,
	}
}

// seeds are three routers, in three data centres.
func (s *sim) seeds() (addrs []string) {
	for i := range min(3, len(s.hosts)) {
		addrs = append(addrs, s.hosts[(i*len(s.hosts)/3+i)%len(s.hosts)].addr)
	}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// arrive plans the next request: a server is loaded by some router for a while.
func (s *sim) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.Requests*float64(time.Second)), func() {
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		h.request(s.seq)
		s.arrive()
	})
}
