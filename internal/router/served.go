package router

import (
	"maps"
	"sync"

	"github.com/windscale/windscale/internal/core/msg"
)

// served sums the service that customers received through this router, by
// pool. Pools come in by what servers ran, so that callers can't add any.
type served struct {
	mu sync.Mutex
	by map[msg.PoolID]map[msg.CustomerID]msg.Cost
}

func newServed() *served { return &served{by: map[msg.PoolID]map[msg.CustomerID]msg.Cost{}} }

// add counts what one request has cost.
func (s *served) add(pool msg.PoolID, c msg.CustomerID, cost msg.Cost) {
	if cost <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.by[pool] == nil {
		s.by[pool] = map[msg.CustomerID]msg.Cost{}
	}
	s.by[pool][c] += cost
}

// all returns a copy.
func (s *served) all() map[msg.PoolID]map[msg.CustomerID]msg.Cost {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[msg.PoolID]map[msg.CustomerID]msg.Cost, len(s.by))
	for pool, customers := range s.by {
		out[pool] = maps.Clone(customers)
	}
	return out
}
