package budget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// For any order of requests and retries, and with each router restarted once within a window, the
// fleet stays within ratio x requests + slack.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 52.0
		n := rapid.IntRange(1, 8).Draw(t, "routers")
		buckets := make([]*Bucket, n)
		for i := range buckets {
			buckets[i] = New(ratio, slack, 8)
		}
		restarts := 0
		requests, retries := 0.0, 0.0
		for range rapid.IntRange(0, 600).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "router")
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				if restarts < n { // each router restarts at most once per window
					restarts++
					buckets[i] = New(ratio, slack, 8)
				}
			case 1, 2, 3, 4, 5, 6, 7, 8:
				requests++
				buckets[i].RecordRequest()
			default:
				if buckets[i].Take() {
					retries++
				}
			}
		}
		if retries > ratio*requests+slack {
			t.Fatalf("%g retries for %g requests", retries, requests)
		}
	})
}

func TestRequestsRefillBucket(t *testing.T) {
	b := New(0.2, 52, 8)
	for b.Take() {
	}
	for range 8 {
		b.RecordRequest()
	}
	assert.Assert(t, b.Take())
	assert.Assert(t, !b.Take())
}
