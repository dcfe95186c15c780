package node

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/windscale/windscale/internal/events"
)

const (
	// accountEvery is how often the lines of refused customers are written, and
	// accountMost how many at a time: three lines a second of the 200 that a process
	// writes.
	accountEvery = time.Second
	accountMost  = 3
)

// accountLines writes what became of the customers that this router refused.
type accountLines struct {
	at              time.Time
	refused, closed int64 // connections, at the last lines
}

// log writes the lines if it is time for them.
func (a *accountLines) log(ctx context.Context, n *Node, now time.Time) {
	if now.Sub(a.at) < accountEvery {
		return
	}
	a.at = now
	refused, closed := n.limiter.refused.Load(), n.limiter.closed.Load()
	for _, c := range n.state.TakeAccounts(accountMost) {
		events.CustomerRefused.Log(ctx, n.log, slog.LevelInfo, "customer", c.Customer,
			"asked", int64(c.Requested), "hostLoad", int64(c.HostOverload), "overShare", int64(c.OverShare), "noRoom", int64(c.NoCapacity),
			"placed", int64(c.Placed), "begun", int64(c.Started), "takenBack", int64(c.Reverted),
			"fleetAsked", int64(c.Rates.Demand), "fleetServed", int64(c.Rates.Served), "share", int64(min(c.Level, math.MaxInt32)),
			"standing", c.Standing.String(), "processorWaitMs", n.probe.Wait().Milliseconds(), "running", n.handler.InFlight(),
			"connections", n.limiter.open.Load(), "connectionsRefused", refused-a.refused, "connectionsClosed", closed-a.closed)
	}
	a.refused, a.closed = refused, closed
}
