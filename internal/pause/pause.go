// Package pause provides sleeping that ends with a context, and jittered durations.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration between half of d and one and a half times d, d on average,
// so that processes that start together don't act in step. d must be positive.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// For waits for d or until ctx ends, and reports whether d passed. A d of 0 or less passes at
// once unless ctx has ended. It is safe for concurrent use.
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
