package poison

import (
	"testing"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// fullTable returns a table at its maximum size with one blocked content.
func fullTable() *Table {
	t := New()
	for i := range CrashesToBlock {
		t.Crashed(culprit, crashAt(i, 500*i))
	}
	for c := range maxContents {
		t.Crashed(routing.ContentHash(10+c), crashAt(1, 2000))
	}
	return t
}

// The cost for each request after recent server crashes.
func BenchmarkBlocked(b *testing.B) {
	t := fullTable()
	body := make([]byte, 10<<10)
	now := at(2000)
	for b.Loop() {
		t.Blocked(routing.HashContent("ana", "POST", "host", "/path", body), now)
	}
}

// The cost of each crash when the table is full.
func BenchmarkCrashedWhenFull(b *testing.B) {
	t := fullTable()
	c := routing.ContentHash(1 << 32)
	for b.Loop() {
		c++
		t.Crashed(c, crashAt(1, 2000))
	}
}

// The periodic work: Tick runs five times a second, RecordsToRepeat 2.5 times.
func BenchmarkTickAndRecordsToRepeat(b *testing.B) {
	t := fullTable()
	now := at(2000).Add(time.Second)
	for b.Loop() {
		t.Tick(rng(), now)
		t.RecordsToRepeat(16, now)
	}
}
