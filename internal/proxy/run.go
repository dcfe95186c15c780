package proxy

import (
	"context"
	stderrors "errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/dispatch"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/problem"
)

// defaultRetryAfter is the Retry-After of refusals that know nothing better.
const defaultRetryAfter = time.Second

// run is one request, over all its attempts. It belongs to the request's
// goroutine.
type run struct {
	p        *Proxy
	w        http.ResponseWriter
	r        *http.Request
	customer *settings.Customer
	ctx      context.Context // ends with the deadline, or when the caller goes
	cancel   context.CancelFunc
	queueCtx context.Context // ends when it is too late to begin
	began    time.Time
	deadline time.Time
	want     dispatch.Request
	x        *attempt.Exchange
	last     *backend.Error // of the last attempt; nil: it had no failure
	finish   Finish
}

// newRun prepares a request. close must follow.
func (p *Proxy) newRun(w http.ResponseWriter, r *http.Request, c *settings.Customer, a arrival, pool msg.PoolID, rule attempt.Policy) *run {
	deadline := a.at.Add(a.limit)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	return &run{
		p: p, w: w, r: r, customer: c, ctx: ctx, cancel: cancel, queueCtx: ctx,
		began: a.at, deadline: deadline,
		x: attempt.NewExchange(rule),
		want: dispatch.Request{
			ID:       newID(),
			Pool:     pool,
			Customer: c.Path,
			Weight:   c.Weight,
			Bytes:    len(a.body),
			Limits: dispatch.Limits{
				QueueLen:    c.QueueLen,
				QueueTime:   c.QueueTime,
				Concurrency: c.Concurrency,
			},
		},
		finish: Finish{Customer: c.Path, Pool: pool},
	}
}

// keepRunning lets the request run to its end when its caller goes.
func (u *run) keepRunning() {
	u.cancel()
	ctx := context.WithoutCancel(u.r.Context())
	u.ctx, u.cancel = context.WithDeadline(ctx, u.deadline)
	u.queueCtx = u.ctx
}

// close tells the observer how the request ended.
func (u *run) close() {
	u.cancel()
	u.finish.Outcome = u.x.Outcome()
	u.finish.Attempts = u.x.Attempts()
	u.finish.Total = u.p.Now().Sub(u.began)
	u.p.Observer.Finish(u.finish)
}

// attempts runs try at one server after the other for as long as the exchange
// asks for another. It reports whether there is a complete response; if not, the
// caller has been told.
func (u *run) attempts(try func(*slot) attempt.Action) bool {
	for {
		s, refusal := u.acquire()
		if refusal != nil {
			u.noSlot(refusal)
			return false
		}
		u.x.BeginAttempt()
		action := u.attemptOnce(s, try)
		if action == attempt.Retry && !u.mayRetry() {
			action = u.x.Step(u.event(attempt.RetryDenied))
		}
		switch action {
		case attempt.Retry:
			continue
		case attempt.Finish:
			u.p.succeeded(u.want.Pool, u.customer.RetryPercent)
			return true
		case attempt.Abort:
			u.breakCaller()
		}
		u.fail()
		return false
	}
}

// attemptOnce runs one attempt and ends its slot, also where try panics to break
// the caller's connection.
func (u *run) attemptOnce(s *slot, try func(*slot) attempt.Action) attempt.Action {
	u.last = nil // an earlier attempt's failure says nothing of this server
	u.p.Observer.Running(u.want.Customer, 1)
	outcome := attempt.Unknown
	defer func() { u.attemptEnded(s, outcome) }()
	action := try(s)
	outcome = u.x.Last()
	return action
}

// attemptEnded ends the slot and tells the observer.
func (u *run) attemptEnded(s *slot, outcome attempt.Outcome) {
	failure := u.failureOf(outcome)
	s.end(outcome, failure)
	u.p.Observer.Running(u.want.Customer, -1)
	u.p.Observer.Attempt(Attempt{
		Pool:    u.want.Pool,
		Server:  s.Server().ID,
		Outcome: outcome,
		Leaving: failure != nil && failure.Leaving,
	})
	u.finish.Cost += s.cost
	u.want.Avoid = append(u.want.Avoid, s.Server().ID)
}

// failureOf returns the attempt's last failure, nil if it ended well or had none.
func (u *run) failureOf(o attempt.Outcome) *backend.Error {
	if o == attempt.Completed {
		return nil
	}
	return u.last
}

// acquire waits for a slot.
func (u *run) acquire() (*slot, *dispatch.Refusal) {
	asked := u.p.Now()
	u.p.Observer.Waiting(u.want.Customer, 1)
	defer u.p.Observer.Waiting(u.want.Customer, -1)
	granted, err := u.p.Picker.Acquire(u.queueCtx, u.want)
	u.finish.Wait += u.p.Now().Sub(asked)
	if err == nil {
		return &slot{Slot: granted, now: u.p.Now, began: u.p.Now()}, nil
	}
	var refusal *dispatch.Refusal
	if !stderrors.As(err, &refusal) {
		refusal = &dispatch.Refusal{Reason: dispatch.NoServer}
	}
	return nil, refusal
}

// call returns what every attempt at a server has in common.
func (u *run) call(s *slot) backend.Call {
	return backend.Call{
		Server:  s.Server(),
		Request: u.want.ID,
		Attempt: u.x.Attempts(),
		Timeout: u.deadline.Sub(u.p.Now()),
	}
}

// event returns an event of the current attempt and leg.
func (u *run) event(kind attempt.Kind) attempt.Event {
	return attempt.Event{Kind: kind, Attempt: u.x.Attempts(), Leg: u.x.Leg()}
}

// failed steps the exchange by a failure of the current leg.
func (u *run) failed(e *backend.Error) attempt.Action {
	u.last = e
	u.logFailure(e)
	if e.Outcome == attempt.Unknown {
		u.x.Step(u.event(attempt.Wrote))
	}
	if u.ctx.Err() != nil {
		return u.x.Step(u.event(attempt.Expired))
	}
	return u.x.Step(u.event(kindOf(e)))
}

// kindOf returns the event that a failure is.
func kindOf(e *backend.Error) attempt.Kind {
	switch {
	case e.Outcome == attempt.NotSent:
		return attempt.DialFailed
	case e.Outcome == attempt.Refused:
		return attempt.Refusal
	case e.Foreign:
		return attempt.Mismatch
	case e.Err == backend.ErrStreamAbsent:
		return attempt.ResumeUnavailable
	default:
		return attempt.Interrupted
	}
}

// logFailure logs a failed attempt, without anything of the caller's.
func (u *run) logFailure(e *backend.Error) {
	event, level := events.AttemptFailed, slog.LevelInfo
	if e.Foreign {
		event, level = events.ForeignAnswer, slog.LevelWarn
	}
	event.Log(u.ctx, u.p.Log, level, "request", u.want.ID, "attempt", u.x.Attempts(),
		"pool", u.want.Pool, "stage", e.Stage.String(), "outcome", e.Outcome.String(), "cause", e.Err)
}

// mayRetry asks the allowance, then waits with full jitter. Only then may
// another attempt begin: the token bucket and the jitter of Marc Brooker's talk
// (PAPER-marc-brooker-talk-lessons-27e8.md).
func (u *run) mayRetry() bool {
	ok := u.p.takeRetry(u.want.Pool)
	u.p.Observer.Retry(u.want.Pool, ok)
	if !ok {
		events.RetryDenied.Log(u.ctx, u.p.Log, slog.LevelInfo, "request", u.want.ID, "pool", u.want.Pool)
		return false
	}
	return pause.For(u.ctx, attempt.Backoff(u.x.Attempts(), uniform()))
}

// gone reports whether the caller went.
func (u *run) gone() bool { return u.r.Context().Err() != nil }

// expired reports whether the deadline passed.
func (u *run) expired() bool {
	return u.ctx.Err() == context.DeadlineExceeded && !u.gone()
}

// slotProblems are the types of what the picker refuses.
var slotProblems = map[dispatch.Reason]problem.Type{
	dispatch.QueueFull:    problem.QueueFull,
	dispatch.RouterFull:   problem.RouterFull,
	dispatch.QueueTimeout: problem.QueueTimeout,
	dispatch.NoServer:     problem.NoServer,
	dispatch.CallerGone:   problem.Deadline,
}

// noSlot tells the caller that no slot was had. After an earlier attempt it
// tells what became of that one.
func (u *run) noSlot(r *dispatch.Refusal) {
	if u.x.Attempts() > 0 {
		u.fail()
		return
	}
	t := slotProblems[r.Reason]
	if r.Reason == dispatch.CallerGone && u.ctx.Err() == nil {
		t = problem.QueueTimeout
	}
	after := r.RetryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	u.refuse(t, after)
}

// fail tells the caller that the attempts did not bring an answer.
func (u *run) fail() {
	after := defaultRetryAfter
	if u.last != nil && u.last.RetryAfter > 0 {
		after = u.last.RetryAfter
	}
	u.refuse(u.problem(), after)
}

// lapsed reports whether the lease of the claim stopped the call.
func (u *run) lapsed() bool {
	var lapsed claim.LeaseExpiredError
	return u.last != nil && (stderrors.As(u.last, &lapsed) || stderrors.Is(u.last, backend.ErrFence))
}

// problem returns the type of a failure after all attempts.
func (u *run) problem() problem.Type {
	switch {
	case u.lapsed() && !u.x.Outcome().MayHaveRun():
		return problem.ClaimLapsed
	case u.expired():
		return problem.Deadline
	case u.x.Outcome() == attempt.Refused:
		return problem.ServerRefused
	case u.x.Outcome() == attempt.NotSent:
		return problem.ServerUnreachable
	case u.last != nil && u.last.Stage == backend.StageBody:
		return problem.AnswerCut
	default:
		return problem.ServerLost
	}
}

// refuse sends the final problem at once, with what is known of the outcome.
func (u *run) refuse(t problem.Type, after time.Duration) {
	u.finish.Gone = u.gone()
	u.finish.Problem = t.Name
	outcome := u.x.Outcome()
	events.RequestRefused.Log(u.ctx, u.p.Log, slog.LevelInfo, "request", u.want.ID,
		"pool", u.want.Pool, "customer", u.want.Customer, "problem", t.Name, "outcome", outcome.String())
	problem.Write(u.w, t, problem.Info{Outcome: outcome, RetryAfter: after, Request: u.want.ID})
}

// breakCaller breaks the caller's connection, so that the part of the answer
// that went out can't be taken for a whole one. It does not return.
func (u *run) breakCaller() {
	u.finish.Broken = true
	u.finish.Gone = u.gone()
	events.AnswerBroken.Log(u.ctx, u.p.Log, slog.LevelWarn, "request", u.want.ID, "pool", u.want.Pool)
	panic(http.ErrAbortHandler)
}
