// Package clock tells time by which ages, leases and deadlines are judged: steady, whatever
// is done to the time of day, and counting the time in which the host was suspended.
// The steady clock of the system stops then, so that all that a host believes would seem as
// young afterwards as before; with this one a suspension is like a freeze.
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
	// checkEvery is how often the two clocks of the system are compared: three calls, 30 a
	// second. For so long at most what is old may seem young after a suspension.
	checkEvery = 100 * time.Millisecond
	// least is the shortest suspension that counts. Clocks drift apart by less in a day.
	least = 100 * time.Millisecond
	// atOnce is the time within which both clocks have to be read to be compared.
	atOnce = 10 * time.Millisecond
)

// Reading is what the system's clocks tell at one moment, each since some moment of its own.
type Reading struct {
	Steady time.Duration // stands while the host is suspended
	Boot   time.Duration // goes on
	Took   time.Duration // between the first and the last look at the steady clock
}

// Clock is safe for concurrent use.
type Clock struct {
	read      func() (Reading, error)
	suspended atomic.Int64 // in all, ns
	apart     time.Duration
	known     bool
}

// New returns a clock that reads the system's.
func New() *Clock { return &Clock{read: system} }

// system reads the system's clocks.
func system() (Reading, error) {
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
		Steady: time.Duration(after.Nano()),
		Boot:   time.Duration(boot.Nano()),
		Took:   time.Duration(after.Nano() - before.Nano()),
	}, nil
}

// Now returns the time.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// Suspended returns for how long the host was suspended in all since the start.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Check compares the system's clocks and returns for how long the host was suspended since
// the last time; 0: it was not. Clocks that were read far apart, since this process did not run in
// between, tell nothing and are compared the next time. It is called by one goroutine.
func (c *Clock) Check() (time.Duration, error) {
	r, err := c.read()
	if err != nil {
		return 0, err
	}
	if r.Took > atOnce {
		return 0, nil
	}
	apart := r.Boot - r.Steady
	if !c.known {
		c.known = true
		c.apart = apart
		return 0, nil
	}
	gap := apart - c.apart
	if gap < least {
		return 0, nil
	}
	c.apart = apart
	c.suspended.Add(int64(gap))
	return gap, nil
}

// Run checks until ctx ends, and calls resumed after each suspension. Where the system does
// not tell, that is said once and a suspension goes unnoticed.
func (c *Clock) Run(ctx context.Context, log *slog.Logger, resumed func()) error {
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	failed := false
	for {
		gap, err := c.Check()
		if err != nil && !failed {
			failed = true
			events.ClockUnread.Log(ctx, log, slog.LevelWarn, "err", err)
		}
		if gap > 0 {
			events.HostSuspended.Log(ctx, log, slog.LevelWarn, "suspendedMs", gap.Milliseconds())
			resumed()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}
