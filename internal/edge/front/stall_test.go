package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A timer that fires late says that this host stood still, not that the server
// was silent (tpa-hq-grown: whole answers were cut by a host that had not read
// them for a second, LOST; every server was suspected).
func TestLateTimerBlamesTheHost(t *testing.T) {
	wait := time.Duration(0)
	h := New(Config{ProcessorWait: func() time.Duration { return wait }})
	x := &exchange{q: &request{h: h, begin: time.Now().Add(-time.Second)}}
	x.due.Store(int64(800 * time.Millisecond))
	assert.Assert(t, x.stalled())
	x.due.Store(int64(time.Hour))
	assert.Assert(t, !x.stalled())
	wait = time.Second
	assert.Assert(t, x.stalled())
}
