package follow

import (
	"context"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/edge/state"
)

// confirmTimeout bounds a query to the store, which normally answers in 4 ms. A request waits for it.
const confirmTimeout = 250 * time.Millisecond

// Confirmer checks with the store whether this router's list of servers is the newest. It is safe for
// concurrent use.
type Confirmer struct {
	State *state.State
	Store Store

	mu      sync.Mutex
	running bool
	waiters []chan bool // receive the result of the next query
}

// Current reports whether the list of servers holds all changes that the store had accepted when it was called.
// It is false if that can't be found out. Concurrent calls share queries.
func (c *Confirmer) Current(ctx context.Context) bool {
	result := make(chan bool, 1)
	c.mu.Lock()
	c.waiters = append(c.waiters, result)
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case current := <-result:
		return current
	case <-ctx.Done():
		return false
	}
}

// run queries the store until there are no waiters. A query answers only those that came before it began.
func (c *Confirmer) run() {
	for {
		waiters := c.takeWaiters()
		if len(waiters) == 0 {
			return
		}
		current := c.query()
		for _, result := range waiters {
			result <- current
		}
	}
}

// takeWaiters removes and returns the waiters. If there are none, run ends.
func (c *Confirmer) takeWaiters() []chan bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiters := c.waiters
	c.waiters = nil
	c.running = len(waiters) > 0
	return waiters
}

// query reports whether the store has no changes of the list that this router lacks.
func (c *Confirmer) query() bool {
	stamp, followed := c.State.ResumeStamp()
	if !followed {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	change, err := c.Store.FollowServers(ctx, stamp, 0)
	return err == nil && len(change.Servers)+len(change.Removed)+len(change.Malformed) == 0
}
