package share

import "time"

// How a server's concurrency limit moves.
const (
	limitCut     = 0.8             // factor of a decrease
	limitRise    = 2.0             // slots gained by a limit's worth of good ends
	limitHold    = 2 * time.Second // between two decreases on load reports, which lag
	slowFactor   = 3.0             // first token this much over its baseline is slow
	baselineStep = 1.0 / 64        // the baseline's move towards a slower value
)

// limit is a server's concurrency limit, found by additive increase and
// multiplicative decrease on what the server is seen to do. Its load report is
// a lagging hint: the limit starts at the reported slots and does not pass
// them. (PAPER-marc-brooker-talk-lessons-27e8.md: AIMD rather than on/off
// breakers, because a breaker that opens turns partial overload into an
// outage.)
type limit struct {
	slots    int
	value    float64
	baseline time.Duration // first token of the unloaded server
	cutAt    time.Duration
	cut      bool // there was a decrease
}

// report takes the slots of a load report and the queue it saw.
func (l *limit) report(now time.Duration, slots, queued int) {
	if slots != l.slots {
		l.slots, l.value = slots, float64(slots)
	}
	if queued > l.slots/4 && (!l.cut || now-l.cutAt >= limitHold) {
		l.decrease(now)
	}
}

// ended takes what came of a request granted at the given time. Requests that
// were granted before the last decrease tell nothing of what it has changed.
func (l *limit) ended(now, granted time.Duration, r Result) {
	bad := r.Busy || (r.First > 0 && l.slow(r.First))
	switch {
	case bad && l.cut && granted <= l.cutAt:
	case bad:
		l.decrease(now)
	case r.First == 0:
	default:
		l.value = min(float64(l.slots), l.value+limitRise/max(1, l.value))
	}
}

// slow tells whether a first token is slow against the baseline, and moves the
// baseline: at once to faster values, slowly to slower ones.
func (l *limit) slow(first time.Duration) bool {
	if l.baseline == 0 || first < l.baseline {
		l.baseline = first
		return false
	}
	slow := float64(first) > slowFactor*float64(l.baseline)
	l.baseline += time.Duration(float64(first-l.baseline) * baselineStep)
	return slow
}

func (l *limit) decrease(now time.Duration) {
	l.cut, l.cutAt = true, now
	l.value = max(1, l.value*limitCut)
}
