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
	metrics  *metrics.Registry
	served   *served
	snapshot func() *settings.Snapshot
}

// Attempt implements proxy.Observer.
func (o *observer) Attempt(a proxy.Attempt) {
	o.metrics.Sharing.Outcome(a.Server, a.Outcome)
	if a.Leaving {
		o.metrics.Sharing.Leaving(a.Server)
	}
}

// Waiting implements proxy.Observer.
func (o *observer) Waiting(c msg.CustomerID, n int) { o.metrics.Entry.Customer(c).Waiting(n) }

// Running implements proxy.Observer.
func (o *observer) Running(c msg.CustomerID, n int) { o.metrics.Entry.Customer(c).Running(n) }

// Retry implements proxy.Observer.
func (o *observer) Retry(_ msg.PoolID, allowed bool) { o.spend(allowed) }

// Resume implements proxy.Observer.
func (o *observer) Resume(_ msg.PoolID, allowed bool) { o.spend(allowed) }

// spend counts a retry or resumption that was asked for.
func (o *observer) spend(allowed bool) {
	if allowed {
		o.metrics.Retries.Spent()
		return
	}
	o.metrics.Retries.Denied()
}

// Finish implements proxy.Observer. Each request is counted once.
func (o *observer) Finish(f proxy.Finish) {
	c := o.metrics.Entry.Customer(f.Customer)
	if f.Wait > 0 {
		c.Waited(f.Wait)
	}
	o.served.add(f.Pool, f.Customer, f.Cost)
	o.objectives(c, f)
	switch {
	case f.Gone:
		c.Gone()
	case f.Broken:
		c.Failed()
	case f.Problem == "":
		c.Answered(f.Total)
	case !f.Outcome.MayHaveRun():
		c.Refused(f.Problem)
	case f.Outcome == attempt.Completed:
		c.Failed()
	default:
		c.Unknown()
	}
}

// objectives holds the request to what its customer is promised.
func (o *observer) objectives(c *metrics.Customer, f proxy.Finish) {
	promised := o.promised(f.Customer)
	if f.Tokens == 0 { // in one piece: its first byte comes with its last token
		promised = settings.Objective{}
	}
	if f.First > 0 {
		c.FirstToken(f.First, promised.FirstToken)
	}
	if f.Between > 0 {
		c.BetweenTokens(f.Between, promised.BetweenTokens)
	}
}

// promised returns the customer's objectives in force.
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
