package emulator

import (
	"fmt"
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
)

// request is one request of a caller, over its tries.
type request struct {
	s        *sim
	customer *Customer
	ask      routing.RequestMeta
	begin    time.Time
	again    bool      // its caller has come back once
	received time.Time // when this try of its caller came in
	tried    []string
	sentAt   time.Time // to the last engine
}

// arrive plans a customer's next request.
func (s *sim) arrive(c *Customer) {
	rate := c.PerSecond
	if at := s.now.Sub(s.start); c.Flood > 0 && at >= c.FloodAt && at < c.FloodEnd {
		rate *= c.Flood
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.ids++
		q := &request{s: s, customer: c, begin: s.now, received: s.now}
		q.ask = routing.RequestMeta{
			Attempt: fmt.Sprintf("a%d", s.ids),
			Prompt: []routing.PromptPart{
				{ID: fmt.Sprintf("%s-%d", c.Name, s.rng.IntN(max(c.Things, 1))), Tokens: c.Shared},
				{ID: fmt.Sprintf("own-%d", s.ids), Tokens: c.Own},
			},
			TokensOut: c.Out,
		}
		q.second().Asked += q.tokens()
		s.place(q)
		s.arrive(c)
	})
}

// entry draws the router by which a request of the customer comes in.
func (s *sim) entry(c *Customer) *state.State {
	n := len(s.routers)
	if c.Routers > 0 {
		n = min(n, c.Routers)
	}
	return s.routers[s.rng.IntN(n)]
}

// tokens is what the request costs by the count in which shares are owed.
func (q *request) tokens() float64 {
	const outWeight = 2
	return float64(q.ask.PromptTokens() + outWeight*q.ask.TokensOut)
}

// second is that in which the request came.
func (q *request) second() *Second {
	return &q.s.result.Seconds[q.customer.Name][int(q.begin.Sub(q.s.start)/time.Second)]
}

// place asks the router for an engine.
func (q *request) place(r *state.State) {
	need := state.Request{
		Service:  service,
		Route:    q.s.routes[q.customer.Name],
		Customer: q.customer.Name,
		Meta:     &q.ask,
		Tried:    q.tried,
		Admitted: len(q.tried) > 0,
		Retry:    len(q.tried) > 0,
	}
	if len(q.tried) == 0 && q.customer.HostTakes > 0 && !q.s.carried(q) {
		r.RecordHostOverload(need)
		q.refused(state.Placement{RetryAfter: hostBack})
		return
	}
	if len(q.tried) == 0 {
		if p, refused := r.RefuseEarly(need); refused {
			q.refused(p)
			return
		}
	}
	if !q.s.askerOf[r].ask(q, need) {
		q.follow(r, r.Place(need))
	}
}

// follow sends the request where the router has placed it, or has the caller know of a refusal.
func (q *request) follow(r *state.State, p state.Placement) {
	if p.Reason != state.ReasonNone {
		q.refused(p)
		return
	}
	q.s.result.Tries++
	q.tried = append(q.tried, p.Choice.Server.ID)
	q.s.after(hop, func() { q.send(q.s.engines[p.Choice.Server.ID], q.s.holder(p.Choice.FetchFrom), &placed{q, r, p}) })
}

// hostBack is when a caller returns whom a host refuses for its own load.
const hostBack = 50 * time.Millisecond

// carried reports whether the hosts by which the request comes have room for it.
func (s *sim) carried(q *request) bool {
	c := q.customer
	s.room[c] = min(s.room[c]+c.HostTakes*s.now.Sub(s.roomAt[c]).Seconds(), c.HostTakes/10)
	s.roomAt[c] = s.now
	if s.room[c] <= 0 {
		return false
	}
	s.room[c] -= q.tokens()
	return true
}

// refused has the caller come back as it was told, once.
func (q *request) refused(p state.Placement) {
	q.s.result.Tries++
	q.s.result.RefusedTries++
	if q.again || len(q.tried) > 0 {
		q.second().Refused += q.tokens()
		return
	}
	q.again = true
	q.s.after(p.RetryAfter, func() {
		q.received = q.s.now
		q.place(q.s.entry(q.customer))
	})
}

// watcher is told what becomes of a request at its engine.
type watcher interface {
	began()
	ended()
	// lost returns once the engine is known not to answer; the request may go elsewhere.
	lost()
}

// placed is a request that a router has placed.
type placed struct {
	q  *request
	at *state.State
	p  state.Placement
}

func (w *placed) began() {
	r := w.q.s.result
	r.Expected = append(r.Expected, ms(w.p.Choice.Wait+w.p.Choice.Processing))
	r.Seen = append(r.Seen, ms(w.q.s.now.Sub(w.q.sentAt)))
	w.at.NoteFirstEvent(&w.p)
}

func (w *placed) ended() { w.at.End(&w.p, pick.Succeeded) }

func (w *placed) lost() {
	w.at.End(&w.p, pick.Failed)
	if len(w.q.tried) >= attempts {
		w.q.second().Failed += w.q.tokens()
		return
	}
	w.q.place(w.at)
}

// send brings the request to its engine. What the holder keeps of it is fetched; nil: nothing is.
func (q *request) send(e, holder *engine, w watcher) {
	s := q.s
	s.result.Sent++
	if e.lost {
		q.lostAt(e, w)
		return
	}
	s.countBack(e)
	first, last, read, shared := e.accept(&q.ask, holder, s.now)
	s.result.Read += float64(read)
	s.result.Again += float64(shared)
	q.sentAt = s.now
	s.after(first.Sub(s.now)+hop, func() {
		if e.lost {
			q.lostAt(e, w)
			return
		}
		w.began()
		if s.now.Sub(q.begin) <= q.customer.Target {
			q.second().InTime += q.tokens()
		} else {
			q.second().Late += q.tokens()
		}
	})
	s.after(last.Sub(s.now)+hop, func() {
		e.running = max(0, e.running-1)
		w.ended()
	})
}

// countBack counts a request that reaches an engine that is back.
func (s *sim) countBack(e *engine) {
	if e.backAt.IsZero() {
		return
	}
	i := int(s.now.Sub(e.backAt) / (time.Second / 4))
	for len(s.result.Back) <= i {
		s.result.Back = append(s.result.Back, 0)
	}
	s.result.Back[i]++
}

// lostAt ends a try at an engine that does not answer.
func (q *request) lostAt(e *engine, w watcher) {
	q.s.result.Lost++
	wait := time.Duration(0)
	if e.silent {
		wait = SilentFor
	}
	q.s.after(wait, w.lost)
}

// ms is a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
