// Package pause waits.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Around returns a random time from half of d to one and a half, d on average,
// so that processes that begin together do not go on together. d is above 0.
func Around(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// For waits for d or until ctx ends, and reports whether d passed. A d of 0 or
// less has passed unless ctx has ended. Any goroutine may call it.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
