package front

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

const (
	// refusalBody is how much of a refusal is read so that its connection can
	// be kept.
	refusalBody = 16 << 10
	// wholeBody is the longest answer that is read whole before it is passed
	// on, so that a broken one can be asked for again.
	wholeBody = 128 << 10
	// writeSlack is how long after the request's end a write to its caller may
	// still take.
	writeSlack = time.Second
)

// mark is set once by the watch.
type mark struct{ v atomic.Bool }

func (m *mark) set()        { m.v.Store(true) }
func (m *mark) isSet() bool { return m.v.Load() }

// readUpTo reads at most limit bytes of the body and reports whether that was
// all of it.
func readUpTo(a *upstream.Response, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(a.Body, limit))
	if err != nil {
		return body, false
	}
	var one [1]byte
	n, err := io.ReadFull(a.Body, one[:])
	if n == 1 {
		return append(body, one[0]), false
	}
	return body, err == io.EOF
}

// plain passes on an answer that is no stream.
func (x *exchange) plain(a *upstream.Response) verdict {
	q := x.q
	first := make([]byte, 0, max(min(a.Length, wholeBody), 0)+1)
	body, err := readWhole(a.Body, first)
	x.timer.Stop()
	if err != nil && err != errLong {
		a.Close()
		if v := x.over(); v != 0 {
			return v
		}
		x.end(pick.Failed, "answer broken off")
		x.ended(true, err)
		q.h.Meter.Failed(q.service, "broken off")
		x.brokenLine("status", a.Status, "stage", "body", "err", err)
		return again
	}
	q.h.State.NoteFirstEvent(&x.placed)
	q.h.Meter.First(q.service, q.age())
	x.header(a, int64(len(body)), err == nil)
	if _, werr := q.w.Write(body); werr != nil {
		a.Close()
		return x.callerGone(werr)
	}
	if err == errLong {
		if _, err := io.Copy(q.w, a.Body); err != nil {
			a.Close()
			return x.broken(err)
		}
	}
	a.Finish()
	x.end(judge(a.Status), "status "+strconv.Itoa(a.Status))
	x.answeredLine(a.Status, len(body))
	return done
}

// judge says what an answer's status says of its server.
func judge(status int) pick.Outcome {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return pick.Failed
	}
	return pick.Succeeded
}

// errLong says that an answer is too long to be read whole.
const errLong = upstream.Fault("the answer is long")

// readWhole reads up to wholeBody bytes.
func readWhole(r io.Reader, body []byte) ([]byte, error) {
	for {
		if len(body) == cap(body) {
			if len(body) >= wholeBody {
				return body, errLong
			}
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// header sends the answer's status and headers to the caller.
func (x *exchange) header(a *upstream.Response, length int64, whole bool) {
	q := x.q
	q.started = true
	header := q.w.Header()
	for name, values := range upstream.EndToEnd(a.Header) {
		header[name] = values
	}
	if whole && q.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if header.Get("Date") == "" {
		header["Date"] = nil // the server's own headers, unchanged
	}
	q.w.WriteHeader(a.Status)
}

// stream passes events on as they come.
func (x *exchange) stream(a *upstream.Response) verdict {
	q := x.q
	events := upstream.NewEventReader(a.Body)
	control := http.NewResponseController(q.w)
	count := 0
	for {
		ev, err := events.Next()
		if err == io.EOF {
			return x.streamDone(a, count)
		}
		if err != nil {
			a.Close()
			return x.broken(err)
		}
		if count == 0 {
			x.begun = q.h.Now()
			q.h.State.NoteFirstEvent(&x.placed)
			if !q.started {
				q.h.Meter.First(q.service, q.age())
			}
		}
		count++
		x.await(gap(q.route))
		if old(ev.ID, q.last) {
			continue
		}
		if !q.started {
			x.header(a, 0, false)
		}
		if err := x.pass(control, ev); err != nil {
			a.Close()
			return x.callerGone(err)
		}
		if ev.ID != "" {
			q.last = ev.ID
		}
	}
}

// pass writes one event.
func (x *exchange) pass(control *http.ResponseController, ev upstream.Event) error {
	if err := control.SetWriteDeadline(time.Now().Add(x.q.remaining() + writeSlack)); err != nil {
		return err
	}
	if _, err := x.q.w.Write(ev.Raw); err != nil {
		return err
	}
	return control.Flush()
}

// old reports whether the caller has the event already: a stream that goes on
// elsewhere may repeat some.
func old(id, last string) bool {
	if id == "" || last == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	m, err := strconv.ParseInt(last, 10, 64)
	return err == nil && n <= m
}

// gap is the pause within a stream in which its server is suspected.
func gap(r *routing.Route) time.Duration { return max(leastGap, gapX*r.GapTarget) }

// streamDone ends a stream whose server ended it.
func (x *exchange) streamDone(a *upstream.Response, count int) verdict {
	if !x.q.started {
		x.header(a, 0, false)
	}
	a.Finish()
	x.placed.Events = count
	x.end(pick.Succeeded, "")
	x.answeredLine(a.Status, count)
	return done
}

// broken judges an answer that broke off.
func (x *exchange) broken(err error) verdict {
	q := x.q
	if v := x.over(); v != 0 {
		return v
	}
	x.end(pick.Failed, "answer broken off")
	x.ended(true, err)
	q.h.Meter.Failed(q.service, "broken off")
	x.brokenLine("stage", "body", "last", q.last, "err", err)
	if q.started && q.last == "" {
		return cut
	}
	if q.started && q.mayRetry() {
		q.log(slog.LevelInfo, events.EdgeResumed, "server", x.server.ID, "last", q.last)
	}
	return again
}

// callerGone ends a request whose caller does not take its answer.
func (x *exchange) callerGone(err error) verdict {
	x.end(pick.Abandoned, "")
	x.q.log(slog.LevelInfo, events.EdgeLeft, "server", x.server.ID, "err", err)
	x.q.h.Meter.Failed(x.q.service, "caller left")
	return gone
}

// answeredLine notes the end of a request.
func (x *exchange) answeredLine(status, size int) {
	q := x.q
	x.worked(status)
	q.h.Meter.Answered(q.service, status, q.age())
	if q.routine || status >= http.StatusInternalServerError || len(q.tried) > 1 {
		q.log(slog.LevelInfo, events.EdgeAnswered, "server", x.server.ID, "status", status, "size", size, "tries", len(q.tried))
	}
}
