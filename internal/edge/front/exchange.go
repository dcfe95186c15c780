package front

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

// exchange is one try of a request at one server.
type exchange struct {
	q      *request
	placed state.Placement
	job    *pick.Job
	server routing.Server
	cancel context.CancelFunc
	began  time.Time
	timer  *time.Timer
	due    atomic.Int64 // when the timer is due, ns after the request's begin
	late   mark         // its server was silent for too long
	paid   mark         // a repeat was taken from the retry budget
	begun  time.Time    // when the first event came; zero: none has
}

// watch suspects the server when it is silent for longer than d. A request that
// may be sent again leaves it then.
func (x *exchange) watch(d time.Duration) {
	q := x.q
	leave := q.route.Repeatable() && q.sent+1 < q.route.MaxAttempts
	x.timer = time.AfterFunc(defaultTimeout, func() { x.silent(d, leave) })
	x.await(d)
}

// silent is called when the server has given no sign for d. A request leaves it
// only with a repeat in hand: were the repeat asked for later, another might
// have taken the last one, and an answer had been cut for nothing.
func (x *exchange) silent(d time.Duration, leave bool) {
	q := x.q
	late := x.overdue()
	if late < 0 {
		return // a sign came while this call waited to run; the timer is set anew
	}
	if late >= pressure.Overloaded || q.h.overloaded() {
		x.await(d) // this host stood still: the answer may be here and not read yet
		return
	}
	x.late.set()
	q.h.Pool.CloseIdleSince(x.server.Identity(), x.began)
	q.h.believed(x.server, q.h.State.NoteOverdue(x.job), "silent", q.ask.Attempt)
	if leave && q.h.State.TakeRetry(q.service) {
		x.paid.set()
		x.cancel()
	}
}

// await begins anew to wait for a sign of the server, for at most d.
func (x *exchange) await(d time.Duration) {
	x.due.Store(x.q.age().Nanoseconds() + d.Nanoseconds())
	x.timer.Reset(d)
}

// overdue is how long ago the server's next sign was due; negative: it is not
// due yet. A timer that fires late says that this host was frozen or overloaded.
func (x *exchange) overdue() time.Duration {
	return x.q.age() - time.Duration(x.due.Load())
}

// stopWatch ends the watch.
func (x *exchange) stopWatch() { x.timer.Stop() }

// unanswered judges an exchange that brought no answer of the request's own.
func (x *exchange) unanswered(err *upstream.Error) verdict {
	q := x.q
	if err.Sent {
		q.sent++
		q.mayRun = true
	}
	if v := x.over(); v != 0 {
		return v
	}
	outcome := pick.Failed
	switch {
	case errors.Is(err, upstream.ErrConnLimit):
		outcome = pick.Full
	case errors.Is(err, upstream.ErrServerLeaving):
		outcome = pick.Abandoned
	case err.Stage == upstream.StageDial && !errors.Is(err, upstream.ErrCancelled) && !q.h.overloaded():
		outcome = pick.ConnectFailed
	}
	x.end(outcome, err.Error())
	x.ended(err.Sent, err)
	q.h.Meter.Failed(q.service, err.Stage.String())
	x.brokenLine("stage", err.Stage.String(), "sent", err.Sent, "kept", err.Reused, "err", err.Err)
	return again
}

// brokenLine notes that the exchange broke off: under which content, and for how long its
// server had been making events. Copies of one request are known by their content.
func (x *exchange) brokenLine(args ...any) {
	runMs := int64(0)
	if !x.begun.IsZero() {
		runMs = x.q.h.Now().Sub(x.begun).Milliseconds()
	}
	line := []any{"server", x.server.ID, "content", x.q.asks().String(), "runMs", runMs, "late", x.late.isSet()}
	x.q.log(slog.LevelInfo, events.EdgeFailed, append(line, args...)...)
}

// over reports whether the request itself is over: its caller has left or its
// time has. The server is not to blame.
func (x *exchange) over() verdict {
	q := x.q
	if left(q.r.Context()) || q.leftMeanwhile() {
		x.end(pick.Abandoned, "")
		q.log(slog.LevelInfo, events.EdgeLeft, "server", x.server.ID, "started", q.started, "last", q.last)
		q.h.Meter.Failed(q.service, "caller left")
		return gone
	}
	if q.remaining() <= 0 {
		x.end(pick.Abandoned, "")
		return timeout
	}
	return 0
}

// end tells the state what became of the job, and logs a change of belief.
func (x *exchange) end(o pick.Outcome, why string) {
	x.q.paid = x.paid.isSet()
	x.q.h.believed(x.server, x.q.h.State.End(&x.placed, o), why, x.q.ask.Attempt)
}

// told logs what changed in the belief about a server.
func (h *Handler) believed(s routing.Server, v pick.HealthChange, why, attempt string) {
	switch v {
	case pick.Suspected:
		h.Meter.Believed(s.Service, "suspected")
		events.ServerSuspected.Log(context.Background(), h.Log, slog.LevelWarn,
			"server", s.ID, "service", s.Service, "dataCentre", s.DataCentre, "why", why, "request", attempt)
	case pick.Cleared:
		h.Meter.Believed(s.Service, "cleared")
		events.ServerCleared.Log(context.Background(), h.Log, slog.LevelInfo, "server", s.ID, "service", s.Service, "request", attempt)
	case pick.Unchanged:
	}
}

// answered judges an answer by its status and passes it on if it is the last.
func (x *exchange) answered(a *upstream.Response) verdict {
	q := x.q
	x.recordNotice(a)
	x.placed.Status = a.Status
	notRun, other, _ := q.h.Headers.ParseResponse(a.Status, a.Header)
	if notRun {
		return x.refused(a, other)
	}
	q.sent++
	q.mayRun = true
	if a.Status >= http.StatusInternalServerError && q.route.Repeatable() {
		return x.serverFailed(a)
	}
	if q.started || isStream(a) {
		return x.stream(a)
	}
	return x.plain(a)
}

// refused takes a server's answer that it has not run the request.
func (x *exchange) refused(a *upstream.Response, other bool) verdict {
	q := x.q
	q.sent++
	if _, whole := readUpTo(a, refusalBody); whole {
		a.Finish()
	} else {
		a.Close()
	}
	outcome := pick.Full
	if other {
		outcome = pick.ServerGone
	}
	x.end(outcome, "another server has its address")
	q.h.Meter.Failed(q.service, "not run")
	q.log(slog.LevelInfo, events.EdgeFailed, "server", x.server.ID, "status", a.Status, "notRun", true)
	return again
}

// serverFailed handles a failure that the server answered: it is passed on if
// no other server may be asked.
func (x *exchange) serverFailed(a *upstream.Response) verdict {
	q := x.q
	if q.started || q.mayRetry() {
		a.Close()
		x.end(pick.Failed, "status")
		q.log(slog.LevelInfo, events.EdgeFailed, "server", x.server.ID, "status", a.Status, "notRun", false)
		return again
	}
	return x.plain(a)
}

// isStream reports whether the answer is a series of events.
func isStream(a *upstream.Response) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}
