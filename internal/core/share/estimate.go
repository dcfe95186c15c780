package share

import "github.com/windscale/windscale/internal/core/msg"

// meanStep is the weight of a new value in a running mean.
const meanStep = 1.0 / 8

// mean is a running mean; its zero value knows nothing.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += (v - m.value) * meanStep
}

// estimate is what a request of the customer is expected to cost: the mean of
// the customer's requests in the pool, else of the pool's, else 1.
func estimate(customer, pool mean) msg.Cost {
	switch {
	case customer.known:
		return max(1, msg.Cost(customer.value))
	case pool.known:
		return max(1, msg.Cost(pool.value))
	}
	return 1
}
