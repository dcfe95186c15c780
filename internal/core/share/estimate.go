package share

import "github.com/windscale/windscale/internal/core/msg"

// meanWeight is the weight of a new value in a runningMean.
const meanWeight = 1.0 / 8

// runningMean is an exponentially weighted moving average. The zero value is
// empty.
type runningMean struct {
	value float64
	known bool
}

func (m *runningMean) add(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += (v - m.value) * meanWeight
}

// estimateCost returns the expected cost of a customer's request: the
// customer's mean in the pool, or else the pool's mean, or else 1.
func estimateCost(customer, pool runningMean) msg.Cost {
	switch {
	case customer.known:
		return max(1, msg.Cost(customer.value))
	case pool.known:
		return max(1, msg.Cost(pool.value))
	}
	return 1
}
