package share

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLimitDecreasesOnRefusalsAndIncreasesOnSuccess(t *testing.T) {
	var l concurrencyLimit
	l.applyReport(0, 10, 0)
	l.applyResult(2*time.Second, time.Second, Result{Busy: true})
	assert.Equal(t, l.value, 8.0)
	for range 100 {
		l.applyResult(3*time.Second, 3*time.Second, Result{First: 5 * time.Millisecond})
	}
	assert.Equal(t, l.value, 10.0) // does not exceed the reported slots
}

// Several requests slowed by the same overload must cause a single decrease.
func TestRequestsGrantedBeforeADecreaseDoNotCauseAnother(t *testing.T) {
	var l concurrencyLimit
	l.applyReport(0, 10, 0)
	l.applyResult(time.Second, 0, Result{First: 10 * time.Millisecond})
	for i := range 5 {
		l.applyResult(time.Duration(2+i)*time.Second, time.Second, Result{First: 50 * time.Millisecond})
	}
	assert.Equal(t, l.value, 8.0)
}

func TestLimitDecreasesOnReportedQueueButNotBelowOne(t *testing.T) {
	var l concurrencyLimit
	l.applyReport(0, 4, 0)
	for i := range 50 {
		l.applyReport(time.Duration(i)*time.Second, 4, 3)
	}
	assert.Equal(t, l.value, 1.0)
}

func TestPackRoundTrip(t *testing.T) {
	list := []counterValue{{7, -3, 0}, {1 << 39, 1 << 40, 800}, {0, 0, 1}}
	got := unpack(pack(append([]counterValue(nil), list...)))
	assert.Assert(t, slices.Equal(got, []counterValue{{0, 0, 1}, {7, -3, 0}, {1 << 39, 1 << 40, 800}}))
	assert.Equal(t, len(unpack([]byte{0x80})), 0)
}
