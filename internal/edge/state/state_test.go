package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

// A configuration never goes back, whoever tells an older one.
func TestOnlyANewerConfigurationIsTaken(t *testing.T) {
	s := New("dc", 0.2, 80, time.Now)
	assert.Assert(t, s.TakeConfig(&routing.Config{Version: 9}, nil))
	assert.Assert(t, !s.TakeConfig(&routing.Config{Version: 4}, nil))
	assert.Assert(t, !s.TakeConfig(&routing.Config{Version: 9}, nil))
	assert.Equal(t, s.Version(), int64(9))
	assert.Assert(t, s.TakeConfig(&routing.Config{Version: 11}, nil))
}

// An older list of servers than that in force is left out.
func TestOnlyANewerListIsTaken(t *testing.T) {
	s := New("dc", 0.2, 80, time.Now)
	list := []routing.Server{{ID: "a"}}
	assert.Assert(t, s.ServersReplaced(list, roster.Stamp{Version: 5, Edits: 1}, false))
	assert.Assert(t, !s.ServersReplaced(nil, roster.Stamp{Version: 5}, true))
	got, _ := s.Servers()
	assert.Equal(t, len(got), 1)
}

// A word about the age of a view never makes it older.
func TestOldConfirmationDoesNotAgeTheView(t *testing.T) {
	s := New("dc", 0.2, 80, time.Now)
	s.Confirm(0)
	s.Confirm(time.Hour)
	_, age := s.Table()
	assert.Assert(t, !Stale(age))
}
