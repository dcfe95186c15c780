package front

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/events"
)

// Refusal is an answer of the fleet's own.
type Refusal struct {
	Status int
	Reason string
	Back   time.Duration // 0: not told
	// Offered says that a server was asked.
	Offered bool
	inputs  []any // what decided it, for the log
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// reason is the metrics' label: the reason without its details.
func (r *Refusal) reason() string {
	short, _, _ := strings.Cut(r.Reason, ";")
	short, _, _ = strings.Cut(short, ": ")
	return short
}

// comeBack is when to ask again at another router, for refusals that say
// nothing of the load.
const comeBack = 50 * time.Millisecond

// refuse answers with the fleet's own refusal.
func (q *request) refuse(f *Refusal) {
	header := q.w.Header()
	q.refusalHeader(header, f)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := f.Reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(f.Status)
	if q.r.Method != http.MethodHead {
		if _, err := io.WriteString(q.w, body); err != nil {
			q.log(slog.LevelInfo, events.EdgeLeft, "err", err)
		}
	}
	q.note(f)
}

// refusalHeader sets what each refusal says to its caller: which attempt it answers, and
// when to come back.
func (q *request) refusalHeader(header http.Header, f *Refusal) {
	q.h.Headers.SetAttempt(header, q.ask.Attempt)
	if f.Back > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.Back.Seconds(), 'f', 3, 64))
	}
}

// note counts and logs a refusal.
func (q *request) note(f *Refusal) {
	q.h.Meter.Refused(q.customer, f.reason())
	event := events.EdgeRefused
	switch {
	case f.Offered:
		event = events.EdgeGivenUp
	case !q.h.refusals.Allow():
		q.h.leftOut.Add(1)
		return
	}
	args := []any{"status", f.Status, "reason", f.Reason, "backMs", f.Back.Milliseconds(), "tries", len(q.tried)}
	if n := q.h.leftOut.Swap(0); n > 0 {
		args = append(args, "leftOut", n)
	}
	q.log(slog.LevelInfo, event, append(args, f.inputs...)...)
}
