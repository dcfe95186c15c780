package share

import "time"

// Parameters of the adjustment of a server's concurrency limit.
const (
	decreaseFactor       = 0.8             // factor applied on a decrease
	increaseStep         = 2.0             // slots gained when as many requests as the limit end well
	decreaseInterval     = 2 * time.Second // least time between two decreases caused by load reports, as these lag
	slowFirstTokenFactor = 3.0             // a first token that takes longer than this multiple of the baseline is slow
	baselineGain         = 1.0 / 64        // weight of a slower value in the baseline
)

// concurrencyLimit is a server's concurrency limit, found by additive increase
// and multiplicative decrease from the observed outcomes of requests. The
// server's load report is only a lagging hint: the limit starts at the reported
// slots and never exceeds them. AIMD is preferred to an on/off circuit breaker,
// which turns partial overload into an outage when it opens
// (PAPER-marc-brooker-talk-lessons-27e8.md).
type concurrencyLimit struct {
	slots       int
	value       float64
	baseline    time.Duration // time to first token of the unloaded server
	decreasedAt time.Duration
	decreased   bool // whether decreasedAt is set
}

// applyReport applies the slots and queue length of a load report.
func (l *concurrencyLimit) applyReport(now time.Duration, slots, queued int) {
	if slots != l.slots {
		l.slots, l.value = slots, float64(slots)
	}
	if queued > l.slots/4 && (!l.decreased || now-l.decreasedAt >= decreaseInterval) {
		l.decrease(now)
	}
}

// applyResult applies the outcome of a request granted at the given time. A bad
// outcome of a request granted before the last decrease is ignored, as it does
// not show the effect of that decrease.
func (l *concurrencyLimit) applyResult(now, granted time.Duration, r Result) {
	bad := r.Busy || (r.First > 0 && l.isSlow(r.First))
	switch {
	case bad && l.decreased && granted <= l.decreasedAt:
	case bad:
		l.decrease(now)
	case r.First == 0:
	default:
		l.value = min(float64(l.slots), l.value+increaseStep/max(1, l.value))
	}
}

// isSlow reports whether a time to first token is slow compared with the
// baseline, and updates the baseline: to a faster value at once, towards a
// slower one gradually.
func (l *concurrencyLimit) isSlow(first time.Duration) bool {
	if l.baseline == 0 || first < l.baseline {
		l.baseline = first
		return false
	}
	slow := float64(first) > slowFirstTokenFactor*float64(l.baseline)
	l.baseline += time.Duration(float64(first-l.baseline) * baselineGain)
	return slow
}

func (l *concurrencyLimit) decrease(now time.Duration) {
	l.decreased, l.decreasedAt = true, now
	l.value = max(1, l.value*decreaseFactor)
}
