package front

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"syscall"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

// checkContent refuses a request if servers have repeatedly crashed while running its content or
// requests with a part of its prompt, unless this request is the trial that checks that again. The
// refusal tells the caller when to retry; retrying sooner has no advantage.
func (q *request) checkContent() *Refusal {
	q.endTrial()
	if !q.h.State.HasCrashes() {
		return nil
	}
	a, part, trials := q.h.State.AdmitParts(q.sharedParts())
	if a.Wait > 0 {
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "servers crash when they answer a prompt with one of its parts",
			RetryAfter: a.Wait,
			logArgs:    []any{"part", part.String()},
		}
	}
	q.trialParts = trials
	for _, part := range trials {
		q.log(slog.LevelInfo, events.ContentTried, "part", part.String())
	}
	return q.checkWholeContent(a.Isolate)
}

// checkWholeContent is checkContent for the content of the request alone.
func (q *request) checkWholeContent(isolate bool) *Refusal {
	a := q.h.State.AdmitContent(q.hashContent())
	q.isolate, q.isTrial = a.Isolate || isolate, a.Trial
	if a.Trial {
		q.log(slog.LevelInfo, events.ContentTried, "content", q.hashContent().String())
	}
	if a.Wait == 0 {
		return nil
	}
	q.endTrial()
	reason := "servers end when they run this request"
	if a.Ambiguous {
		reason = "servers may end when they run this request"
	}
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: a.Wait,
		logArgs:    []any{"content", q.hashContent().String()},
	}
}

// endTrial ends the request's trials, if it is one.
func (q *request) endTrial() {
	if q.isTrial {
		q.isTrial = false
		q.h.State.EndTrials(poison.Contents, []routing.ContentHash{q.hashContent()})
	}
	if len(q.trialParts) > 0 {
		q.h.State.EndTrials(poison.Parts, q.trialParts)
		q.trialParts = nil
	}
}

// recordCrash records a possible crash of the server while it ran the request, if the error looks
// like one. A crash of the server process and the loss of a single connection can't be told apart
// here, but a crash caused by the request or a part of its prompt recurs at every server.
func (x *exchange) recordCrash(sent bool, err error) {
	q := x.q
	if !sent || x.retryReserved.isSet() || !connectionBroken(err) {
		return
	}
	change, blocked := q.h.State.RecordCrash(state.CrashedRequest{
		Content:  q.hashContent(),
		Parts:    q.sharedParts(),
		Server:   x.server.Identity(),
		Sent:     x.startedAt,
		FirstAt:  x.firstEventAt,
		Accepted: acceptedThenClosed(err),
	})
	q.h.Meter.ServerCrashed(q.service)
	if change.Crashes > 1 {
		q.log(slog.LevelInfo, events.ServerEnded, "server", x.server.ID, "content", q.hashContent().String(), "ends", change.Crashes)
	}
	if change.Ambiguous {
		q.log(slog.LevelWarn, events.ContentDoubted, "content", q.hashContent().String(), "ends", change.Crashes)
	}
	if change.Blocked {
		q.log(slog.LevelWarn, events.ContentBlocked, "content", q.hashContent().String(), "ends", change.Crashes, "from", "this router")
	}
	blocked.Log(q.h.Log, "this router")
}

// acceptedThenClosed reports whether the server accepted a new connection for the request, read it
// and closed the connection in order. If the server is down, or only its kernel still accepts
// connections, the connection is reset instead.
func acceptedThenClosed(err error) bool {
	var failed *upstream.Error
	return errors.As(err, &failed) && !failed.Reused && errors.Is(err, io.EOF)
}

// connectionBroken reports whether the server's side closed or reset the connection, or the
// connection timed out. Invalid response bytes are a different failure.
func connectionBroken(err error) bool {
	for _, closeErr := range []error{upstream.ErrServerCrashed, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, closeErr) {
			return true
		}
	}
	return false
}

// recordSuccess records that a server survived the request. A 5xx response proves nothing, as the
// server may not have begun to run the request.
func (x *exchange) recordSuccess(status int) {
	q := x.q
	if status >= http.StatusInternalServerError || !q.h.State.HasCrashes() {
		return
	}
	cleared, blocked := q.h.State.RecordSuccess(q.hashContent(), q.sharedParts())
	if cleared {
		q.log(slog.LevelInfo, events.ContentCleared, "server", x.server.ID, "content", q.hashContent().String())
	}
	blocked.Log(q.h.Log, "this router")
}
