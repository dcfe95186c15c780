package claims

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/platform"
)

// While nothing is served, claims beyond the queue are refused at once, and
// results beyond their bound are given up at once.
func TestWhatWaitsForTheTableIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(&table{rows: map[string]platform.Row{}}, claim.Writer{}, time.Now, slog.New(slog.DiscardHandler))
		for range maxQueue {
			assert.Assert(t, c.submit(&op{}))
		}
		_, _, err := c.Take(t.Context(), key, want("a"))
		assert.ErrorType(t, err, &Unavailable{})
		for range maxFinishing {
			c.Finish(key, "b", claim.Result{State: claim.Indeterminate})
		}
		select {
		case <-c.Finish(key, "b", claim.Result{State: claim.Indeterminate}):
		default:
			t.Fatal("one more waits")
		}
		for len(c.ops) > 0 {
			<-c.ops
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = c.Run(ctx) }()
		time.Sleep(finishTime) // what waits is written
		cancel()
	})
}
