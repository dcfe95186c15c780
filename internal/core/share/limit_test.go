package share

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLimitFallsOnRefusalsAndRisesAgain(t *testing.T) {
	var l limit
	l.report(0, 10, 0)
	l.ended(2*time.Second, time.Second, Result{Busy: true})
	assert.Equal(t, l.value, 8.0)
	for range 100 {
		l.ended(3*time.Second, 3*time.Second, Result{First: 5 * time.Millisecond})
	}
	assert.Equal(t, l.value, 10.0) // not past the reported slots
}

// Several requests that suffered from the same overload are one sign of it.
func TestRequestsGrantedBeforeADecreaseDoNotCauseAnother(t *testing.T) {
	var l limit
	l.report(0, 10, 0)
	l.ended(time.Second, 0, Result{First: 10 * time.Millisecond})
	for i := range 5 {
		l.ended(time.Duration(2+i)*time.Second, time.Second, Result{First: 50 * time.Millisecond})
	}
	assert.Equal(t, l.value, 8.0)
}

func TestLimitFallsOnReportedQueueButNotBelowOne(t *testing.T) {
	var l limit
	l.report(0, 4, 0)
	for i := range 50 {
		l.report(time.Duration(i)*time.Second, 4, 3)
	}
	assert.Equal(t, l.value, 1.0)
}

func TestPackKeepsCounts(t *testing.T) {
	list := []count{{7, -3, 0}, {1 << 39, 1 << 40, 800}, {0, 0, 1}}
	got := unpack(pack(append([]count(nil), list...)))
	assert.Assert(t, slices.Equal(got, []count{{0, 0, 1}, {7, -3, 0}, {1 << 39, 1 << 40, 800}}))
	assert.Equal(t, len(unpack([]byte{0x80})), 0)
}
