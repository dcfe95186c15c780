package claims

import (
	"context"
	"log/slog"
	"time"

	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/platform"
)

// Run serves claims until ctx ends. It is one actor of the router's run group
// and returns nil.
func (c *Claims) Run(ctx context.Context) error {
	var waiting []*op
	for {
		waiting = c.gather(ctx, waiting)
		if ctx.Err() != nil {
			return nil
		}
		var batch []*op
		batch, waiting = split(waiting)
		waiting = append(c.serve(ctx, batch), waiting...) // in their order
	}
}

// gather waits for the first op, then a little for more.
func (c *Claims) gather(ctx context.Context, waiting []*op) []*op {
	if len(waiting) == 0 {
		select {
		case o := <-c.ops:
			waiting = append(waiting, o)
		case <-ctx.Done():
			return nil
		}
	}
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for len(waiting) < maxBatch {
		select {
		case o := <-c.ops:
			waiting = append(waiting, o)
		case <-timer.C:
			return waiting
		case <-ctx.Done():
			return waiting
		}
	}
	return waiting
}

// split takes a batch with at most one op for each key; the rest waits.
func split(ops []*op) (batch, rest []*op) {
	seen := map[claim.Key]bool{}
	for _, o := range ops {
		if seen[o.key] || len(batch) == maxBatch {
			rest = append(rest, o)
			continue
		}
		seen[o.key] = true
		batch = append(batch, o)
	}
	return batch, rest
}

// change is an op with the write it asks for.
type change struct {
	op    *op
	reply reply
	write platform.Write
}

// serve reads the rows of a batch, writes what is to be written and replies. It
// returns the ops that must read again.
func (c *Claims) serve(ctx context.Context, batch []*op) (again []*op) {
	rows, err := c.read(ctx, batch)
	if err != nil {
		c.failed(ctx, "read", len(batch), err)
		for _, o := range batch {
			o.done <- reply{err: err}
		}
		return nil
	}
	var changes []change
	for i, o := range batch {
		ch, err := c.step(o, rows[i])
		switch {
		case err != nil:
			o.done <- reply{err: err}
		case ch == nil: // replied without a write
		default:
			changes = append(changes, *ch)
		}
	}
	changes, again = c.register(ctx, changes)
	return append(again, c.commit(ctx, changes)...)
}

// read reads the rows of a batch, and the index page that its claims go to.
func (c *Claims) read(ctx context.Context, batch []*op) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	keys := make([]string, len(batch))
	for i, o := range batch {
		keys[i] = string(o.key)
	}
	return c.index.readWith(ctx, keys, latest(batch))
}

// latest returns the latest time until which a claim of the batch is kept, Unix
// ms; 0 if it has none.
func latest(batch []*op) (keep int64) {
	for _, o := range batch {
		keep = max(keep, o.keep)
	}
	return keep
}

// register makes sure that the index can name the claims that are taken. It
// returns the changes that can go on, and the ops that must read again; where
// the table fails, claims fail and results go on.
func (c *Claims) register(ctx context.Context, changes []change) (ready []change, again []*op) {
	var takes []change
	for _, ch := range changes {
		if ch.op.keep > 0 {
			takes = append(takes, ch)
			continue
		}
		ready = append(ready, ch)
	}
	if len(takes) == 0 {
		return ready, nil
	}
	err := c.index.register(ctx)
	if err == nil {
		return changes, nil
	}
	return ready, c.unwritten(ctx, "register", takes, err)
}

// unwritten settles changes after a call that failed: it returns the ops that
// must read again.
func (c *Claims) unwritten(ctx context.Context, call string, changes []change, err error) (again []*op) {
	switch platform.KindOf(err) {
	case platform.KindUnknown:
		c.observer.TableError()
		return retry(changes, err)
	case platform.KindConflict:
		return retry(changes, err)
	}
	c.failed(ctx, call, len(changes), err)
	for _, ch := range changes {
		ch.op.done <- reply{err: err}
	}
	return nil
}

// step lets an op see its row. It replies if there is nothing to write.
func (c *Claims) step(o *op, row platform.Row) (*change, error) {
	have, err := claim.Decode(row.Value)
	if err != nil {
		return nil, err
	}
	r, next := o.step(have)
	if next == nil {
		o.done <- r
		return nil, nil
	}
	value, err := claim.Encode(next)
	if err != nil {
		return nil, err
	}
	write := platform.Write{Key: row.Key, Value: value, IfVersion: row.Version}
	return &change{op: o, reply: r, write: write}, nil
}

// commit writes the changes in one transaction. One failed condition fails all
// of it, so that it is then tried by halves. It returns the ops whose row
// changed meanwhile or whose reply was lost: reading settles both.
func (c *Claims) commit(ctx context.Context, changes []change) (again []*op) {
	if len(changes) == 0 {
		return nil
	}
	err := c.transact(ctx, changes)
	switch {
	case err == nil:
		c.observer.Batch(len(changes))
		for _, ch := range changes {
			ch.op.done <- ch.reply
		}
		return nil
	case platform.KindOf(err) == platform.KindConflict && len(changes) > 1:
		half := len(changes) / 2
		return append(c.commit(ctx, changes[:half]), c.commit(ctx, changes[half:])...)
	default:
		return c.unwritten(ctx, "commit", changes, err)
	}
}

// transact commits one transaction, with the index page that names the claims
// it takes.
func (c *Claims) transact(ctx context.Context, changes []change) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	writes := make([]platform.Write, len(changes), len(changes)+1)
	var takes []claim.Key
	for i, ch := range changes {
		writes[i] = ch.write
		if ch.op.keep > 0 {
			takes = append(takes, ch.op.key)
		}
	}
	if len(takes) == 0 {
		return c.table.Commit(ctx, writes...)
	}
	page, err := c.index.name(ctx, takes)
	if err != nil {
		return err
	}
	return c.table.Commit(ctx, append(writes, page)...)
}

// retry returns the ops that have tries left, and fails the others.
func retry(changes []change, err error) (again []*op) {
	for _, ch := range changes {
		ch.op.tries++
		if ch.op.tries < maxTries {
			again = append(again, ch.op)
			continue
		}
		ch.op.done <- reply{err: err}
	}
	return again
}

// failed logs a failed call to the table.
func (c *Claims) failed(ctx context.Context, call string, claims int, err error) {
	c.observer.TableError()
	events.ClaimTableFailed.Log(ctx, c.log, slog.LevelWarn, "call", call, "claims", claims, "cause", err)
}
