package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/platform"
)

// Guards against counting a delayed answer without changes as a recent confirmation: a router that was
// held up by a network partition or an overloaded processor would then refuse routes that it has not
// received yet.
func TestDelayOfAnAnswerCountsAsItsAge(t *testing.T) {
	var unchanged platform.Change
	assert.Equal(t, confirmationAge(unchanged, Direct, true, directWait), time.Duration(0))
	assert.Equal(t, confirmationAge(unchanged, Direct, true, directWait+time.Second), time.Second)
	assert.Equal(t, confirmationAge(unchanged, Reader, true, readerWait+time.Second), time.Second)
	assert.Equal(t, confirmationAge(unchanged, Direct, false, time.Second), time.Second)
	assert.Equal(t, confirmationAge(platform.Change{Config: &routing.Config{}}, Direct, true, time.Minute), time.Duration(0))
}
