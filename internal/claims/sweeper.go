package claims

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/platform"
)

// What sweeping may cost the platform's table. One router sweeps at a time, so
// that these hold for the fleet.
const (
	sweepReads   = 6 // calls a second
	sweepCommits = 3 // calls a second, of up to 33 rows (the end of an hour: 65)

	sweepIdle  = 2 * time.Minute  // mean time between looks for work
	sweepPause = 30 * time.Second // mean time after a failure of the table
)

// Sweeper deletes the claims whose time to be kept is over.
type Sweeper struct {
	table   platform.Table
	live    func() []msg.RouterID
	now     func() time.Time
	log     *slog.Logger
	sweep   *claim.Sweep
	reads   *rate.Limiter
	commits *rate.Limiter
	failing bool

	observer SweepObserver
}

// SweepObserver counts what the sweeper does. Its methods are called from Run
// and must not block.
type SweepObserver interface {
	Deleted(rows int)           // claims and rows of their index
	SweepError()                // a call of the table failed, but for conflicts
	Unswept(late time.Duration) // since when the first hour that is not swept is due
}

// nopSweepObserver counts nothing.
type nopSweepObserver struct{}

func (nopSweepObserver) Deleted(int)           {}
func (nopSweepObserver) SweepError()           {}
func (nopSweepObserver) Unswept(time.Duration) {}

// Observe sets who counts. It is called before Run.
func (s *Sweeper) Observe(o SweepObserver) { s.observer = o }

// NewSweeper returns the sweeper of a router. live returns the routers that are
// in the fleet and not leaving, now the wall clock; both are called by Run only.
func NewSweeper(table platform.Table, self msg.RouterID, live func() []msg.RouterID, now func() time.Time, log *slog.Logger) *Sweeper {
	return &Sweeper{
		table:   table,
		live:    live,
		now:     now,
		log:     log,
		sweep:   claim.NewSweep(self),
		reads:   rate.NewLimiter(sweepReads, 1),
		commits: rate.NewLimiter(sweepCommits, 1),

		observer: nopSweepObserver{},
	}
}

// Run sweeps until ctx ends. It is one actor of the router's run group and
// returns nil.
func (s *Sweeper) Run(ctx context.Context) error {
	wait := pause.Jitter(sweepIdle) // routers that start together do not ask together
	for pause.For(ctx, wait) {
		wait = s.step(ctx)
	}
	return nil
}

// step does what the sweep asks for, and returns how long to wait then.
func (s *Sweeper) step(ctx context.Context) time.Duration {
	ask := s.sweep.Next(s.now().UnixMilli(), s.live())
	var err error
	switch {
	case len(ask.Read) > 0:
		err = s.read(ctx, ask.Read)
	case len(ask.Commit) > 0:
		err = s.commit(ctx, ask.Commit)
	default:
		return pause.Jitter(sweepIdle)
	}
	return s.settle(ctx, err)
}

// read makes one read.
func (s *Sweeper) read(ctx context.Context, keys []string) error {
	if err := s.reads.Wait(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return err
	}
	now := s.now().UnixMilli()
	if err := s.sweep.RowsRead(now, stored(rows)); err != nil {
		return err
	}
	s.observer.Unswept(s.sweep.Lag(now))
	return nil
}

// commit makes one commit.
func (s *Sweeper) commit(ctx context.Context, changes []claim.Change) error {
	if err := s.commits.Wait(ctx); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if err := s.table.Commit(call, writes(changes)...); err != nil {
		return err
	}
	s.observer.Deleted(deletions(changes))
	if swept := s.sweep.Committed(); swept != nil {
		s.report(ctx, swept)
	}
	return nil
}

// deletions counts the rows that changes delete.
func deletions(changes []claim.Change) (n int) {
	for _, c := range changes {
		if c.Delete {
			n++
		}
	}
	return n
}

// report logs the end of an hour.
func (s *Sweeper) report(ctx context.Context, swept *claim.SweepResult) {
	events.ClaimsSwept.Log(ctx, s.log, slog.LevelInfo,
		"hour", time.UnixMilli(swept.Hour.Start()).UTC(), "deleted", swept.Deleted, "kept", swept.Kept)
	for _, key := range swept.Unreadable {
		events.ClaimRowUnreadable.Log(ctx, s.log, slog.LevelWarn, "row", key)
	}
}

// settle lets the sweep begin anew after a failure and returns how long to wait.
// A failed condition says that another router was faster; all else is logged
// when it begins.
func (s *Sweeper) settle(ctx context.Context, err error) time.Duration {
	if err == nil {
		s.failing = false
		return 0
	}
	s.sweep.Failed()
	if platform.KindOf(err) == platform.KindConflict {
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	s.observer.SweepError()
	if !s.failing {
		s.failing = true
		events.ClaimSweepFailed.Log(ctx, s.log, slog.LevelWarn, "cause", err)
	}
	return pause.Jitter(sweepPause)
}
