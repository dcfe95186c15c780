package router

import (
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/metrics"
	"github.com/windscale/windscale/internal/proxy"
)

// observer counts what the proxy reports. It implements proxy.Observer.
type observer struct {
	entry    *metrics.Entry
	retries  *metrics.Retries
	snapshot func() *settings.Snapshot
}

// Attempt implements proxy.Observer.
func (o *observer) Attempt(msg.PoolID, attempt.Outcome) {}

// Retry implements proxy.Observer.
func (o *observer) Retry(_ msg.PoolID, allowed bool) { o.spend(allowed) }

// Resume implements proxy.Observer.
func (o *observer) Resume(_ msg.PoolID, allowed bool) { o.spend(allowed) }

func (o *observer) spend(allowed bool) {
	if allowed {
		o.retries.Spent()
		return
	}
	o.retries.Denied()
}

// Finish implements proxy.Observer.
func (o *observer) Finish(f proxy.Finish) {
	c := o.entry.Customer(f.Customer)
	if f.Wait > 0 {
		c.Waited(f.Wait)
	}
	o.objectives(c, f)
	switch {
	case f.Gone:
	case f.Broken:
		c.Failed()
	case f.Problem == "":
		c.Answered(f.Total)
	case !f.Outcome.MayHaveRun():
		c.Refused(f.Problem)
	default:
		c.Unknown()
		c.Failed()
	}
}

// objectives holds the request to what its customer is promised.
func (o *observer) objectives(c *metrics.Customer, f proxy.Finish) {
	promised := o.promised(f.Customer)
	if f.First > 0 {
		c.FirstToken(f.First, promised.FirstToken)
	}
	if f.Between > 0 {
		c.BetweenTokens(f.Between, promised.BetweenTokens)
	}
}

func (o *observer) promised(id msg.CustomerID) settings.Objective {
	s := o.snapshot()
	if s == nil {
		return settings.Objective{}
	}
	c, ok := s.Customers[id]
	if !ok {
		return settings.Objective{}
	}
	return c.Objective
}
