package front

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

const (
	// maxDials bounds the servers that one request tries to reach in vain.
	maxDials = 4
	// leastLeft is the time below which a request is not sent any more.
	leastLeft = 5 * time.Millisecond
	// lateX and lateBase say when an answer is so late that its server is
	// suspected: so many times what was expected, and this beside.
	lateX    = 4
	lateBase = 700 * time.Millisecond
	// lateX and lateBasePlain are the same for plain services.
	lateBasePlain = 250 * time.Millisecond
	// gapX is how many of the longest pauses that are in time make a stream's
	// pause one in which its server is suspected.
	gapX = 5
	// leastGap bounds it from below.
	leastGap = 900 * time.Millisecond
)

// verdict is what one exchange left the request with.
type verdict int

const (
	done    verdict = iota + 1 // the caller has its answer
	gone                       // the caller has left
	again                      // it may be sent to another server
	gaveUp                     // it may not
	cut                        // the answer had begun and can't go on
	timeout                    // the time is over
)

// run sends the request to servers until one answers or no other may be asked.
func (q *request) run() {
	ctx, cancel := context.WithTimeout(q.r.Context(), q.remaining())
	defer cancel()
	q.h.inFlight.begin(q, cancel)
	defer q.h.inFlight.end(q)
	if q.hasLeft() {
		q.leave()
		panic(http.ErrAbortHandler) // nobody reads an answer
	}
	defer q.endTrial()
	f := q.blocked()
	for f == nil {
		placed := q.place()
		q.paid = false
		if placed.Reason != state.ReasonNone {
			f = q.unplaced(placed)
			break
		}
		v := q.try(ctx, placed)
		if v == done {
			return
		}
		if v == gone {
			panic(http.ErrAbortHandler) // nobody reads an answer
		}
		if v == timeout {
			f = &Refusal{Status: http.StatusGatewayTimeout, Reason: "the time is over", Offered: true}
			break
		}
		if v != again || !q.mayRetry() {
			f = q.failed()
			break
		}
	}
	if q.started {
		q.log(slog.LevelInfo, events.EdgeCut, "reason", f.Reason, "last", q.last, "tries", len(q.tried))
		q.h.Meter.Refused(q.customer, "answer cut")
		panic(http.ErrAbortHandler) // the caller sees that the answer is not whole
	}
	q.refuse(f)
}

// place asks for a server.
func (q *request) place() state.Placement { return q.h.State.Place(q.need()) }

// need is what the request asks of the state.
func (q *request) need() state.Request {
	return state.Request{
		Service:        q.service,
		Route:          q.route,
		Customer:       q.customer,
		AllowedRegions: q.homes,
		BodyBytes:      len(q.body),
		Meta:           &q.ask,
		Tried:          q.tried,
		Admitted:       len(q.tried) > 0,
		Retry:          q.sent > 0 && !q.paid,
		Isolated:       q.apart,
	}
}

// mayRetry reports whether the request may go to one more server.
func (q *request) mayRetry() bool {
	if q.sent >= q.route.MaxAttempts || len(q.tried) >= maxDials {
		return false
	}
	if q.mayRun && !q.route.Repeatable() {
		return false
	}
	if q.blocked() != nil {
		return false
	}
	return q.remaining() > leastLeft
}

// unplaced is the answer to a request that no server was found for.
func (q *request) unplaced(p state.Placement) *Refusal {
	if len(q.tried) > 0 {
		f := q.failed()
		f.Reason += "; then: " + p.Reason.String()
		return f
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: "no capacity: " + p.Reason.String(),
		Back:   p.RetryAfter,
		inputs: []any{
			"server", p.Choice.Server.ID, "waitMs", p.Choice.Wait.Milliseconds(), "ownMs", p.Choice.Processing.Milliseconds(),
			"candidates", p.Choice.Candidates, "asked", int64(p.Rates.Demand), "served", int64(p.Rates.Served),
			"share", int64(min(p.Level, math.MaxInt32)),
		},
	}
}

// failed is the answer to a request whose tries have all failed.
func (q *request) failed() *Refusal {
	if q.mayRun {
		return &Refusal{Status: http.StatusBadGateway, Reason: "a server gave no whole answer", Offered: true}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no server took the request", Back: comeBack, Offered: q.sent > 0}
}

// try sends the request to one server.
func (q *request) try(ctx context.Context, p state.Placement) verdict {
	server := p.Choice.Server
	q.tried = append(q.tried, server.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &exchange{q: q, placed: p, job: p.Job, server: server, cancel: cancel, began: q.h.Now()}
	x.watch(q.patience(p.Choice))
	defer x.stopWatch()
	if q.routine {
		q.log(slog.LevelInfo, events.EdgeSent, "server", server.ID, "waitMs", p.Choice.Wait.Milliseconds(),
			"ownMs", p.Choice.Processing.Milliseconds(), "missing", p.Choice.UncachedTokens, "fetchAt", p.Choice.FetchFrom, "candidates", p.Choice.Candidates)
	}
	q.h.Meter.Sent(q.service, len(q.tried) > 1, p.Choice.FetchFrom != "")
	answer, err := q.h.Pool.Do(ctx, q.call(p))
	if err != nil {
		return x.unanswered(err)
	}
	return x.answered(answer)
}

// patience is how long the server may be silent before it is suspected.
func (q *request) patience(c pick.Choice) time.Duration {
	base := lateBase
	if q.route.Kind != routing.Stream {
		base = lateBasePlain
	}
	return base + lateX*(c.Wait+c.Processing)
}

// call renders the request for a server.
func (q *request) call(p state.Placement) upstream.Call {
	if q.header == nil {
		q.header = upstream.EndToEnd(q.r.Header)
	}
	q.h.Headers.SetForwardHeaders(q.header, routing.ForwardMeta{
		TimeLeft:    q.remaining(),
		ServerID:    p.Choice.Server.ID,
		Customer:    q.customer,
		LastEventID: q.last,
		FetchFrom:   p.Choice.FetchFrom,
	})
	return upstream.Call{
		Server:     p.Choice.Server.Identity(),
		Addr:       p.Choice.Server.Addr,
		MaxConns:   p.MaxConns,
		AtMostOnce: !q.route.Repeatable(),
		Method:     q.r.Method,
		Target:     target(q.r),
		Host:       q.r.Host,
		Header:     q.header,
		Body:       q.body,
		Matches:    q.own,
		Accepts:    func() bool { return q.h.State.MaySend(&p) && !q.leftMeanwhile() },
	}
}

// own reports whether an answer belongs to the request. A refusal need not
// name it.
func (q *request) own(status int, h http.Header) bool {
	notRun, _, attempt := q.h.Headers.ParseResponse(status, h)
	if attempt == "" {
		return notRun
	}
	return attempt == q.ask.Attempt
}
