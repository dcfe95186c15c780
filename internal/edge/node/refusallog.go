package node

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/windscale/windscale/internal/events"
)

const (
	// refusalLogInterval is how often refused customers are logged, and refusalLogMaxCustomers
	// how many at a time: three of the 200 lines that a process writes per second.
	refusalLogInterval     = time.Second
	refusalLogMaxCustomers = 3
)

// refusalLog periodically logs what happened to the requests of customers that this router
// refused.
type refusalLog struct {
	lastLogged      time.Time
	refused, closed int64 // connection counters at the previous lines
}

// logIfDue writes the lines if the interval has passed since the previous ones.
func (l *refusalLog) logIfDue(ctx context.Context, n *Node, now time.Time) {
	if now.Sub(l.lastLogged) < refusalLogInterval {
		return
	}
	l.lastLogged = now
	refused, closed := n.limiter.refused.Load(), n.limiter.closed.Load()
	for _, c := range n.state.TakeAccounts(refusalLogMaxCustomers) {
		events.CustomerRefused.Log(ctx, n.log, slog.LevelInfo, "customer", c.Customer,
			"asked", int64(c.Requested), "hostLoad", int64(c.HostOverload), "overShare", int64(c.OverShare), "noRoom", int64(c.NoCapacity),
			"placed", int64(c.Placed), "begun", int64(c.Started), "takenBack", int64(c.Reverted),
			"fleetAsked", int64(c.Rates.Demand), "fleetServed", int64(c.Rates.Served), "share", int64(min(c.Level, math.MaxInt32)),
			"standing", c.ShareStatus.String(), "processorWaitMs", n.probe.Wait().Milliseconds(), "running", n.handler.InFlight(),
			"connections", n.limiter.open.Load(), "connectionsRefused", refused-l.refused, "connectionsClosed", closed-l.closed)
	}
	l.refused, l.closed = refused, closed
}
