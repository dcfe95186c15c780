package emulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
)

const (
	service = "llm"
	// hop is the way from a router to an engine.
	hop = time.Millisecond
	// retryRatio and retrySlack are the fleet's retry budget.
	retryRatio = 0.2
	retrySlack = 600
	// attempts is to how many engines a request may be sent.
	attempts = 2
)

// event is something that happens at a moment; of those at one moment the one that was
// planned first.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
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
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	events  queue
	seq     int
	routers []*state.State
	engines map[string]*engine
	list    []*engine
	routes  map[string]*routing.Route
	result  *Result
	ids     int
	version uint64                // of the list of engines
	room    map[*Customer]float64 // tokens that its hosts can carry now
	roomAt  map[*Customer]time.Time
	askers  []*asker // by router
	askerOf map[*state.State]*asker
	base    *baseline // who decides in place of the routers; nil: they do
}

// Run plays the scenario. The same scenario gives the same result.
func Run(sc Scenario) *Result {
	if sc.Policy == Scheduled {
		sc.Policy, sc.Schedulers = Product, max(sc.Schedulers, 1)
	}
	s := &sim{
		Scenario: sc,
		rng:      rand.New(rand.NewPCG(sc.Seed, 1)),
		start:    time.Unix(1000, 0),
		engines:  map[string]*engine{},
		routes:   map[string]*routing.Route{},
		version:  1,
		room:     map[*Customer]float64{},
		roomAt:   map[*Customer]time.Time{},
		askerOf:  map[*state.State]*asker{},
		result:   &Result{Seconds: map[string][]Second{}},
	}
	s.now = s.start
	s.build()
	for i := range sc.Customers {
		c := &sc.Customers[i]
		s.result.Seconds[c.Name] = make([]Second, int(sc.Length/time.Second)+1)
		s.routes[c.Name] = &routing.Route{Name: c.Name, Kind: routing.Stream, Target: c.Target, MaxAttempts: attempts}
		s.arrive(c)
	}
	for _, l := range sc.Losses {
		s.lose(l)
	}
	if sc.Policy != Product {
		s.base = newBaseline(s)
	}
	s.report()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.Sub(s.start) > sc.Length {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

// after plans something.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, do})
}

// centre is the data centre of the i-th router or engine.
func (s *sim) centre(i int) string { return fmt.Sprintf("dc%d", i%max(s.DataCentres, 1)) }

// build makes the engines and the routers.
func (s *sim) build() {
	var servers []routing.Server
	for i := range s.Scenario.Engines {
		e := &engine{Engine: s.engineAt(i), id: fmt.Sprintf("i-%04d", i), addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), cache: map[string]cached{}}
		s.engines[e.id] = e
		s.list = append(s.list, e)
		servers = append(servers, s.entryOf(i, e))
	}
	config := &routing.Config{
		Version: 1,
		Limits:  routing.Limits{TokensPerSec: s.Capacity},
		Services: []routing.Service{{Name: service, Engine: &routing.Engine{
			Slots: s.Engine.Slots, CacheTokens: s.Engine.CacheTokens, FetchPerToken: s.Engine.FetchPerToken,
		}}},
	}
	for i := range s.Routers {
		r := state.NewSeeded(s.centre(i), retryRatio, retrySlack, func() time.Time { return s.now }, s.Seed+uint64(i)+1)
		r.ApplyConfig(config, nil)
		r.ReplaceServers(servers, roster.Stamp{Version: 1}, true)
		r.SetRouterCount(s.Routers)
		r.SetAssignsClasses(i < max(s.DataCentres, 1)) // the first one of each data centre
		s.routers = append(s.routers, r)
	}
	s.buildSchedulers()
}

// engineAt returns the properties of the i-th engine.
func (s *sim) engineAt(i int) Engine {
	e := s.Engine
	if n := len(s.EngineSpeeds); n > 0 {
		speed := s.EngineSpeeds[i/max(s.DataCentres, 1)%n]
		e.TokensPerMs *= speed
		e.Step = time.Duration(float64(e.Step) / speed)
	}
	return e
}

// place has the request decided on.
func (s *sim) place(q *request) {
	if s.base != nil {
		s.base.place(q)
		return
	}
	q.place(s.entry(q.customer))
}

// report has all routers report, and each hear the total of all after the delay.
func (s *sim) report() {
	if s.base != nil {
		s.base.report()
		s.after(s.ReportEvery, s.report)
		return
	}
	total := state.NewReport()
	sent := pick.SentParts{}
	firsts := map[string]pick.FirstTokenSums{}
	var reports []state.Report
	var acknowledged []uint64
	times := map[routing.ServerKey]pick.ServerTimes{}
	classes := map[routing.ServerKey]pick.SpeedClass{}
	for i, r := range s.routers {
		own := r.Report()
		reports = append(reports, own)
		acknowledged = append(acknowledged, s.askers[i].acknowledged())
		total.Add(own)
		for key, parts := range own.SentParts {
			sent[key] = append(sent[key], parts...)
		}
		for name, f := range own.FirstTokens {
			firsts[name] = firsts[name].Plus(f)
		}
		for key, t := range own.ServerTimes {
			times[key] = times[key].Plus(t)
		}
	}
	for _, r := range s.routers[:min(s.Routers, max(s.DataCentres, 1))] {
		maps.Copy(classes, r.TakeSpeedClasses(true))
	}
	s.after(s.ReportDelay, func() {
		for _, r := range s.routers {
			for _, key := range sortedKeys(sent) {
				r.MergeSentParts(pick.SentParts{key: sent[key]})
			}
			r.MergeFirstTokens(firsts)
			r.MergeServerTimes(times)
			r.MergeSpeedClasses(classes)
			if s.schedulerAt(r) != nil {
				continue
			}
			each := state.NewReport()
			each.Add(total)
			r.ApplyTotalReport("total", each)
		}
		s.applyAtSchedulers(reports, acknowledged)
	})
	for _, r := range s.routers {
		r.Tick()
	}
	s.after(s.ReportEvery, s.report)
}

// lose plans a loss of engines and their return.
func (s *sim) lose(l Loss) {
	s.after(l.At, func() {
		for _, e := range s.list[:l.Engines] {
			e.lost, e.silent = true, l.Silent
		}
	})
	s.after(l.Back, func() {
		for i, e := range s.list[:l.Engines] {
			s.back(i, e, l.Return)
		}
	})
}

// back has an engine start again, and the routers learn of it.
func (s *sim) back(i int, e *engine, how Return) {
	fresh := &engine{Engine: e.Engine, id: e.id, addr: e.addr, cache: map[string]cached{}, backAt: s.now}
	entry := s.entryOf(i, fresh)
	var gone []string
	switch how {
	case Untold:
	case UnderTheirs:
		entry.Born = s.now.UnixMilli()
	case UnderNew:
		gone = []string{e.id}
		fresh.id = e.id + "-again"
		entry.ID = fresh.id
	}
	s.engines[fresh.id] = fresh
	s.list[i] = fresh
	s.version++
	for _, r := range s.routers {
		r.ApplyServerChanges([]routing.Server{entry}, gone, roster.Stamp{Version: s.version})
	}
}

// entryOf is the i-th engine's entry.
func (s *sim) entryOf(i int, e *engine) routing.Server {
	return routing.Server{ID: e.id, Service: service, Addr: e.addr, DataCentre: s.centre(i), Slots: e.Slots, State: routing.ServerReady}
}

// sortedKeys returns the names in order, so that a run repeats.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// holder is the engine at the address; nil: none.
func (s *sim) holder(addr string) *engine {
	for _, e := range s.list {
		if e.addr == addr {
			return e
		}
	}
	return nil
}
