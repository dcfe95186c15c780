// Package pause waits.
package pause

import (
	"context"
	"time"
)

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
