package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/platform"
)

// An answer without a change that comes late is as old as it is late: taken as
// fresh, a router that a cut or an overloaded processor held up would refuse routes
// that it has not heard of.
func TestLateAnswerIsOld(t *testing.T) {
	var none platform.Change
	assert.Equal(t, age(none, Everyone, true, waitMesh), time.Duration(0))
	assert.Equal(t, age(none, Everyone, true, waitMesh+time.Second), time.Second)
	assert.Equal(t, age(none, Reader, true, waitReader+time.Second), time.Second)
	assert.Equal(t, age(none, Everyone, false, time.Second), time.Second)
	assert.Equal(t, age(platform.Change{Config: &routing.Config{}}, Everyone, true, time.Minute), time.Duration(0))
}
