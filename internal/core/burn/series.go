package burn

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Value is a burn rate at a moment.
type Value struct {
	At   time.Time
	Rate float64
}

// Series returns the burn rate of one customer's objective over time, each
// value over the window that ends at its moment. Moments without a measured
// rate are left out.
func (h *History) Series(id msg.CustomerID, o Objective, p Promise, window time.Duration) []Value {
	var out []Value
	for _, now := range h.s.Points {
		base, _ := h.base(now.At.Add(-window))
		c := now.Totals[id][o].minus(base.Totals[id][o])
		if allowed := p.allowed(o, c.Total); allowed > 0 {
			out = append(out, Value{At: now.At, Rate: float64(c.Bad) / allowed})
		}
	}
	return out
}
