package attempt

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// These benchmarks compare retry policies in virtual time: an open stream of requests, as many
// routers as a fleet has, and one pool of servers with slots and a queue, as in Marc Brooker's talk
// (PAPER-marc-brooker-talk-lessons-27e8.md). They use the package's own Allowance and Backoff and
// are deterministic.
const (
	simSlots    = 100
	simService  = 100 * time.Millisecond // mean
	simRate     = 700.0                  // requests per second; the slots can serve 1000
	simTimeout  = 500 * time.Millisecond // timeout of one attempt
	simRouters  = 8
	simTime     = 60 * time.Second
	simPercent  = 10.0
	simAttempts = 4 // a fixed number of three retries
	spikeFrom   = 10 * time.Second
	spikeTo     = 11 * time.Second
	spikeTimes  = 5.0
)

// policy is a retry policy: retry decides whether another attempt may follow n failed ones.
type policy struct {
	retry   func(router, n int) bool
	success func(router int)
	hedge   time.Duration // delay before a second attempt is sent beside the first; 0: never
	breaker bool          // on/off circuit breaker: opens for a second if more than one in ten failed
}

func policies() map[string]policy {
	buckets := make([]*Allowance, simRouters)
	for i := range buckets {
		buckets[i] = NewAllowance()
	}
	nothing := func(int) {}
	never := func(int, int) bool { return false }
	return map[string]policy{
		"none":    {retry: never, success: nothing},
		"fixed3":  {retry: func(_, n int) bool { return n < simAttempts }, success: nothing},
		"hedge":   {retry: never, success: nothing, hedge: 3 * simService}, // about the 95th percentile
		"breaker": {retry: never, success: nothing, breaker: true},
		"allowance": {
			retry:   func(r, n int) bool { return n < 3 && buckets[r].Take() },
			success: func(r int) { buckets[r].Succeeded(simPercent) },
		},
	}
}

// event is a scheduled action of the simulation.
type event struct {
	at time.Duration
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// sim is one simulation run.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	events eventHeap
	policy policy
	fails  float64 // probability that an attempt fails immediately
	bound  int     // maximum queue length, beyond which requests are refused immediately; 0: unbounded
	cancel bool    // requests are removed from the queue once their caller has given up

	queue   []*try
	running int

	breakers          [simRouters]breaker
	arrived, answered []int // by second of arrival
	attempts          int
}

// breaker is an on/off circuit breaker over windows of results.
type breaker struct {
	results, failures int
	until             time.Duration // the breaker is open until then
}

// breakerWindow is the number of results that decide whether the breaker opens.
const breakerWindow = 100

func (b *breaker) record(now time.Duration, ok bool) {
	b.results++
	if !ok {
		b.failures++
	}
	if b.results < breakerWindow {
		return
	}
	if b.failures > breakerWindow/10 {
		b.until = now + time.Second
	}
	b.results, b.failures = 0, 0
}

// try is one attempt at the pool.
type try struct {
	over bool // answered or timed out
	done func(ok bool)
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

func (s *sim) run() {
	seconds := int(simTime / time.Second)
	s.arrived, s.answered = make([]int, seconds), make([]int, seconds)
	s.arrive()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// arrive starts one request and schedules the next.
func (s *sim) arrive() {
	rate := simRate
	if s.now >= spikeFrom && s.now < spikeTo && s.fails == 0 {
		rate *= spikeTimes
	}
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if s.now+gap < simTime {
		s.after(gap, s.arrive)
	}
	second := int(s.now / time.Second)
	s.arrived[second]++
	s.attempt(second, s.rng.IntN(simRouters), 1)
}

// attempt sends the nth attempt of a request.
func (s *sim) attempt(second, router, n int) {
	if s.policy.breaker && s.now < s.breakers[router].until {
		return // refused
	}
	s.attempts++
	t := &try{}
	t.done = func(ok bool) {
		if t.over {
			return
		}
		t.over = true
		s.breakers[router].record(s.now, ok)
		if ok {
			s.answered[second]++
			s.policy.success(router)
			return
		}
		if s.policy.retry(router, n) {
			s.after(Backoff(n, s.rng.Float64()), func() { s.attempt(second, router, n+1) })
		}
	}
	s.after(simTimeout, func() { t.done(false) })
	if s.rng.Float64() < s.fails || (s.bound > 0 && len(s.queue) >= s.bound) {
		t.done(false)
		return
	}
	s.queue = append(s.queue, t)
	s.fill()
	if s.policy.hedge == 0 {
		return
	}
	s.after(s.policy.hedge, func() {
		if !t.over {
			s.attempts++
			s.queue = append(s.queue, t)
			s.fill()
		}
	})
}

// fill starts queued attempts while slots are free. Without cancellation, servers also run attempts
// whose caller has given up.
func (s *sim) fill() {
	for s.running < simSlots && len(s.queue) > 0 {
		t := s.queue[0]
		s.queue = s.queue[1:]
		if s.cancel && t.over {
			continue
		}
		s.running++
		s.after(time.Duration(s.rng.ExpFloat64()*float64(simService)), func() {
			s.running--
			t.done(true)
			s.fill()
		})
	}
}

// recovery returns the number of seconds after the spike from which the pool answers at least nine
// in ten of the requests of every second; -1: never.
func (s *sim) recovery() float64 {
	last := -1
	for second := range s.arrived {
		if float64(s.answered[second]) < 0.9*float64(s.arrived[second]) {
			last = second
		}
	}
	switch {
	case last == len(s.arrived)-1:
		return -1
	case last < int(spikeTo/time.Second):
		return 0
	default:
		return float64(last + 1 - int(spikeTo/time.Second))
	}
}

func sum(list []int) (n int) {
	for _, v := range list {
		n += v
	}
	return n
}

func BenchmarkRetryPolicies(b *testing.B) {
	for _, scenario := range []struct {
		name string
		sim  sim
	}{
		{"spike", sim{}},
		{"spike-cancelled", sim{cancel: true}},
		{"spike-refusing", sim{bound: 100}},
		{"failures5", sim{fails: 0.05}},
		{"failures30", sim{fails: 0.30}},
	} {
		for _, name := range []string{"none", "fixed3", "allowance", "hedge", "breaker"} {
			b.Run(scenario.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					s := scenario.sim
					s.policy = policies()[name]
					s.rng = rand.New(rand.NewPCG(1, 2))
					s.run()
					b.ReportMetric(100*float64(sum(s.answered))/float64(sum(s.arrived)), "answered%")
					b.ReportMetric(100*float64(s.attempts)/float64(sum(s.arrived)), "attempts%")
					b.ReportMetric(s.recovery(), "recovery-s")
				}
			})
		}
	}
}
