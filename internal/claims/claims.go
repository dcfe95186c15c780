// Package claims keeps the claims of Idempotency-Keys in the platform's table.
// What they mean is decided by package claim; this package reads and writes
// them, many at a time, and settles lost replies by reading.
package claims

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/platform"
)

const (
	gatherTime   = 5 * time.Millisecond // how long a batch waits for more
	maxBatch     = 64                   // claims of one transaction
	maxQueue     = 1024                 // claims waiting for their batch
	callTime     = time.Second          // of one call to the table
	maxTries     = 4                    // of one op, before it fails
	finishTime   = time.Minute          // how long a result is tried to be written
	maxFinishing = 1024                 // results waiting to be written
)

// Unavailable is the error of a claim that was certainly not made, or is known
// to no one who would send: the request has not run.
type Unavailable struct{ Err error }

// Error implements error.
func (u *Unavailable) Error() string {
	if u.Err == nil {
		return "claims unavailable: too many wait"
	}
	return "claims unavailable: " + u.Err.Error()
}

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.Err }

// Claims makes and finishes claims. Its methods are safe for concurrent use;
// they need Run to be running.
type Claims struct {
	table     platform.Table
	now       func() time.Time
	log       *slog.Logger
	index     *index
	ops       chan *op
	observer  Observer
	finishing chan struct{} // a place for each result waiting to be written
}

// Observer counts what becomes of claims. Its methods are called from any
// goroutine and must not block.
type Observer interface {
	Taken()           // a claim is held here
	Replayed()        // a stored answer was found
	Conflict()        // the claim is held, or the content differs
	Unknown()         // the first request may have run, or its answer is lost
	TableError()      // a call of the table failed
	Batch(writes int) // a commit took effect
}

// nopObserver counts nothing.
type nopObserver struct{}

func (nopObserver) Taken()      {}
func (nopObserver) Replayed()   {}
func (nopObserver) Conflict()   {}
func (nopObserver) Unknown()    {}
func (nopObserver) TableError() {}
func (nopObserver) Batch(int)   {}

// Observe sets who counts. It is called before Run.
func (c *Claims) Observe(o Observer) { c.observer = o }

// New returns the claims that a run of a router makes in the table. now is the
// wall clock.
func New(table platform.Table, writer claim.Writer, now func() time.Time, log *slog.Logger) *Claims {
	return &Claims{
		observer:  nopObserver{},
		table:     table,
		index:     newIndex(table, writer, now),
		now:       now,
		log:       log,
		ops:       make(chan *op, maxQueue),
		finishing: make(chan struct{}, maxFinishing),
	}
}

// op is one claim's turn at the table.
type op struct {
	key   claim.Key
	keep  int64                                     // of one that takes the key: until when, Unix ms; else 0
	step  func(have *claim.Row) (reply, *claim.Row) // the row to write, or nil
	done  chan reply                                // gets one
	tries int
}

// reply is what came of an op.
type reply struct {
	verdict claim.Verdict
	row     *claim.Row
	err     error
}

// Take asks to run a call. With the verdict Take the caller holds the claim and
// must Finish it; the row has its fencing number. With Replay the row has the
// answer. The error is *Unavailable: the claim is not held, and a row that was
// written all the same is released later.
func (c *Claims) Take(ctx context.Context, key claim.Key, want claim.Request) (claim.Verdict, *claim.Row, error) {
	o := &op{key: key, keep: want.RetainUntil, done: make(chan reply, 1), step: func(have *claim.Row) (reply, *claim.Row) {
		verdict, next := claim.Decide(c.now().UnixMilli(), have, want)
		switch verdict {
		case claim.Granted:
			return reply{verdict: claim.Granted, row: next}, next
		case claim.AlreadyHeld: // an earlier try took effect, its reply was lost
			return reply{verdict: claim.Granted, row: have}, nil
		default:
			return reply{verdict: verdict, row: have}, nil
		}
	}}
	if !c.submit(o) {
		return 0, nil, &Unavailable{}
	}
	select {
	case r := <-o.done:
		if r.err != nil {
			c.release(key, want.Holder)
			return 0, nil, &Unavailable{r.err}
		}
		c.count(r.verdict)
		return r.verdict, r.row, nil
	case <-ctx.Done():
		c.release(key, want.Holder)
		return 0, nil, &Unavailable{ctx.Err()}
	}
}

// count tells the observer what came of a claim.
func (c *Claims) count(v claim.Verdict) {
	switch v {
	case claim.Granted:
		c.observer.Taken()
	case claim.Replay:
		c.observer.Replayed()
	case claim.InProgress, claim.ContentMismatch:
		c.observer.Conflict()
	default:
		c.observer.Unknown()
	}
}

// release frees a row that may have been written by a claim that nobody holds.
func (c *Claims) release(key claim.Key, holder msg.RequestID) {
	c.Finish(key, holder, claim.Result{State: claim.NotRun})
}

// Finish writes the result of a held claim, trying for a while, and closes the
// returned channel when it is written or given up. It does not block. A result
// that is never written leaves the claim running until its time is over, and
// unknown after.
func (c *Claims) Finish(key claim.Key, holder msg.RequestID, r claim.Result) <-chan struct{} {
	written := make(chan struct{})
	select {
	case c.finishing <- struct{}{}:
	default:
		close(written)
		events.ClaimResultLost.Log(context.Background(), c.log, slog.LevelWarn, "request", holder, "cause", "too many wait")
		return written
	}
	go func() {
		defer close(written)
		defer func() { <-c.finishing }()
		c.finish(key, holder, r)
	}()
	return written
}

// Settle waits until every result is written or given up, or ctx ends, and
// reports whether all are. Nothing may be finished after. A router that drains
// calls it once its requests have ended, with Run still running: an answer whose
// result is lost with the process can't be told to a caller who asks again.
func (c *Claims) Settle(ctx context.Context) bool {
	for range maxFinishing { // with all places taken, no result waits
		select {
		case c.finishing <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// finish tries to write a result until it is there or its time is over.
func (c *Claims) finish(key claim.Key, holder msg.RequestID, r claim.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	for n := 1; ; n++ {
		err := c.write(ctx, key, holder, r)
		if err == nil {
			return
		}
		if !pause.For(ctx, attempt.Backoff(n, rand.Float64())) {
			events.ClaimResultLost.Log(context.Background(), c.log, slog.LevelWarn, "request", holder, "cause", err)
			return
		}
	}
}

// write tries once to write a result.
func (c *Claims) write(ctx context.Context, key claim.Key, holder msg.RequestID, r claim.Result) error {
	o := &op{key: key, done: make(chan reply, 1), step: func(have *claim.Row) (reply, *claim.Row) {
		return reply{}, claim.Finish(have, holder, r)
	}}
	if !c.submit(o) {
		return &Unavailable{}
	}
	select {
	case got := <-o.done:
		return got.err
	case <-ctx.Done():
		return &Unavailable{ctx.Err()}
	}
}

// submit queues an op unless too many wait.
func (c *Claims) submit(o *op) bool {
	select {
	case c.ops <- o:
		return true
	default:
		return false
	}
}
