package sharing

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/dispatch"
)

// A caller that went before its slot came gives it back, whichever of the two
// Acquire sees first. Here the slot is there at once, so that both are met.
func TestSlotOfACallerThatWentIsGivenBack(t *testing.T) {
	const slots = 40
	rig(t, slots, func(t *testing.T, s *Sharer) {
		first, err := s.Acquire(t.Context(), want("first"))
		assert.NilError(t, err)
		first.End(dispatch.Result{Outcome: attempt.NotSent})
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		met := 0
		for i := range slots {
			slot, err := s.Acquire(gone, want(fmt.Sprint(i)))
			if err == nil {
				slot.End(dispatch.Result{Outcome: attempt.NotSent})
				continue
			}
			assert.Equal(t, reason(t, err), dispatch.CallerGone)
			met++
		}
		assert.Assert(t, met > 0)
		assert.Equal(t, s.ServerViews()[0].Running, 0)
	})
}

// The size of a waiting request counts against the router's bytes.
func TestWaitingBytesReachTheCore(t *testing.T) {
	rig(t, 1, func(t *testing.T, s *Sharer) {
		_, err := s.Acquire(t.Context(), want("1"))
		assert.NilError(t, err)
		s.SetQueueLimits(100, 100)
		large := want("2")
		large.Bytes = 101
		_, err = s.Acquire(t.Context(), large)
		assert.Equal(t, reason(t, err), dispatch.RouterFull)
	})
}
