package ask

import "time"

const (
	// maxFailures is how many asks in a row a scheduler may fail before it is asked no more. A lost
	// datagram fails one.
	maxFailures = 3
	// initialPause is for how long it is not asked then. Each failed trial doubles the pause, up to
	// maxPause.
	initialPause = 500 * time.Millisecond
	maxPause     = 4 * time.Second
)

// Breaker decides whether a scheduler is asked: not for a while after several failures in a row, then
// with one ask as a trial. The zero value is ready for use.
type Breaker struct {
	failures int
	pause    time.Duration // zero: it is asked
	until    time.Time     // end of the pause
	trial    bool          // an ask was let through since the pause ended
}

// Allow reports whether the scheduler may be asked. After a pause it allows one ask, the next one only
// after a further pause or a success.
func (b *Breaker) Allow(now time.Time) bool {
	if b.pause == 0 {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.trial = true
	b.until = now.Add(b.pause)
	return true
}

// Pause returns for how long the scheduler is not asked at a time; 0: it is asked.
func (b *Breaker) Pause() time.Duration { return b.pause }

// Record records the end of an ask and reports whether the scheduler is lost or back as a result.
// Ends that say nothing about the scheduler, such as a caller that leaves before an answer, are not
// to be recorded.
func (b *Breaker) Record(r Reason, now time.Time) (lost, back bool) {
	if !r.blamesScheduler() {
		back = b.pause > 0
		*b = Breaker{}
		return false, back
	}
	if b.pause > 0 {
		b.extend(now)
		return false, false
	}
	b.failures++
	if b.failures < maxFailures {
		return false, false
	}
	b.pause = initialPause
	b.until = now.Add(b.pause)
	return true, false
}

// extend doubles the pause after a failed trial. Failures of asks that were sent before the pause
// change nothing.
func (b *Breaker) extend(now time.Time) {
	if !b.trial {
		return
	}
	b.trial = false
	b.pause = min(2*b.pause, maxPause)
	b.until = now.Add(b.pause)
}
