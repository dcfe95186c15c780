package proxy

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
)

// late is a stream whose next event comes after some time.
type late time.Duration

func (l late) Next() (backend.Part, *backend.Error) {
	time.Sleep(time.Duration(l))
	return backend.Part{}, nil
}

// Only an engine that is silent within its answer counts as stalled: not one
// that is slow to begin, and not one that waits for a slow caller.
func TestOnlySilenceOfTheEngineIsAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stalls atomic.Int64
		m := &modelRun{run: &run{x: attempt.NewExchange(modelRule)}}
		next := func(wait time.Duration) {
			_, failure := m.nextPart(late(wait), func() { stalls.Add(1) })
			assert.Assert(t, failure == nil)
		}
		m.x.BeginAttempt()
		next(time.Hour) // the first token
		assert.Equal(t, stalls.Load(), int64(0))
		m.x.Step(m.event(attempt.Header))
		assert.Equal(t, m.x.Step(m.event(attempt.Token)), attempt.Deliver)
		next(stallLimit - 1)
		time.Sleep(time.Hour) // the caller takes the event
		next(stallLimit - 1)
		assert.Equal(t, stalls.Load(), int64(0))
		next(stallLimit + 1)
		assert.Equal(t, stalls.Load(), int64(1))
	})
}
