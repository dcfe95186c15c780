package pressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A probe whose measurement has not come to run shows for how long, and the
// next one shows that the wait is over.
func TestWaitIsSeenWhileItLasts(t *testing.T) {
	now := time.Unix(100, 0)
	p := New(func() time.Time { return now })
	var queued []func()
	p.launch = func(f func()) { queued = append(queued, f) }
	assert.Equal(t, p.Wait(), time.Duration(0))
	p.measure()
	assert.Equal(t, p.Wait(), time.Duration(0))
	now = now.Add(Overloaded)
	assert.Equal(t, p.Wait(), Overloaded)
	p.measure()
	assert.Equal(t, len(queued), 1, "one measurement at a time")
	queued[0]()
	assert.Equal(t, p.Wait(), Overloaded)
	p.measure()
	now = now.Add(time.Millisecond)
	queued[1]()
	assert.Equal(t, p.Wait(), time.Millisecond)
}

// The real queue runs what it is given.
func TestQueueRuns(t *testing.T) {
	done := make(chan struct{})
	queue(func() { close(done) })
	<-done
}
