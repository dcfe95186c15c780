package emulator

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Policy is who decides where a request goes, and whether.
type Policy int

// The policies. All but Product, Scheduled and AllKnowing send each request at once, whatever waits.
const (
	Product     Policy = iota // the routers, by the decision code of the program
	Scheduled                 // the same with a scheduler in each data centre
	Random                    // any engine
	LeastLoaded               // the one with the fewest requests, by reports as old as the routers'
	TwoAtRandom               // the better of two, by the same reports
	HomesOnly                 // the one to which the first shared part is hashed
	// AllKnowing is one queue for the whole fleet, with exact loads and caches. A request goes
	// to an engine when that has read what it had, and is refused when it can't be in time any
	// more; the customer that got least goes first. No fleet of routers can have that; how far
	// a policy is from it is the figure by which it is judged.
	AllKnowing
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"product", "scheduled", "random", "least loaded", "two at random", "homes only", "all-knowing"}[p]
}

// baseline decides in place of the routers.
type baseline struct {
	s       *sim
	known   map[string]int // requests at each engine, as of an old report
	waiting []*request     // all-knowing only
	served  map[*Customer]float64
}

func newBaseline(s *sim) *baseline {
	return &baseline{s: s, known: map[string]int{}, served: map[*Customer]float64{}}
}

// report has the loads of this moment known after the delay.
func (b *baseline) report() {
	loads := map[string]int{}
	for _, e := range b.s.list {
		loads[e.id] = e.running
	}
	b.s.after(b.s.ReportDelay, func() { b.known = loads })
}

// place decides on a request that has come.
func (b *baseline) place(q *request) {
	if q.customer.HostTakes > 0 && !b.s.carried(q) {
		q.second().Refused += q.tokens() // a host that has no time lets nothing in, whoever decides
		return
	}
	if b.s.Policy == AllKnowing {
		b.waiting = append(b.waiting, q)
		b.serve()
		return
	}
	e := b.choose(q)
	b.s.after(hop, func() { q.send(e, nil, alone{q}) })
}

// choose returns the engine of a request.
func (b *baseline) choose(q *request) *engine {
	list := b.s.list
	any := func() *engine { return list[b.s.rng.IntN(len(list))] }
	switch b.s.Policy {
	case LeastLoaded:
		return b.least(list)
	case TwoAtRandom:
		return b.least([]*engine{any(), any()})
	case HomesOnly:
		return list[hashed(q.ask.Prompt[0].ID)%uint64(len(list))]
	}
	return any()
}

// least returns the engine with the fewest requests, by the last report; of several the
// first from a random one on.
func (b *baseline) least(list []*engine) *engine {
	from := b.s.rng.IntN(len(list))
	best := list[from]
	for i := range list {
		if e := list[(from+i)%len(list)]; b.known[e.id] < b.known[best.id] {
			best = e
		}
	}
	return best
}

// hashed is a number that stands for the text.
func hashed(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // it never fails
	return h.Sum64()
}

// serve sends the requests whose engine can begin with them now. Which engine is best for
// each, and whether any is, is worked out anew each time an engine has read what it had.
func (b *baseline) serve() {
	b.refuseLate()
	order := slices.Clone(b.waiting)
	slices.SortStableFunc(order, func(x, y *request) int { return cmp.Compare(b.served[x.customer], b.served[y.customer]) })
	freeAt := map[*engine]time.Time{}
	for _, e := range b.s.list {
		freeAt[e] = latest(e.freeAt, b.s.now)
	}
	for _, q := range order {
		e, done := b.soonest(q, freeAt)
		if e == nil || done.Sub(q.begin) > q.customer.Target {
			continue // nothing can serve it in time behind those before it
		}
		if !freeAt[e].After(b.s.now) {
			b.send(q, e)
		}
		freeAt[e] = done
	}
}

// send gives the engine the request.
func (b *baseline) send(q *request, e *engine) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *request) bool { return w == q })
	b.served[q.customer] += q.tokens()
	q.send(e, nil, alone{q})
	b.s.after(e.freeAt.Sub(b.s.now), b.serve)
}

// refuseLate refuses what can't be in time, wherever it went.
func (b *baseline) refuseLate() {
	b.waiting = slices.DeleteFunc(b.waiting, func(q *request) bool {
		left := q.customer.Target - b.s.now.Sub(q.begin) - b.s.Engine.Base - hop
		if left > 0 {
			return false
		}
		q.second().Refused += q.tokens()
		return true
	})
}

// soonest returns the engine that has read the request first, and when; nil: all are lost.
func (b *baseline) soonest(q *request, freeAt map[*engine]time.Time) (best *engine, done time.Time) {
	for _, e := range b.s.list {
		if e.lost {
			continue
		}
		at := freeAt[e].Add(e.reading(e.lacks(q)) + e.Base + hop)
		if best == nil || at.Before(done) {
			best, done = e, at
		}
	}
	return best, done
}

// latest returns the later moment.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lacks is how many tokens of the request the engine has to read.
func (e *engine) lacks(q *request) (tokens int) {
	for _, part := range q.ask.Prompt {
		if !e.keeps(part) {
			tokens += part.Tokens
		}
	}
	return tokens
}

// alone is a request that no router watches.
type alone struct{ q *request }

func (alone) began()  {}
func (alone) ended()  {}
func (w alone) lost() { w.q.second().Failed += w.q.tokens() }

// Served is the part of what was asked for between two moments that was served in time, over
// all customers.
func (r *Result) Served(from, to time.Duration) float64 {
	var sum Second
	for name := range r.Seconds {
		sum.Add(r.Total(name, from, to))
	}
	return sum.InTime / sum.Asked
}
