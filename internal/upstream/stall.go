package upstream

import (
	"sync"
	"time"
)

const (
	// stallInterval is how often a stallDetector looks at the clock.
	stallInterval = 50 * time.Millisecond
	// maxStall is the longest time without a look that counts as none. A crashed server takes longer to
	// start again at its address.
	maxStall = 150 * time.Millisecond
)

// stallDetector notices that the process did not run for a while, because it was stopped, its host was
// suspended or had no processor time. What arrived meanwhile is read late. It looks at the clock only
// while exchanges are in progress. It is safe for concurrent use.
type stallDetector struct {
	now func() time.Time

	mu        sync.Mutex
	exchanges int
	last      time.Time // of the last look
	stalledAt time.Time // when the last stall was noticed
	timer     *time.Timer
}

// begin starts to watch an exchange, which end ends, and returns the time.
func (d *stallDetector) begin() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchanges++
	if d.exchanges > 1 {
		return d.look()
	}
	d.last = d.now()
	if d.timer == nil {
		d.timer = time.AfterFunc(stallInterval, d.tick)
	} else {
		d.timer.Reset(stallInterval)
	}
	return d.last
}

// end ends an exchange.
func (d *stallDetector) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchanges--
	if d.exchanges == 0 {
		d.timer.Stop()
	}
}

// tick looks at the clock, and again after stallInterval.
func (d *stallDetector) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exchanges == 0 {
		return
	}
	d.look()
	d.timer.Reset(stallInterval)
}

// look compares the time with that of the last look, and returns it. The caller holds the lock.
func (d *stallDetector) look() time.Time {
	now := d.now()
	if now.Sub(d.last) > maxStall {
		d.stalledAt = now
	}
	d.last = now
	return now
}

// stalledSince reports whether the process has stalled since an exchange in progress began.
func (d *stallDetector) stalledSince(begin time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.look()
	return d.stalledAt.After(begin)
}
