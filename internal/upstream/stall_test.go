package upstream

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A stall is noticed whether the timer, a new exchange or the end of the exchange comes first after it.
func TestStallIsNoticed(t *testing.T) {
	for _, c := range []struct {
		name      string
		suspended time.Duration
		first     func(d *stallDetector)
		want      bool
	}{
		{"none", 0, nil, false},
		{"short", maxStall - 2*stallInterval, nil, false},
		{"the end of the exchange", maxStall + time.Millisecond, nil, true},
		{"the timer", maxStall + time.Millisecond, func(*stallDetector) { time.Sleep(stallInterval); synctest.Wait() }, true},
		{"a new exchange", maxStall + time.Millisecond, func(d *stallDetector) { d.begin() }, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			var suspended atomic.Int64
			d := stallDetector{now: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }}
			begin := d.begin()
			time.Sleep(10*stallInterval + time.Millisecond)
			synctest.Wait()
			suspended.Store(int64(c.suspended))
			if c.first != nil {
				c.first(&d)
			}
			assert.Equal(t, d.stalledSince(begin), c.want, c.name)
			if c.want {
				assert.Assert(t, !d.stalledSince(d.begin()), "an exchange that began later")
			}
			for d.exchanges > 0 {
				d.end()
			}
		})
	}
}

// Time without an exchange is no stall.
func TestIdleTimeIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := stallDetector{now: time.Now}
		for range 3 {
			begin := d.begin()
			assert.Assert(t, !d.stalledSince(begin))
			d.end()
			time.Sleep(time.Minute)
		}
	})
}
