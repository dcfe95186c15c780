package front

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"syscall"

	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

// blocked refuses a request under whose content servers have crashed again and again, unless it is
// the one with which that is tried again. Its caller is told when it may come back; it earns
// nothing by coming back sooner.
func (q *request) blocked() *Refusal {
	q.endTrial()
	if !q.h.State.HasCrashes() {
		return nil
	}
	a := q.h.State.AdmitContent(q.asks())
	q.apart, q.trial = a.Isolate, a.Trial
	if a.Trial {
		q.log(slog.LevelInfo, events.ContentTried, "content", q.asks().String())
	}
	if a.Wait == 0 {
		return nil
	}
	reason := "servers end when they run this request"
	if a.Ambiguous {
		reason = "servers may end when they run this request"
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: reason,
		Back:   a.Wait,
		inputs: []any{"content", q.asks().String()},
	}
}

// endTrial notes that the request is not being tried any more.
func (q *request) endTrial() {
	if q.trial {
		q.trial = false
		q.h.State.EndTrial(q.asks())
	}
}

// ended notes that the server may have crashed under the request, if what broke the exchange
// off looks like it. A crash of the server's process and one of a single connection look the same here;
// they differ in that the former happens again wherever the request goes.
func (x *exchange) ended(sent bool, err error) {
	q := x.q
	if !sent || x.paid.isSet() || !connectionEnded(err) {
		return
	}
	change := q.h.State.RecordCrash(q.asks(), x.server.Identity(), x.began, accepted(err))
	q.h.Meter.ServerEnded(q.service)
	if change.Crashes > 1 {
		q.log(slog.LevelInfo, events.ServerEnded, "server", x.server.ID, "content", q.asks().String(), "ends", change.Crashes)
	}
	if change.Ambiguous {
		q.log(slog.LevelWarn, events.ContentDoubted, "content", q.asks().String(), "ends", change.Crashes)
	}
	if change.Blocked {
		q.log(slog.LevelWarn, events.ContentBlocked, "content", q.asks().String(), "ends", change.Crashes, "from", "this router")
	}
}

// accepted reports whether the server took a new connection for the request, read it and ended the
// connection in order. On one that is down, or of which the kernel takes connections still, it is reset.
func accepted(err error) bool {
	var failed *upstream.Error
	return errors.As(err, &failed) && !failed.Reused && errors.Is(err, io.EOF)
}

// connectionEnded reports whether the server's side ended the connection, or fell silent
// without a sign. What came and was no answer is another fault.
func connectionEnded(err error) bool {
	for _, sign := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}

// worked notes that a server lived through the request. A failure of the server says
// nothing: it may not have begun.
func (x *exchange) worked(status int) {
	q := x.q
	if status >= http.StatusInternalServerError || !q.h.State.HasCrashes() {
		return
	}
	cleared, blocked := q.h.State.RecordSuccess(q.asks())
	if cleared {
		q.log(slog.LevelInfo, events.ContentCleared, "server", x.server.ID, "content", q.asks().String())
	}
	blocked.Log(q.h.Log, "this router")
}
