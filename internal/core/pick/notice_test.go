package pick

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

func TestLaterBackoffExtendsButDoesNotShorten(t *testing.T) {
	p := picker(3)
	id := routing.Identity{ID: "i-000"}
	assert.Assert(t, p.NoteBackoff(id, 3*time.Second, at(0)))
	assert.Assert(t, !p.NoteBackoff(id, time.Second, at(100)))
	assert.Equal(t, p.InBackoff(at(2999)), 1)
	assert.Equal(t, p.InBackoff(at(3000)), 0)
	assert.Assert(t, p.NoteBackoff(id, time.Second, at(3000)))
}

func TestBackoffIsCapped(t *testing.T) {
	p := picker(3)
	p.NoteBackoff(routing.Identity{ID: "i-000"}, 1000*time.Hour, at(0))
	assert.Equal(t, p.InBackoff(start.Add(maxBackoff-1)), 1)
	assert.Equal(t, p.InBackoff(start.Add(maxBackoff)), 0)
}

// Guards against notices that are lost while an entry has lapsed, or kept forever.
func TestNoticesOutliveAnEntry(t *testing.T) {
	p := picker(3)
	id := routing.Identity{ID: "i-000"}
	list := listOf(p)
	assert.Assert(t, p.NoteLeaving(id, at(0)))
	assert.Assert(t, !p.NoteLeaving(id, at(10)))
	assert.Equal(t, p.Leaving(), 1)
	p.SetServers(nil, at(20))
	assert.Equal(t, p.Leaving(), 0)
	p.Tick(at(5000))
	p.SetServers(list, at(5000))
	assert.Equal(t, p.Leaving(), 1)
	p.SetServers(nil, at(6000))
	p.Tick(start.Add(leavingRetention + time.Minute))
	assert.Equal(t, len(p.notices), 0)
}
