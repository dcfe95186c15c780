// Package clock provides the time for ages, leases and deadlines: it is monotonic, unaffected by
// changes of the wall clock, and includes the time for which the host was suspended. The system's
// monotonic clock stops during a suspension, so that stale data would look fresh afterwards.
package clock

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/windscale/windscale/internal/events"
)

const (
	// checkInterval is how often the system's two clocks are compared. A check takes three system
	// calls, which makes 30 a second. After a suspension stale data may look fresh for up to this
	// long.
	checkInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is detected. The clocks drift apart by less than
	// this in a day.
	minSuspension = 100 * time.Millisecond
	// maxReadTime is the time within which both clocks must be read for a valid comparison.
	maxReadTime = 10 * time.Millisecond
)

// Reading holds the system's clocks at one moment. Each clock has its own origin.
type Reading struct {
	Monotonic time.Duration // stops while the host is suspended
	Boot      time.Duration // continues while the host is suspended
	ReadTime  time.Duration // between the first and the last reading of the monotonic clock
}

// Clock is a monotonic clock that includes suspensions of the host. Now and Suspended are safe for
// concurrent use.
type Clock struct {
	read      func() (Reading, error)
	suspended atomic.Int64 // total, ns
	offset    time.Duration
	hasOffset bool
}

// New returns a clock that reads the system's clocks.
func New() *Clock { return &Clock{read: readSystemClocks} }

// readSystemClocks reads the system's clocks.
func readSystemClocks() (Reading, error) {
	var before, boot, after unix.Timespec
	for _, c := range []struct {
		id int32
		to *unix.Timespec
	}{{unix.CLOCK_MONOTONIC, &before}, {unix.CLOCK_BOOTTIME, &boot}, {unix.CLOCK_MONOTONIC, &after}} {
		if err := unix.ClockGettime(c.id, c.to); err != nil {
			return Reading{}, err
		}
	}
	return Reading{
		Monotonic: time.Duration(after.Nano()),
		Boot:      time.Duration(boot.Nano()),
		ReadTime:  time.Duration(after.Nano() - before.Nano()),
	}, nil
}

// Now returns the current time, advanced by all suspensions.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// Suspended returns the total time for which the host was suspended since the clock was created.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Check compares the system's clocks and returns for how long the host was suspended since the last
// call. If the process was descheduled between the readings, it returns 0 and the next call makes the
// comparison. Check must not be called concurrently.
func (c *Clock) Check() (time.Duration, error) {
	r, err := c.read()
	if err != nil {
		return 0, err
	}
	if r.ReadTime > maxReadTime {
		return 0, nil
	}
	offset := r.Boot - r.Monotonic
	if !c.hasOffset {
		c.hasOffset = true
		c.offset = offset
		return 0, nil
	}
	gap := offset - c.offset
	if gap < minSuspension {
		return 0, nil
	}
	c.offset = offset
	c.suspended.Add(int64(gap))
	return gap, nil
}

// Run checks for suspensions until ctx is done, and calls onResume after each. If the system's clocks
// can't be read, it logs that once and does not detect suspensions.
func (c *Clock) Run(ctx context.Context, log *slog.Logger, onResume func()) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	unreadable := false
	for {
		gap, err := c.Check()
		if err != nil && !unreadable {
			unreadable = true
			events.ClockUnread.Log(ctx, log, slog.LevelWarn, "err", err)
		}
		if gap > 0 {
			events.HostSuspended.Log(ctx, log, slog.LevelWarn, "suspendedMs", gap.Milliseconds())
			onResume()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
