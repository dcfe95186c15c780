package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestForWaitsOrIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		assert.Assert(t, For(ctx, 0) && For(ctx, -time.Second) && For(ctx, time.Second))
		assert.Equal(t, time.Since(start), time.Second)
		assert.Assert(t, !For(ctx, time.Hour))
		assert.Equal(t, time.Since(start), time.Minute)
		assert.Assert(t, !For(ctx, 0))
	})
}

func TestJitterStaysWithinRange(t *testing.T) {
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		d := Jitter(time.Second)
		shortest, longest = min(shortest, d), max(longest, d)
	}
	assert.Assert(t, shortest >= time.Second/2 && longest < 3*time.Second/2, "%v to %v", shortest, longest)
	assert.Assert(t, longest > shortest)
}
