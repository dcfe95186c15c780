package events

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// attrNum is the attribute that carries an event's number.
	attrNum = "event"
	// attrLeftOut says how many records of the event were left out before this
	// one.
	attrLeftOut = "leftOut"
)

// limiter is a slog.Handler that passes a bounded number of records of each
// event on, so that a fault that repeats does not write its rate into the log.
type limiter struct {
	next   slog.Handler
	shared *limits
}

// limits counts by event. It is shared by the handlers made of one.
type limits struct {
	now   func() time.Time
	rate  rate.Limit
	burst int

	mu sync.Mutex
	by map[int64]*allowance
}

// allowance is what one event may still write.
type allowance struct {
	limiter *rate.Limiter
	leftOut int
}

// Limit passes to next at most burst records of one event at once and
// perSecond of them a second. What is left out is counted in the next record
// that is passed. Records without an event's number pass.
func Limit(next slog.Handler, perSecond float64, burst int, now func() time.Time) slog.Handler {
	l := &limits{now: now, rate: rate.Limit(perSecond), burst: burst, by: map[int64]*allowance{}}
	return &limiter{next: next, shared: l}
}

// take says whether a record of the event may pass, and how many were left out
// since the last that did.
func (l *limits) take(num int64) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.by[num]
	if a == nil {
		a = &allowance{limiter: rate.NewLimiter(l.rate, l.burst)}
		l.by[num] = a
	}
	if !a.limiter.AllowN(l.now(), 1) {
		a.leftOut++
		return 0, false
	}
	leftOut = a.leftOut
	a.leftOut = 0
	return leftOut, true
}

// Enabled implements slog.Handler.
func (h *limiter) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *limiter) Handle(ctx context.Context, r slog.Record) error {
	num, ok := eventOf(r)
	if !ok {
		return h.next.Handle(ctx, r)
	}
	leftOut, ok := h.shared.take(num)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		r = r.Clone()
		r.Add(attrLeftOut, leftOut)
	}
	return h.next.Handle(ctx, r)
}

// eventOf finds the number that Event.Log gives first.
func eventOf(r slog.Record) (num int64, ok bool) {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == attrNum && a.Value.Kind() == slog.KindInt64 {
			num, ok = a.Value.Int64(), true
		}
		return false // only the first
	})
	return num, ok
}

// WithAttrs implements slog.Handler.
func (h *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{next: h.next.WithAttrs(attrs), shared: h.shared}
}

// WithGroup implements slog.Handler.
func (h *limiter) WithGroup(name string) slog.Handler {
	return &limiter{next: h.next.WithGroup(name), shared: h.shared}
}
