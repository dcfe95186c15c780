package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/pressure"
)

// The customer that fills a full host gives way, others don't (a customer
// behind the same host as a flood got nothing).
func TestTheCrowdGivesWayFirst(t *testing.T) {
	wait := time.Duration(0)
	h := New(Config{MaxRunning: 20, ProcessorWait: func() time.Duration { return wait }})
	ask := func(customer string) bool {
		q := &request{h: h, customer: customer}
		h.running.Add(1)
		if q.behind() != nil {
			h.running.Add(-1)
			return false
		}
		h.progress.begin(customer)
		return true
	}
	for range 20 {
		assert.Assert(t, ask("flood"))
	}
	assert.Assert(t, !ask("flood"))
	for range 5 {
		assert.Assert(t, ask("small"))
	}
	assert.Assert(t, !ask("small"), "the bound holds for all")
	h.running.Store(10)
	wait = pressure.Overloaded
	assert.Assert(t, !ask("flood"))
	assert.Assert(t, ask("small"))
	wait = pressure.Saturated
	assert.Assert(t, !ask("small"), "nobody is served in time")
	h.progress.end("flood")
	h.progress.end("small")
	assert.Equal(t, h.progress.all, 24)
}
