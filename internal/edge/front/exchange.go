package front

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

// exchange is one attempt to send a request to one server.
type exchange struct {
	q             *request
	placement     state.Placement
	job           *pick.Job
	server        routing.Server
	cancel        context.CancelFunc
	startedAt     time.Time
	timer         *time.Timer
	due           atomic.Int64 // when the watchdog expires, ns after the request was received
	timedOut      atomicFlag   // the server was silent for too long
	retryReserved atomicFlag   // a retry was taken from the retry budget
	firstEventAt  time.Time    // when the first event arrived; zero: none yet
}

// startWatchdog starts a timer that suspects the server if it is silent for longer than d. A
// request that may be retried is then sent to another server.
func (x *exchange) startWatchdog(d time.Duration) {
	q := x.q
	canRetry := q.route.Repeatable() && q.sentCount+1 < q.route.MaxAttempts
	x.timer = time.AfterFunc(defaultTimeout, func() { x.handleSilence(d, canRetry) })
	x.resetWatchdog(d)
}

// handleSilence runs when nothing has arrived from the server for d. The exchange is cancelled
// only after a retry was taken from the budget: if the retry were requested later, another request
// might have taken the last one, and this response would have been cut for nothing.
func (x *exchange) handleSilence(d time.Duration, canRetry bool) {
	q := x.q
	overdue := x.overdue()
	if overdue < 0 {
		return // data arrived while this call waited to run, and the timer was reset
	}
	if overdue >= pressure.Overloaded || q.h.overloaded() {
		x.resetWatchdog(d) // this host was stalled: the response may have arrived without being read
		return
	}
	x.timedOut.set()
	q.h.Pool.CloseIdleSince(x.server.Identity(), x.startedAt)
	q.h.recordHealthChange(x.server, q.h.State.NoteOverdue(x.job), "silent", q.meta.Attempt)
	if canRetry && q.h.State.TakeRetry(q.service) {
		x.retryReserved.set()
		x.cancel()
	}
}

// resetWatchdog restarts the wait for data from the server, for at most d.
func (x *exchange) resetWatchdog(d time.Duration) {
	x.due.Store(x.q.age().Nanoseconds() + d.Nanoseconds())
	x.timer.Reset(d)
}

// overdue returns how long ago the watchdog expired; it is negative before that. If the timer
// fires late, this host was stalled or overloaded.
func (x *exchange) overdue() time.Duration {
	return x.q.age() - time.Duration(x.due.Load())
}

// stopWatchdog stops the timer.
func (x *exchange) stopWatchdog() { x.timer.Stop() }

// handleError handles an exchange that got no response to this request.
func (x *exchange) handleError(err *upstream.Error) attemptResult {
	q := x.q
	if err.Sent {
		q.sentCount++
		q.mayHaveRun = true
	}
	if v := x.requestOver(); v != 0 {
		return v
	}
	outcome := failureOutcome(err)
	switch {
	case errors.Is(err, upstream.ErrConnLimit), errors.Is(err, upstream.ErrRejected):
		outcome = pick.Full
	case errors.Is(err, upstream.ErrServerLeaving):
		outcome = pick.Abandoned
	case err.Stage == upstream.StageDial && !errors.Is(err, upstream.ErrCancelled) && !q.h.overloaded():
		outcome = pick.ConnectFailed
	}
	x.finish(outcome, err.Error())
	x.recordCrash(err.Sent, err)
	q.h.Meter.AttemptFailed(q.service, failureLabel(err, err.Stage.String()))
	x.logFailure("stage", err.Stage.String(), "sent", err.Sent, "kept", err.Reused, "received", err.Received, "err", err.Err)
	return resultRetry
}

// failureOutcome returns what a failed exchange says about its server.
func failureOutcome(err error) pick.Outcome {
	var memory *bounded.MemoryError
	if errors.As(err, &memory) || errors.Is(err, upstream.ErrEndUnconfirmed) {
		return pick.Abandoned
	}
	return pick.Failed
}

// failureLabel returns why an exchange failed, as a metric label.
func failureLabel(err error, otherwise string) string {
	var limit *intake.LimitError
	var memory *bounded.MemoryError
	switch {
	case errors.As(err, &limit):
		return "over a limit"
	case errors.As(err, &memory):
		return "no memory"
	}
	return otherwise
}

// logFailure logs a failed exchange with the hash of the request's content, by which copies of a
// request are recognised, and the time for which the server had been sending events.
func (x *exchange) logFailure(args ...any) {
	runMs := int64(0)
	if !x.firstEventAt.IsZero() {
		runMs = x.q.h.Now().Sub(x.firstEventAt).Milliseconds()
	}
	attrs := []any{"server", x.server.ID, "version", x.server.Version, "content", x.q.hashContent().String(), "parts", hashNames(x.q.sharedParts()), "runMs", runMs, "late", x.timedOut.isSet()}
	x.q.log(slog.LevelInfo, events.EdgeFailed, append(attrs, args...)...)
}

// hashNames returns the hashes as they appear in other log lines.
func hashNames(hashes []routing.ContentHash) []string {
	names := make([]string, len(hashes))
	for i, h := range hashes {
		names[i] = h.String()
	}
	return names
}

// requestOver reports whether the request itself has ended because its caller disconnected or its
// deadline passed. Neither counts as a failure of the server.
func (x *exchange) requestOver() attemptResult {
	q := x.q
	if callerCancelled(q.r.Context()) || q.disconnectedWhileWaiting() {
		x.finish(pick.Abandoned, "")
		q.log(slog.LevelInfo, events.EdgeLeft, "server", x.server.ID, "started", q.headerSent, "last", q.lastEventID)
		q.h.Meter.AttemptFailed(q.service, "caller left")
		return resultCallerGone
	}
	if q.remaining() <= 0 {
		x.finish(pick.Abandoned, "")
		return resultTimeout
	}
	return 0
}

// finish reports the outcome of the job to the state, and logs a change in the server's health.
func (x *exchange) finish(outcome pick.Outcome, why string) {
	x.q.retryReserved = x.retryReserved.isSet()
	x.q.h.recordHealthChange(x.server, x.q.h.State.End(&x.placement, outcome), why, x.q.meta.Attempt)
}

// recordHealthChange counts and logs a change in a server's health.
func (h *Handler) recordHealthChange(server routing.Server, change pick.HealthChange, why, attempt string) {
	switch change {
	case pick.Suspected:
		h.Meter.HealthChange(server.Service, "suspected")
		events.ServerSuspected.Log(context.Background(), h.Log, slog.LevelWarn,
			"server", server.ID, "service", server.Service, "dataCentre", server.DataCentre, "why", why, "request", attempt)
	case pick.Cleared:
		h.Meter.HealthChange(server.Service, "cleared")
		events.ServerCleared.Log(context.Background(), h.Log, slog.LevelInfo, "server", server.ID, "service", server.Service, "request", attempt)
	case pick.Unchanged:
	}
}

// handleAnswer examines the response's status and forwards the response unless the request is
// retried.
func (x *exchange) handleAnswer(a *upstream.Response) attemptResult {
	q := x.q
	x.recordNotice(a)
	x.placement.Status = a.Status
	notRun, wrongServer, _ := q.h.Headers.ParseResponse(a.Status, a.Header)
	if notRun {
		return x.handleNotRun(a, wrongServer)
	}
	q.sentCount++
	q.mayHaveRun = true
	if a.Status >= http.StatusInternalServerError && q.route.Repeatable() {
		return x.handleServerError(a)
	}
	if q.headerSent || isEventStream(a) {
		return x.forwardStream(a)
	}
	return x.forwardPlain(a)
}

// handleNotRun handles a response that says that the server has not run the request.
func (x *exchange) handleNotRun(a *upstream.Response, wrongServer bool) attemptResult {
	q := x.q
	q.sentCount++
	a.FinishUnread()
	outcome := pick.Full
	if wrongServer {
		outcome = pick.ServerGone
	}
	x.finish(outcome, "another server has its address")
	q.h.Meter.AttemptFailed(q.service, "not run")
	q.log(slog.LevelInfo, events.EdgeFailed, "server", x.server.ID, "status", a.Status, "notRun", true)
	return resultRetry
}

// handleServerError handles a 5xx response. It is forwarded if the request may not be retried.
func (x *exchange) handleServerError(a *upstream.Response) attemptResult {
	q := x.q
	if q.headerSent || q.mayRetry() {
		a.Close()
		x.finish(pick.Failed, "status")
		q.log(slog.LevelInfo, events.EdgeFailed, "server", x.server.ID, "status", a.Status, "notRun", false)
		return resultRetry
	}
	return x.forwardPlain(a)
}

// isEventStream reports whether the response is a stream of server-sent events.
func isEventStream(a *upstream.Response) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}
