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
	// rolloutsEvery is how often a router that follows the store decides on roll-outs.
	rolloutsEvery = 100 * time.Millisecond
	// rolloutReadEvery is how often it asks the store how far they are while they go on: what it
	// then tells others has to be fresh (rollout.List).
	rolloutReadEvery = 700 * time.Millisecond
	// whatRollout names them in logs and metrics.
	whatRollout = "roll-out"
)

// rolloutDuty is one router's duty for one roll-out.
type rolloutDuty struct {
	order   rollout.Order
	decider rollout.Decider
	ver     uint64        // of the store's row; valid while known
	known   bool          // the row was read, and no write since may have changed it
	era     uint64        // the store's, when it was read
	clock   time.Duration // the store's, when the row was read
	readAt  time.Time
	lost    bool
}

// Rollouts keeps services' roll-outs going while this router follows the store, until ctx ends.
func (f *Follower) Rollouts(ctx context.Context) error {
	duties := map[string]*rolloutDuty{}
	t := time.NewTicker(rolloutsEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		for _, told := range f.State.Rollouts() {
			if f.Role() == Informed {
				clear(duties)
				break
			}
			d := duties[told.Order.Service]
			if d == nil || told.Order.NewerThan(d.order) {
				d = &rolloutDuty{order: told.Order, decider: rollout.Decider{Bounds: f.Bounds}}
				duties[told.Order.Service] = d
			}
			f.keepRollout(ctx, d, told.Record)
		}
	}
}

// keepRollout does what is due of one roll-out.
func (f *Follower) keepRollout(ctx context.Context, d *rolloutDuty, r rollout.Record) {
	now := f.Now()
	if r.Phase.Final() && d.known && d.era == f.State.Era() {
		return // the store has it
	}
	if !d.known || now.Sub(d.readAt) >= rolloutReadEvery {
		if !f.readRollout(ctx, d) {
			return
		}
		r, _ = f.State.Rollout(d.order.Service)
	}
	in := f.State.RolloutInput(r)
	in.Now = d.clock + f.Now().Sub(d.readAt)
	next, due := d.decider.Next(r, in)
	if due && next.Phase == rollout.Halted {
		// It counts at once, also while the store can't be reached; the store is told next.
		f.takeRollout(next, "decided")
		next, due = d.decider.Next(next, in)
	}
	if due {
		f.writeRollout(ctx, d, next)
	}
}

// readRollout asks the store how far the roll-out is, and reports whether that is known now.
func (f *Follower) readRollout(ctx context.Context, d *rolloutDuty) bool {
	asked := f.Now()
	stored, err := f.Store.ReadRollout(ctx, d.order.Service)
	d.readAt = f.Now()
	d.known = err == nil
	d.era = f.State.Era()
	f.noteRollout(ctx, d, err)
	if err != nil {
		return false
	}
	d.ver, d.clock = stored.RowVersion, stored.StoreTime
	r, _ := f.State.Rollout(d.order.Service)
	if !stored.Found || r.Order.NewerThan(stored.Record.Order) {
		f.confirm(r, d.readAt.Sub(asked)) // the store knows nothing of it yet
		return true
	}
	// What is stored is true of the store's order, whatever era it was written in.
	if stored.Record.Order.Equivalent(r.Order) && !stored.Record.Order.NewerThan(r.Order) {
		stored.Record.Order = r.Order
	}
	if r.Supersedes(stored.Record) {
		// The store has come back from a copy, or this router is to tell it.
		f.confirm(r, d.readAt.Sub(asked))
		if r.Phase.Final() {
			f.writeRollout(ctx, d, r)
			return false
		}
		return true
	}
	f.takeRollout(stored.Record, "store")
	f.confirm(stored.Record, d.readAt.Sub(asked))
	return true
}

// writeRollout has the store take the next phase, if nobody else has changed it.
func (f *Follower) writeRollout(ctx context.Context, d *rolloutDuty, next rollout.Record) {
	ver, err := f.Store.WriteRollout(ctx, next, d.ver)
	f.noteRollout(ctx, d, err)
	if err != nil {
		d.known = false // it may have been written, by this router or another one
		return
	}
	d.ver = ver
	f.takeRollout(next, "decided")
	f.confirm(next, 0)
}

// takeRollout puts a phase in force.
func (f *Follower) takeRollout(r rollout.Record, from string) {
	if f.State.TakeRollout(r, 0) {
		state.LogRollout(f.Log, r, from)
	}
}

// confirm notes that the phase was true so long ago.
func (f *Follower) confirm(r rollout.Record, age time.Duration) { f.State.TakeRollout(r, age) }

// noteRollout counts a failed call, and logs the first one.
func (f *Follower) noteRollout(ctx context.Context, d *rolloutDuty, err error) {
	if err == nil {
		d.lost = false
		return
	}
	if kind(err) == platform.KindConflict {
		return // another router was first
	}
	f.Meter.StoreFailed(whatRollout, kind(err).String())
	if !d.lost {
		events.RolloutStore.Log(ctx, f.Log, slog.LevelWarn, "service", d.order.Service, "err", err)
	}
	d.lost = true
}

// takeOrders takes orders of the operator.
func (f *Follower) takeOrders(c platform.Change) {
	for _, o := range c.Orders {
		o.Stamp.Era = c.Stamp.Era
		if f.State.TakeOrder(o) {
			state.LogRollout(f.Log, rollout.Record{Order: o}, "operator")
		}
	}
}
