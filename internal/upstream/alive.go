package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/core/liveness"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/peek"
)

// settleTime is how long a connection has to stay open to prove that its server runs: that of a server
// that crashes is closed within this time, as are those that something in front of it has accepted.
const settleTime = 10 * time.Millisecond

// Probe is a server whose close-delimited response has ended.
type Probe struct {
	Server   routing.Identity
	Addr     string
	MaxConns int // from this router to the server; 0: no limit
	// Leaving reports whether the server is shutting down, so that it may refuse connections while it
	// still runs.
	Leaving func() bool
}

// CheckAlive reports whether the server outlived its response, whose connection has been closed. It
// probes the server until that is known or ctx ends. A connection that it opens is kept for the next
// request to the server, which would have opened one.
func (p *Pool) CheckAlive(ctx context.Context, s Probe) liveness.Verdict {
	ended := time.Now()
	witnesses := p.openConns(s.Server)
	var check liveness.Check
	for {
		o := p.probe(ctx, s, witnesses)
		if v := check.Observe(o, time.Since(ended)); v != liveness.Unknown {
			return v
		}
		if !sleep(ctx, check.Pause()) {
			return liveness.Unknown
		}
	}
}

// probe opens a connection to the server. It does not rely on an idle one, which may have gone silent.
// The witnesses are the connections that were open when the response ended.
func (p *Pool) probe(ctx context.Context, s Probe, witnesses []*conn) liveness.Observation {
	c, err := p.open(ctx, s.Server, s.Addr, s.MaxConns)
	if err == nil {
		return p.settle(ctx, s, c, witnesses)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		if s.Leaving() && stayOpen(ctx, witnesses) {
			return liveness.Connected
		}
		return liveness.Refused
	case errors.Is(err, syscall.ECONNRESET):
		return rejected(ctx, witnesses)
	case errors.Is(err, ErrConnLimit) && stayOpen(ctx, witnesses):
		return liveness.Connected
	}
	return liveness.NoReply
}

// settle reports whether a new connection stays open, and keeps it if so.
func (p *Pool) settle(ctx context.Context, s Probe, c *conn, witnesses []*conn) liveness.Observation {
	waited := sleep(ctx, settleTime)
	if !c.noInput() {
		p.discard(s.Server, c)
		return rejected(ctx, witnesses)
	}
	p.putIdle(s.Server, c, 0)
	if !waited {
		return liveness.NoReply
	}
	return liveness.Accepted
}

// rejected is the observation of a connection that was accepted and closed at once. A server that has
// all the connections that it allows keeps those.
func rejected(ctx context.Context, witnesses []*conn) liveness.Observation {
	if stayOpen(ctx, witnesses) {
		return liveness.Connected
	}
	return liveness.Rejected
}

// stayOpen reports whether one of the connections is still open after settleTime.
func stayOpen(ctx context.Context, list []*conn) bool {
	if len(list) == 0 || !sleep(ctx, settleTime) {
		return false
	}
	for _, c := range list {
		if peek.Check(c.Conn.(*net.TCPConn)) == peek.Open {
			return true
		}
	}
	return false
}

// sleep waits for d and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
