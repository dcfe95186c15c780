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
	l.ended(time.Second, Result{Busy: true})
	l.ended(time.Second, Result{Busy: true}) // of the same moment: one decrease
	assert.Equal(t, int(l.value), 7)
	for range 100 {
		l.ended(time.Second, Result{First: 5 * time.Millisecond})
	}
	assert.Equal(t, l.value, 10.0) // not past the reported slots
}

func TestLimitFallsOnSlowFirstTokens(t *testing.T) {
	var l limit
	l.report(0, 10, 0)
	l.ended(0, Result{First: 10 * time.Millisecond})
	l.ended(time.Second, Result{First: 50 * time.Millisecond})
	assert.Equal(t, int(l.value), 7)
}

func TestLimitFallsOnReportedQueueButNotBelowOne(t *testing.T) {
	var l limit
	l.report(0, 4, 0)
	for i := range 20 {
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
