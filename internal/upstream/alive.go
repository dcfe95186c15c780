package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// aliveTimeout bounds the check of a server: its answer is complete and waits.
	aliveTimeout = 100 * time.Millisecond
	// settleTime is how long the connection has to stay open: something in front of the server may
	// accept it.
	settleTime = 10 * time.Millisecond
)

// Liveness is whether a server still accepts connections.
type Liveness int

// The results of a check.
const (
	LivenessUnknown Liveness = iota
	Alive
	Gone
)

var livenessNames = map[Liveness]string{LivenessUnknown: "unknown", Alive: "alive", Gone: "gone"}

// String returns the name of the result, which appears in logs.
func (l Liveness) String() string { return livenessNames[l] }

// CheckAlive reports whether the server still accepts connections. It keeps a connection that it opens
// for that, which the next request to the server would have opened.
func (p *Pool) CheckAlive(ctx context.Context, id routing.Identity, addr string, maxConns int) Liveness {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	c, err := p.get(ctx, id, addr, maxConns, false)
	switch {
	case err == nil:
		time.Sleep(settleTime)
		if !c.noInput() {
			p.discard(id, c)
			return Gone
		}
		p.putIdle(id, c, 0)
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Gone
	}
	return LivenessUnknown
}
