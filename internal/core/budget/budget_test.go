package budget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Whatever the order of requests and retries, and however often routers are
// restarted within a window, the fleet stays within ratio x requests + slack.
func TestFleetStaysWithinItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 52.0
		n := rapid.IntRange(1, 8).Draw(t, "routers")
		buckets := make([]*Bucket, n)
		for i := range buckets {
			buckets[i] = New(ratio, slack, 8)
		}
		restarts := 0
		requests, again := 0.0, 0.0
		for range rapid.IntRange(0, 600).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "router")
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				if restarts < n { // each router once in a window
					restarts++
					buckets[i] = New(ratio, slack, 8)
				}
			case 1, 2, 3, 4, 5, 6, 7, 8:
				requests++
				buckets[i].Request()
			default:
				if buckets[i].Take() {
					again++
				}
			}
		}
		if again > ratio*requests+slack {
			t.Fatalf("%g sent again, %g requests", again, requests)
		}
	})
}

func TestBucketFillsBySuccessiveRequests(t *testing.T) {
	b := New(0.2, 52, 8)
	for b.Take() {
	}
	for range 8 {
		b.Request()
	}
	assert.Assert(t, b.Take())
	assert.Assert(t, !b.Take())
}
