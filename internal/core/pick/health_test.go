package pick

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A server that was cleared while its last suspicion still lasted, and fails
// again, ended the process: the doubling was by a negative number.
func TestFailureAfterClearingWithinASuspicion(t *testing.T) {
	now := time.Unix(100, 0)
	var h health
	assert.Assert(t, h.failed(now))
	for range clearedBy {
		h.worked()
	}
	assert.Equal(t, h.strikes, 0)
	assert.Assert(t, !h.failed(now.Add(time.Millisecond)), "it is suspected already")
	assert.Equal(t, h.rank(now.Add(2*time.Millisecond)), rankBad)
}
