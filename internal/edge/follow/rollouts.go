package follow

import (
	"context"
	"log/slog"
	"time"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/platform"
)

const (
	// rolloutInterval is how often a router that follows the store decides on roll-outs.
	rolloutInterval = 100 * time.Millisecond
	// rolloutReadInterval is how often it reads the state of roll-outs in progress from the store:
	// what it then reports to other routers must be recent (rollout.List).
	rolloutReadInterval = 700 * time.Millisecond
	// rolloutName names roll-outs in logs and metrics.
	rolloutName = "roll-out"
)

// rolloutTask is the state of one router's work on one roll-out.
type rolloutTask struct {
	order   rollout.Order
	decider rollout.Decider
	ver     uint64        // version of the store's row; valid while known
	known   bool          // the row was read, and no later write can have changed it
	era     uint64        // era of the store when the row was read
	clock   time.Duration // time of the store when the row was read
	readAt  time.Time
	lost    bool // the last call failed
}

// AdvanceRollouts advances the services' roll-outs while this router follows the store, until ctx
// ends.
func (f *Follower) AdvanceRollouts(ctx context.Context) error {
	tasks := map[string]*rolloutTask{}
	t := time.NewTicker(rolloutInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		for _, known := range f.State.Rollouts() {
			if f.Role() == Indirect {
				clear(tasks)
				break
			}
			task := tasks[known.Order.Service]
			if task == nil || known.Order.NewerThan(task.order) {
				task = &rolloutTask{order: known.Order, decider: rollout.Decider{Bounds: f.RolloutBounds}}
				tasks[known.Order.Service] = task
			}
			f.advanceRollout(ctx, task, known.Record)
		}
	}
}

// advanceRollout reads one roll-out from the store if that is due, and takes the next decision.
func (f *Follower) advanceRollout(ctx context.Context, task *rolloutTask, r rollout.Record) {
	now := f.Now()
	if r.Phase.Final() && task.known && task.era == f.State.Era() {
		return // the final phase is in the store
	}
	if !task.known || now.Sub(task.readAt) >= rolloutReadInterval {
		if !f.readRollout(ctx, task) {
			return
		}
		r, _ = f.State.Rollout(task.order.Service)
	}
	in := f.State.RolloutInput(r)
	in.Now = task.clock + f.Now().Sub(task.readAt)
	next, due := task.decider.Next(r, in)
	if due && next.Phase == rollout.Halted {
		// A halt takes effect at once, even if the store can't be reached; it is written next.
		f.applyRollout(next, "decided")
		next, due = task.decider.Next(next, in)
	}
	if due {
		f.writeRollout(ctx, task, next)
	}
}

// readRollout reads the state of the roll-out from the store, and reports whether it is now known.
func (f *Follower) readRollout(ctx context.Context, task *rolloutTask) bool {
	began := f.Now()
	stored, err := f.Store.ReadRollout(ctx, task.order.Service)
	task.readAt = f.Now()
	task.known = err == nil
	task.era = f.State.Era()
	f.reportRolloutCall(ctx, task, err)
	if err != nil {
		return false
	}
	task.ver, task.clock = stored.RowVersion, stored.StoreTime
	r, _ := f.State.Rollout(task.order.Service)
	if !stored.Found || r.Order.NewerThan(stored.Record.Order) {
		f.confirmRollout(r, task.readAt.Sub(began)) // the store has no row of this order yet
		return true
	}
	// The stored record applies to the store's order, whatever era it was written in.
	if stored.Record.Order.Equivalent(r.Order) && !stored.Record.Order.NewerThan(r.Order) {
		stored.Record.Order = r.Order
	}
	if r.Supersedes(stored.Record) {
		// The store was restored from a copy, or this router's phase is not written yet.
		f.confirmRollout(r, task.readAt.Sub(began))
		if r.Phase.Final() {
			f.writeRollout(ctx, task, r)
			return false
		}
		return true
	}
	f.applyRollout(stored.Record, "store")
	f.confirmRollout(stored.Record, task.readAt.Sub(began))
	return true
}

// writeRollout writes the next phase to the store, unless another router has changed the row.
func (f *Follower) writeRollout(ctx context.Context, task *rolloutTask, next rollout.Record) {
	ver, err := f.Store.WriteRollout(ctx, next, task.ver)
	f.reportRolloutCall(ctx, task, err)
	if err != nil {
		task.known = false // this router or another one may have written the row
		return
	}
	task.ver = ver
	f.applyRollout(next, "decided")
	f.confirmRollout(next, 0)
}

// applyRollout puts a phase in force.
func (f *Follower) applyRollout(r rollout.Record, from string) {
	if f.State.MergeRollout(r, 0) {
		state.LogRollout(f.Log, r, from)
	}
}

// confirmRollout records that the phase was valid age ago.
func (f *Follower) confirmRollout(r rollout.Record, age time.Duration) { f.State.MergeRollout(r, age) }

// reportRolloutCall counts a failed call, and logs the first one of a series.
func (f *Follower) reportRolloutCall(ctx context.Context, task *rolloutTask, err error) {
	if err == nil {
		task.lost = false
		return
	}
	if errorKind(err) == platform.KindConflict {
		return // another router has written first
	}
	f.Meter.StoreFailed(rolloutName, errorKind(err).String())
	if !task.lost {
		events.RolloutStore.Log(ctx, f.Log, slog.LevelWarn, "service", task.order.Service, "err", err)
	}
	task.lost = true
}

// applyOrders applies orders of the operator.
func (f *Follower) applyOrders(c platform.Change) {
	for _, o := range c.Orders {
		o.Stamp.Era = c.Stamp.Era
		if f.State.ApplyOrder(o) {
			state.LogRollout(f.Log, rollout.Record{Order: o}, "operator")
		}
	}
}
