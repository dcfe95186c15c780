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
	// maxServersTried limits the servers to which one request is offered, including those that
	// can't be reached.
	maxServersTried = 4
	// minTimeLeft is the time before the deadline below which a request is not retried.
	minTimeLeft = 5 * time.Millisecond
	// A server is suspected when it is silent for longer than silenceBase plus silenceFactor times
	// the expected time.
	silenceFactor = 4
	silenceBase   = 700 * time.Millisecond
	// silenceBasePlain replaces silenceBase for routes without streams.
	silenceBasePlain = 250 * time.Millisecond
	// gapFactor times the route's gap target is the pause within a stream after which its server
	// is suspected.
	gapFactor = 5
	// minEventGap is the lower limit of that pause.
	minEventGap = 900 * time.Millisecond
)

// attemptResult is the effect of one exchange on its request.
type attemptResult int

const (
	resultAnswered   attemptResult = iota + 1 // the response was sent to the caller
	resultCallerGone                          // the caller disconnected
	resultRetry                               // the request may be sent to another server
	resultNoRetry                             // the request may not be sent to another server
	resultCut                                 // the response has begun and can't be completed
	resultTimeout                             // the request's deadline passed
)

// run sends the request to servers until one responds or no further one may be tried.
func (q *request) run() {
	ctx, cancel := context.WithTimeout(q.r.Context(), q.remaining())
	defer cancel()
	q.h.cancels.add(q, cancel)
	defer q.h.cancels.remove(q)
	if q.callerDisconnected() {
		q.recordDisconnect()
		q.abort() // nobody reads a response
	}
	defer q.endTrial()
	f := q.checkContent()
	if f == nil {
		f = q.findOrigin(ctx)
	}
	for f == nil {
		placement := q.place(ctx)
		q.retryReserved = false
		if q.leftWhileAsking() {
			q.recordDisconnect()
			q.abort() // nobody reads a response
		}
		if placement.Reason != state.ReasonNone {
			f = q.noServerRefusal(placement)
			break
		}
		v := q.attempt(ctx, placement)
		if v == resultAnswered {
			return
		}
		if v == resultCallerGone {
			q.abort() // nobody reads a response
		}
		if v == resultTimeout {
			f = &Refusal{Status: http.StatusGatewayTimeout, Reason: "the time is over", Attempted: true}
			break
		}
		if v != resultRetry || !q.mayRetry() {
			f = q.failedRefusal()
			break
		}
	}
	if q.headerSent {
		q.log(slog.LevelInfo, events.EdgeCut, "reason", f.Reason, "last", q.lastEventID, "tries", len(q.triedServers))
		q.h.Meter.Refused(q.customer, "answer cut")
		q.abort() // lets the caller see that the response is truncated
	}
	q.writeRefusal(f)
}

// placementNeed returns the request's requirements for its placement.
func (q *request) placementNeed() state.Request {
	return state.Request{
		Service:        q.service,
		Route:          q.route,
		Customer:       q.customer,
		AllowedRegions: q.allowedRegions,
		BodyBytes:      len(q.body),
		Meta:           &q.meta,
		Tried:          q.triedServers,
		Admitted:       len(q.triedServers) > 0,
		Retry:          q.sentCount > 0 && !q.retryReserved,
		Isolated:       q.isolate,
		Pinned:         q.pinned,
		Version:        q.version,
	}
}

// mayRetry reports whether the request may be sent to another server.
func (q *request) mayRetry() bool {
	if q.sentCount >= q.route.MaxAttempts || len(q.triedServers) >= maxServersTried {
		return false
	}
	if q.mayHaveRun && !q.route.Repeatable() {
		return false
	}
	if q.checkContent() != nil {
		return false
	}
	return q.remaining() > minTimeLeft
}

// noServerRefusal returns the refusal of a request that could not be placed.
func (q *request) noServerRefusal(placement state.Placement) *Refusal {
	if len(q.triedServers) > 0 {
		f := q.failedRefusal()
		f.Reason += "; then: " + placement.Reason.String()
		return f
	}
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "no capacity: " + placement.Reason.String(),
		RetryAfter: placement.RetryAfter,
		logArgs: append([]any{
			"server", placement.Choice.Server.ID, "waitMs", placement.Choice.Wait.Milliseconds(), "ownMs", placement.Choice.Processing.Milliseconds(),
			"candidates", placement.Choice.Candidates, "asked", int64(placement.Rates.Demand), "served", int64(placement.Rates.Served),
			"share", int64(min(placement.Level, math.MaxInt32)),
		}, q.decidedBy()...),
	}
}

// failedRefusal returns the refusal of a request whose attempts have all failed.
func (q *request) failedRefusal() *Refusal {
	if q.mayHaveRun {
		return &Refusal{Status: http.StatusBadGateway, Reason: "a server gave no whole answer", Attempted: true}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no server took the request", RetryAfter: retryElsewhereAfter, Attempted: q.sentCount > 0}
}

// attempt sends the request to one server.
func (q *request) attempt(ctx context.Context, placement state.Placement) attemptResult {
	server := placement.Choice.Server
	q.triedServers = append(q.triedServers, server.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &exchange{q: q, placement: placement, job: placement.Job, server: server, cancel: cancel, startedAt: q.h.Now()}
	x.startWatchdog(q.silenceLimit(placement.Choice))
	defer x.stopWatchdog()
	if q.logRoutine {
		q.log(slog.LevelInfo, events.EdgeSent, append([]any{"server", server.ID, "version", server.Version, "resumes", q.meta.Resumes, "waitMs", placement.Choice.Wait.Milliseconds(),
			"ownMs", placement.Choice.Processing.Milliseconds(), "missing", placement.Choice.UncachedTokens, "fetchAt", placement.Choice.FetchFrom, "candidates", placement.Choice.Candidates, "speed", math.Round(placement.Choice.Speed*100) / 100}, q.decidedBy()...)...)
	}
	q.h.Meter.Sent(q.service, len(q.triedServers) > 1, placement.Choice.FetchFrom != "")
	answer, err := q.h.Pool.Do(ctx, q.upstreamCall(placement))
	if err != nil {
		return x.handleError(err)
	}
	return x.handleAnswer(answer)
}

// silenceLimit returns how long the server may be silent before it is suspected.
func (q *request) silenceLimit(c pick.Choice) time.Duration {
	base := silenceBase
	if q.route.Kind != routing.Stream {
		base = silenceBasePlain
	}
	return base + silenceFactor*(c.Wait+c.Processing)
}

// upstreamCall builds the call to the chosen server.
func (q *request) upstreamCall(placement state.Placement) upstream.Call {
	if q.header == nil {
		q.header = upstream.EndToEnd(q.r.Header)
	}
	q.h.Headers.SetForwardHeaders(q.header, routing.ForwardMeta{
		TimeLeft:    q.remaining(),
		ServerID:    placement.Choice.Server.ID,
		Customer:    q.customer,
		LastEventID: q.lastEventID,
		FetchFrom:   placement.Choice.FetchFrom,
	})
	return upstream.Call{
		Server:     placement.Choice.Server.Identity(),
		Addr:       placement.Choice.Server.Addr,
		MaxConns:   placement.MaxConns,
		AtMostOnce: !q.route.Repeatable(),
		Method:     q.r.Method,
		Target:     requestTarget(q.r),
		Host:       q.r.Host,
		Header:     q.header,
		Body:       q.body,
		Matches:    q.isOwnAnswer,
		Accepts:    func() bool { return q.h.State.MaySend(&placement) && !q.disconnectedWhileWaiting() },
	}
}

// isOwnAnswer reports whether a response belongs to the request. A response that the request was
// not run need not have the attempt ID.
func (q *request) isOwnAnswer(status int, h http.Header) bool {
	notRun, _, attempt := q.h.Headers.ParseResponse(status, h)
	if attempt == "" {
		return notRun
	}
	return attempt == q.meta.Attempt
}
