package follow

import (
	"context"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/edge/state"
)

// confirmTimeout bounds a question to the store, which normally answers in 4 ms. Its asker gets nothing else
// meanwhile.
const confirmTimeout = 250 * time.Millisecond

// Confirmer asks the store whether this router's list of servers is the newest. It is safe for concurrent use.
type Confirmer struct {
	State *state.State
	Store Store

	mu      sync.Mutex
	asking  bool
	waiting []chan bool // get the result of the next question
}

// Current reports whether the list of servers holds all changes that the store had accepted when it was called.
// It is false if that can't be found out. Calls that wait for the store share one question.
func (c *Confirmer) Current(ctx context.Context) bool {
	result := make(chan bool, 1)
	c.mu.Lock()
	c.waiting = append(c.waiting, result)
	if !c.asking {
		c.asking = true
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

// run asks until nobody waits. Only a question that begins after a call can answer it.
func (c *Confirmer) run() {
	for {
		c.mu.Lock()
		waiting := c.waiting
		c.waiting = nil
		if len(waiting) == 0 {
			c.asking = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		current := c.ask()
		for _, result := range waiting {
			result <- current
		}
	}
}

// ask asks the store for changes of the list.
func (c *Confirmer) ask() bool {
	stamp, followed := c.State.ResumeStamp()
	if !followed {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	change, err := c.Store.FollowServers(ctx, stamp, 0)
	return err == nil && len(change.Servers)+len(change.Removed)+len(change.Malformed) == 0
}
