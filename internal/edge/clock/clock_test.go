package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stepped is a clock whose readings a test sets.
type stepped struct {
	*Clock
	next Reading
}

func newStepped() *stepped {
	s := &stepped{}
	s.Clock = &Clock{read: func() (Reading, error) { return s.next, nil }}
	return s
}

// pass lets time pass, in some of which the host is suspended, and checks.
func (s *stepped) pass(t *testing.T, runs, suspended time.Duration) time.Duration {
	t.Helper()
	s.next.Steady += runs
	s.next.Boot += runs + suspended
	gap, err := s.Check()
	assert.NilError(t, err)
	return gap
}

// A suspension of some seconds makes all that was believed before older by as much.
func TestASuspensionCounts(t *testing.T) {
	s := newStepped()
	s.next = Reading{Steady: time.Hour, Boot: 30 * time.Hour} // the host was suspended before the start
	assert.Equal(t, s.pass(t, 0, 0), time.Duration(0))
	before := s.Now()
	assert.Equal(t, s.pass(t, time.Second, 0), time.Duration(0))
	assert.Equal(t, s.pass(t, time.Second, 5*time.Second), 5*time.Second)
	assert.Assert(t, s.Now().Sub(before) >= 5*time.Second)
	assert.Equal(t, s.pass(t, time.Second, 0), time.Duration(0))
	assert.Equal(t, s.pass(t, time.Second, 2*time.Second), 2*time.Second)
	assert.Equal(t, s.Suspended(), 7*time.Second)
}

// A process that stands still between two looks at the clocks compares them once more,
// and a drift of the clocks is none.
func TestOnlyASuspensionCounts(t *testing.T) {
	s := newStepped()
	s.pass(t, 0, 0)
	s.next.Took = 5 * time.Second
	assert.Equal(t, s.pass(t, 5*time.Second, 3*time.Second), time.Duration(0))
	s.next.Took = 0
	assert.Equal(t, s.pass(t, time.Second, 0), 3*time.Second, "found at the next look")
	for range 50 {
		assert.Equal(t, s.pass(t, time.Second, time.Millisecond), time.Duration(0))
	}
}

// The system tells both clocks, and this host runs.
func TestTheSystemsClocks(t *testing.T) {
	r, err := system()
	assert.NilError(t, err)
	assert.Assert(t, r.Boot >= r.Steady-time.Second && r.Took >= 0)
	c := New()
	_, err = c.Check()
	assert.NilError(t, err)
	assert.Equal(t, c.Suspended(), time.Duration(0))
}
