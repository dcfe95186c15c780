package attempt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// For any sequence of successes and retries, the number of retries is at most the initial balance
// plus the percentage of the successes, and no burst exceeds the cap.
func TestAllowanceBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAllowance()
		pct := rapid.Float64Range(0, 50).Draw(t, "percent")
		var retries, successes, burst float64
		for _, success := range rapid.SliceOf(rapid.Bool()).Draw(t, "results") {
			if success {
				a.Succeeded(pct)
				successes++
				burst = 0
				continue
			}
			if a.Take() {
				retries++
				burst++
			}
			if burst > allowanceCap {
				t.Fatalf("%v retries in a row", burst)
			}
		}
		if bound := allowanceStart + successes*pct/percent + 1e-9; retries > bound {
			t.Fatalf("%v retries, bound %v", retries, bound)
		}
	})
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	assert.Equal(t, Backoff(1, 0), time.Duration(0))
	assert.Equal(t, Backoff(1, 0.5), 5*time.Millisecond)
	assert.Equal(t, Backoff(3, 0.5), 20*time.Millisecond)
	assert.Equal(t, Backoff(6, 0.5), 160*time.Millisecond)
	assert.Equal(t, Backoff(7, 0.5), backoffCap/2)
	for n := 1; n < 100; n++ {
		assert.Assert(t, Backoff(n, 0.999) < backoffCap)
	}
}

// After any number of successes the allowance holds at most ten retries.
func TestAllowanceIsCapped(t *testing.T) {
	a := NewAllowance()
	for range 10_000 {
		a.Succeeded(10)
	}
	taken := 0
	for taken < 100 && a.Take() {
		taken++
	}
	assert.Equal(t, taken, 10)
}
