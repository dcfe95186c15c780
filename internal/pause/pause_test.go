package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		assert.Assert(t, For(ctx, 0) && For(ctx, -time.Second) && For(ctx, time.Second))
		assert.Equal(t, time.Since(began), time.Second)
		assert.Assert(t, !For(ctx, time.Hour))
		assert.Equal(t, time.Since(began), time.Minute)
		assert.Assert(t, !For(ctx, 0))
	})
}

func TestAroundSpreads(t *testing.T) {
	least, most := time.Hour, time.Duration(0)
	for range 1000 {
		d := Around(time.Second)
		least, most = min(least, d), max(most, d)
	}
	assert.Assert(t, least >= time.Second/2 && most < 3*time.Second/2, "%v to %v", least, most)
	assert.Assert(t, most > least)
}
