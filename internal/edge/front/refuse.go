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

// Refusal is an error response that the router itself produces.
type Refusal struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // 0: no Retry-After header
	// Attempted means that the request was sent to a server.
	Attempted bool
	logArgs   []any // attributes for the log: the values behind the decision
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// metricLabel returns the reason without its details, as a metric label.
func (r *Refusal) metricLabel() string {
	short, _, _ := strings.Cut(r.Reason, ";")
	short, _, _ = strings.Cut(short, ": ")
	return short
}

// retryElsewhereAfter is the Retry-After of refusals that concern this router alone: the caller
// can retry at another one almost at once.
const retryElsewhereAfter = 50 * time.Millisecond

// writeRefusal sends the refusal to the caller.
func (q *request) writeRefusal(f *Refusal) {
	header := q.w.Header()
	q.setRefusalHeaders(header, f)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := f.Reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(f.Status)
	if q.r.Method != http.MethodHead {
		if _, err := io.WriteString(q.w, body); err != nil {
			q.log(slog.LevelInfo, events.EdgeLeft, "err", err)
		}
	}
	q.recordRefusal(f)
}

// setRefusalHeaders sets the headers of every refusal: the attempt ID and Retry-After.
func (q *request) setRefusalHeaders(header http.Header, f *Refusal) {
	q.h.Headers.SetAttempt(header, q.meta.Attempt)
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
}

// recordRefusal counts and logs a refusal.
func (q *request) recordRefusal(f *Refusal) {
	q.h.Meter.Refused(q.customer, f.metricLabel())
	event := events.EdgeRefused
	switch {
	case f.Attempted:
		event = events.EdgeGivenUp
	case !q.h.refusalLogLimiter.Allow():
		q.h.suppressedRefusals.Add(1)
		return
	}
	args := []any{"status", f.Status, "reason", f.Reason, "backMs", f.RetryAfter.Milliseconds(), "tries", len(q.triedServers)}
	if n := q.h.suppressedRefusals.Swap(0); n > 0 {
		args = append(args, "leftOut", n)
	}
	q.log(slog.LevelInfo, event, append(args, f.logArgs...)...)
}
