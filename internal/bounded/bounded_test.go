package bounded_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/bounded"
)

func TestReservationsShareABudget(t *testing.T) {
	memory := bounded.NewBudget(100)
	first, second := bounded.Reservation{Budget: memory}, bounded.Reservation{Budget: memory}
	assert.Assert(t, first.Resize(60))
	assert.Assert(t, !second.Resize(41))
	assert.Assert(t, second.Resize(40))
	assert.Assert(t, first.Resize(30))
	assert.Assert(t, second.Resize(70))
	assert.Equal(t, memory.Used(), int64(100))
	first.Release()
	second.Release()
	assert.Equal(t, memory.Used(), int64(0))
	unlimited := bounded.Reservation{}
	assert.Assert(t, unlimited.Resize(1<<40))
}
