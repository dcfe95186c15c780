package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
)

// rates holds each customer to its request rate at this router.
type rates struct {
	now func() time.Time

	mu sync.Mutex
	by map[msg.CustomerID]*rate.Limiter
}

// newRates returns the rates of a router that has seen no request yet.
func newRates(now func() time.Time) *rates {
	return &rates{now: now, by: map[msg.CustomerID]*rate.Limiter{}}
}

// take spends one request of the customer's rate. When there is none left it
// returns how long until there is.
func (r *rates) take(c *settings.Customer) (wait time.Duration, ok bool) {
	if c.Rate <= 0 {
		return 0, true
	}
	now := r.now()
	res := r.limiter(c, now).ReserveN(now, 1)
	if !res.OK() {
		return time.Second, false
	}
	wait = res.DelayFrom(now)
	if wait == 0 {
		return 0, true
	}
	res.CancelAt(now)
	return wait, false
}

// limiter returns the customer's limiter with the settings in force.
func (r *rates) limiter(c *settings.Customer, now time.Time) *rate.Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.by[c.Path]
	if !ok {
		l = rate.NewLimiter(rate.Limit(c.Rate), c.Burst)
		r.by[c.Path] = l
	}
	if l.Limit() != rate.Limit(c.Rate) {
		l.SetLimitAt(now, rate.Limit(c.Rate))
	}
	if l.Burst() != c.Burst {
		l.SetBurstAt(now, c.Burst)
	}
	return l
}
