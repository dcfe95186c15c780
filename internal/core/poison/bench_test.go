package poison

import (
	"testing"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// full is a table without room, one of whose contents is blocked.
func full() *Table {
	t := New()
	for i := range CrashesToBlock {
		t.Crashed(guilty, end(i, 500*i))
	}
	for c := range most {
		t.Crashed(routing.ContentHash(10+c), end(1, 2000))
	}
	return t
}

// What each request pays while servers have crashed lately.
func BenchmarkBlocked(b *testing.B) {
	t := full()
	body := make([]byte, 10<<10)
	now := at(2000)
	for b.Loop() {
		t.Blocked(routing.HashContent("ana", "POST", "host", "/path", body), now)
	}
}

// What each end costs when the table has no room.
func BenchmarkEnded(b *testing.B) {
	t := full()
	c := routing.ContentHash(1 << 32)
	for b.Loop() {
		c++
		t.Crashed(c, end(1, 2000))
	}
}

// What is worked out five times a second, and 2.5 times a second.
func BenchmarkTickAndRepeat(b *testing.B) {
	t := full()
	now := at(2000).Add(time.Second)
	for b.Loop() {
		t.Tick(rng(), now)
		t.Repeat(16, now)
	}
}
