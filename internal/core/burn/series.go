package burn

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// RatePoint is a burn rate at a point in time.
type RatePoint struct {
	At   time.Time
	Rate float64
}

// Series returns the burn rate of a customer's objective over time. Each value
// covers the window that ends at its time. Times without a measured rate are left
// out.
func (h *History) Series(id msg.CustomerID, o Objective, slo SLO, window time.Duration) []RatePoint {
	var out []RatePoint
	for _, now := range h.state.Checkpoints {
		baseline, _ := h.baseline(now.At.Add(-window))
		c := now.Totals[id][o].minus(baseline.Totals[id][o])
		if allowed := slo.allowedBad(o, c.Total); allowed > 0 {
			out = append(out, RatePoint{At: now.At, Rate: float64(c.Bad) / allowed})
		}
	}
	return out
}
