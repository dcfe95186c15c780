package front

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

const (
	// maxBufferedBody is the longest response body that is buffered before it is forwarded, so
	// that the request can be retried if the response breaks off.
	maxBufferedBody = 128 << 10
	// writeGrace is how long after the request's deadline a write to its caller may still take.
	writeGrace = time.Second
)

// atomicFlag is set at most once, by the watchdog timer, and read by other goroutines.
type atomicFlag struct{ value atomic.Bool }

func (m *atomicFlag) set()        { m.value.Store(true) }
func (m *atomicFlag) isSet() bool { return m.value.Load() }

// forwardPlain forwards a response that is not an event stream.
func (x *exchange) forwardPlain(a *upstream.Response) attemptResult {
	q := x.q
	reserved := bounded.Reservation{Budget: q.h.Pool.Memory}
	defer reserved.Release()
	body, err := bounded.ReadAll(a.Body, a.Length, maxBufferedBody, &reserved)
	x.timer.Stop()
	if err == nil {
		err = x.confirmEnd(a)
	}
	tooLong := exceedsBuffer(err)
	if err != nil && !tooLong {
		a.Close()
		return x.handleBroken(a, err)
	}
	q.h.State.NoteFirstEvent(&x.placement)
	q.h.Meter.FirstResponse(q.service, q.age())
	x.writeHeader(a, int64(len(body)), !tooLong)
	if _, werr := q.w.Write(body); werr != nil {
		a.Close()
		return x.handleCallerGone(werr)
	}
	if tooLong {
		if err := x.copyRest(a); err != nil {
			a.Close()
			return x.handleBroken(a, err)
		}
	}
	a.Finish()
	x.finish(outcomeForStatus(a.Status), "status "+strconv.Itoa(a.Status))
	x.recordSuccess(a.Status)
	x.recordAnswered(a, len(body))
	return resultAnswered
}

// copyRest forwards the rest of a body that is too long to be buffered.
func (x *exchange) copyRest(a *upstream.Response) error {
	if _, err := io.Copy(x.q.w, a.Body); err != nil {
		return err
	}
	return x.confirmEnd(a)
}

// outcomeForStatus returns the outcome that a response status implies for its server.
func outcomeForStatus(status int) pick.Outcome {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return pick.Failed
	}
	return pick.Succeeded
}

// exceedsBuffer reports whether a body can't be buffered: it is longer than maxBufferedBody, or there is
// no memory left for it.
func exceedsBuffer(err error) bool {
	var limit *intake.LimitError
	var memory *bounded.MemoryError
	return errors.As(err, &limit) || errors.As(err, &memory)
}

// writeHeader sends the response's status and headers to the caller.
func (x *exchange) writeHeader(a *upstream.Response, length int64, whole bool) {
	q := x.q
	q.headerSent = true
	header := q.w.Header()
	for name, values := range upstream.EndToEnd(a.Header) {
		header[name] = values
	}
	if whole && q.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if header.Get("Date") == "" {
		header["Date"] = nil // keeps net/http from adding one to the server's headers
	}
	q.w.WriteHeader(a.Status)
}

// forwardStream forwards events as they arrive.
func (x *exchange) forwardStream(a *upstream.Response) attemptResult {
	q := x.q
	events := a.Events()
	defer events.Release()
	control := http.NewResponseController(q.w)
	count := 0
	for {
		event, err := events.Next()
		if err == io.EOF {
			return x.finishStream(a, count)
		}
		if err != nil {
			a.Close()
			return x.handleBroken(a, err)
		}
		if count == 0 {
			x.firstEventAt = q.h.Now()
			q.h.State.NoteFirstEvent(&x.placement)
			if !q.headerSent {
				q.h.Meter.FirstResponse(q.service, q.age())
			}
		}
		count++
		x.resetWatchdog(maxEventGap(q.route))
		if alreadySent(event.ID, q.lastEventID) {
			continue
		}
		if !q.headerSent {
			q.pin(x.server.Version)
			x.writeHeader(a, 0, false)
		}
		if err := x.writeEvent(control, event); err != nil {
			a.Close()
			return x.handleCallerGone(err)
		}
		if event.ID != "" {
			q.lastEventID = event.ID
		}
	}
}

// writeEvent writes and flushes one event.
func (x *exchange) writeEvent(control *http.ResponseController, ev upstream.Event) error {
	if err := control.SetWriteDeadline(time.Now().Add(x.q.remaining() + writeGrace)); err != nil {
		return err
	}
	if _, err := x.q.w.Write(ev.Raw); err != nil {
		return err
	}
	return control.Flush()
}

// alreadySent reports whether the caller already has the event. A stream that is resumed at
// another server may repeat events.
func alreadySent(id, last string) bool {
	if id == "" || last == "" {
		return false
	}
	sequence, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	lastSequence, err := strconv.ParseInt(last, 10, 64)
	return err == nil && sequence <= lastSequence
}

// maxEventGap returns the pause between two events after which the server is suspected.
func maxEventGap(r *routing.Route) time.Duration { return max(minEventGap, gapFactor*r.GapTarget) }

// finishStream completes a stream that the server ended normally.
func (x *exchange) finishStream(a *upstream.Response, count int) attemptResult {
	x.timer.Stop()
	if err := x.confirmEnd(a); err != nil {
		return x.handleBroken(a, err)
	}
	if !x.q.headerSent {
		x.writeHeader(a, 0, false)
	}
	a.Finish()
	x.placement.Events = count
	x.finish(pick.Succeeded, "")
	x.recordSuccess(a.Status)
	x.recordAnswered(a, count)
	return resultAnswered
}

// handleBroken handles a response that broke off, or may have.
func (x *exchange) handleBroken(a *upstream.Response, err error) attemptResult {
	q := x.q
	if v := x.requestOver(); v != 0 {
		return v
	}
	x.finish(failureOutcome(err), "answer broken off")
	x.recordCrash(true, err)
	q.h.Meter.AttemptFailed(q.service, failureLabel(err, "broken off"))
	x.logFailure("status", a.Status, "stage", "body", "last", q.lastEventID, "received", a.Received(), "closeDelimited", a.CloseDelimited, "err", err)
	if q.headerSent && q.lastEventID == "" {
		return resultCut
	}
	if q.headerSent && q.mayRetry() {
		q.log(slog.LevelInfo, events.EdgeResumed, "server", x.server.ID, "version", x.server.Version, "last", q.lastEventID)
	}
	return resultRetry
}

// handleCallerGone ends a request whose response can't be written to its caller.
func (x *exchange) handleCallerGone(err error) attemptResult {
	x.finish(pick.Abandoned, "")
	x.q.log(slog.LevelInfo, events.EdgeLeft, "server", x.server.ID, "err", err)
	x.q.h.Meter.AttemptFailed(x.q.service, "caller left")
	return resultCallerGone
}

// recordAnswered counts and logs a request that a server answered.
func (x *exchange) recordAnswered(a *upstream.Response, size int) {
	status := a.Status
	q := x.q
	q.h.Meter.Answered(q.service, status, q.age())
	if q.logRoutine || status >= http.StatusInternalServerError || len(q.triedServers) > 1 || q.meta.Resumes != "" {
		q.log(slog.LevelInfo, events.EdgeAnswered, "server", x.server.ID, "version", x.server.Version, "resumes", q.meta.Resumes, "status", status, "size", size, "closeDelimited", a.CloseDelimited, "tries", len(q.triedServers))
	}
}
