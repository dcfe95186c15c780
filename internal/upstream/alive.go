package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/core/liveness"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/peek"
)

// settleTime is how long a connection has to stay open to prove that its server runs: that of a server
// that crashes is closed within this time, as are those that something in front of it has accepted.
const settleTime = 10 * time.Millisecond

// settleInterval is how often such a connection is looked at. A crashed server takes longer to start
// again at its address.
const settleInterval = time.Millisecond

// witnessAge is how long after the response's end a connection in use has to be open to prove that its
// server runs, where no new one is allowed. The end of one may get lost on the way once.
const witnessAge = 300 * time.Millisecond

// CheckTarget is a server whose close-delimited response has ended.
type CheckTarget struct {
	Server   routing.Identity
	Addr     string
	MaxConns int // from this router to the server; 0: no limit
	// Leaving reports whether the server is shutting down, so that it may refuse connections while it
	// still runs.
	Leaving func() bool
	// Late means that the server may have crashed and started again since the response ended, so that a
	// new connection proves nothing.
	Late bool
	// Dialled is called once, after the first attempt to open a connection.
	Dialled func()
}

// AliveCheck is the check whether a server outlived its response.
type AliveCheck struct {
	CheckTarget
	pool      *Pool
	ended     time.Time
	witnesses []*conn // that were open when the response ended
	decision  liveness.Check
	dialled   sync.Once
}

// NewAliveCheck returns the check for a response that has just ended and whose connection is closed.
func (p *Pool) NewAliveCheck(s CheckTarget) *AliveCheck {
	return &AliveCheck{CheckTarget: s, pool: p, ended: time.Now(), witnesses: p.openConns(s.Server), decision: liveness.Check{Late: s.Late}}
}

// Run probes the server until the verdict is known or ctx ends. It may be called again while it is
// unknown. A connection that it opens is kept for the next request to the server, which would have
// opened one.
func (c *AliveCheck) Run(ctx context.Context) liveness.Verdict {
	for ctx.Err() == nil && !c.decision.Undecidable() {
		v := c.decision.Observe(c.probe(ctx), time.Since(c.ended))
		if v != liveness.Unknown {
			return v
		}
		pause.For(ctx, c.decision.Pause())
	}
	return liveness.Unknown
}

// probe opens a connection to the server. It does not rely on an idle one, which may have gone silent.
func (c *AliveCheck) probe(ctx context.Context) liveness.Observation {
	opened, err := c.pool.open(ctx, c.Server, c.Addr, c.MaxConns)
	if err == nil {
		c.pool.beginProbe(c.Server, opened)
	}
	c.dialled.Do(c.Dialled)
	switch {
	case err == nil:
		return c.settle(ctx, opened)
	case errors.Is(err, ErrRejected):
		return liveness.Rejected
	case errors.Is(err, ErrConnLimit):
		return c.observeInUse()
	case !errors.Is(err, syscall.ECONNREFUSED):
		return liveness.NoReply
	case c.Leaving() && stayOpen(ctx, c.witnesses):
		return liveness.Connected
	}
	return liveness.Refused
}

// settle reports whether a new connection stays open, or has brought the response to a request.
func (c *AliveCheck) settle(ctx context.Context, opened *conn) liveness.Observation {
	defer c.pool.endProbe(c.Server, opened)
	for range settleTime / settleInterval {
		if !pause.For(ctx, settleInterval) {
			return liveness.NoReply
		}
		if opened.state() == peek.Closed {
			c.pool.noteProbeClosed(c.Server, opened)
			return liveness.Rejected
		}
	}
	if c.Late && anyOpen(c.witnesses) {
		return liveness.Connected
	}
	return liveness.Accepted
}

// observeInUse looks at the connections in use, as no more are allowed.
func (c *AliveCheck) observeInUse() liveness.Observation {
	if time.Since(c.ended) >= witnessAge && anyOpen(c.witnesses) {
		return liveness.Connected
	}
	return liveness.NoReply
}

// stayOpen reports whether one of the connections is still open after settleTime.
func stayOpen(ctx context.Context, list []*conn) bool {
	return len(list) > 0 && pause.For(ctx, settleTime) && anyOpen(list)
}

// anyOpen reports whether one of the connections is open.
func anyOpen(list []*conn) bool {
	for _, c := range list {
		if c.state() == peek.Open {
			return true
		}
	}
	return false
}
