package platform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/platform"
)

// TestHostListLag checks that each change shows its lag after it was made,
// also when changes come closer together than that.
func TestHostListLag(t *testing.T) {
	l := newHostList(time.Second)
	start := time.Unix(1000, 0)
	l.set([]platform.Host{{ID: "a"}}, start)
	l.set([]platform.Host{{ID: "b"}}, start.Add(400*time.Millisecond))
	shown := func(after time.Duration) string {
		hosts := l.shown(start.Add(after)).hosts
		if len(hosts) == 0 {
			return ""
		}
		return hosts[0].ID
	}
	assert.Equal(t, shown(999*time.Millisecond), "")
	assert.Equal(t, shown(time.Second), "a")
	assert.Equal(t, shown(1399*time.Millisecond), "a")
	assert.Equal(t, shown(1400*time.Millisecond), "b")
	assert.Equal(t, l.newest().hosts[0].ID, "b")
}

func TestFaultCount(t *testing.T) {
	f := newFaults()
	f.set(Fault{Service: Table, Mode: Down, Count: 2})
	assert.Equal(t, f.take(Objects, true).Mode, OK)
	assert.Equal(t, f.take(Table, true).Mode, Down)
	assert.Equal(t, f.take(Table, false).Mode, Down)
	assert.Equal(t, f.take(Table, false).Mode, OK)
	assert.Equal(t, f.counts()[Table], Stats{Reads: 2, Writes: 1, Faulted: 2})
}
