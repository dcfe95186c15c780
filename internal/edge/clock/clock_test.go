package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeClock is a Clock whose readings are set by the test.
type fakeClock struct {
	*Clock
	next Reading
}

func newFakeClock() *fakeClock {
	s := &fakeClock{}
	s.Clock = &Clock{read: func() (Reading, error) { return s.next, nil }}
	return s
}

// advance advances the readings by a running and a suspended time, and calls Check.
func (s *fakeClock) advance(t *testing.T, running, suspended time.Duration) time.Duration {
	t.Helper()
	s.next.Monotonic += running
	s.next.Boot += running + suspended
	gap, err := s.Check()
	assert.NilError(t, err)
	return gap
}

// Guards against a clock that does not advance by the length of a suspension.
func TestSuspensionAdvancesClock(t *testing.T) {
	s := newFakeClock()
	s.next = Reading{Monotonic: time.Hour, Boot: 30 * time.Hour} // the host was suspended before the start
	assert.Equal(t, s.advance(t, 0, 0), time.Duration(0))
	before := s.Now()
	assert.Equal(t, s.advance(t, time.Second, 0), time.Duration(0))
	assert.Equal(t, s.advance(t, time.Second, 5*time.Second), 5*time.Second)
	assert.Assert(t, s.Now().Sub(before) >= 5*time.Second)
	assert.Equal(t, s.advance(t, time.Second, 0), time.Duration(0))
	assert.Equal(t, s.advance(t, time.Second, 2*time.Second), 2*time.Second)
	assert.Equal(t, s.Suspended(), 7*time.Second)
}

// Guards against taking slow readings or clock drift for suspensions, and against missing one that
// was followed by a slow reading.
func TestSlowReadsAndDriftAreNotSuspensions(t *testing.T) {
	s := newFakeClock()
	s.advance(t, 0, 0)
	s.next.ReadTime = 5 * time.Second
	assert.Equal(t, s.advance(t, 5*time.Second, 3*time.Second), time.Duration(0))
	s.next.ReadTime = 0
	assert.Equal(t, s.advance(t, time.Second, 0), 3*time.Second, "detected by the next check")
	for range 50 {
		assert.Equal(t, s.advance(t, time.Second, time.Millisecond), time.Duration(0))
	}
}

// Guards against system clocks that can't be read, or are compared wrongly.
func TestReadSystemClocks(t *testing.T) {
	r, err := readSystemClocks()
	assert.NilError(t, err)
	assert.Assert(t, r.Boot >= r.Monotonic-time.Second && r.ReadTime >= 0)
	c := New()
	_, err = c.Check()
	assert.NilError(t, err)
	assert.Equal(t, c.Suspended(), time.Duration(0))
}
