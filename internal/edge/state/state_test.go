package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/fair"
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

// A flood is refused before its body is read once others lack of their shares,
// at this router or any, and not before; plain services are not shared so.
func TestFloodIsRefusedEarly(t *testing.T) {
	now := time.Unix(100, 0)
	s := New("dc", 0.2, 80, func() time.Time { return now })
	s.TakeConfig(&routing.Config{Version: 1, Services: []routing.Service{
		{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 1 << 20}},
		{Name: "app"},
	}}, nil)
	flood := Need{Service: "llm", Customer: "flood", Route: &routing.Route{Target: 600 * time.Millisecond}, Ask: &routing.RequestMeta{TokensIn: 1000}}
	others := func(served float64) {
		s.PeerReport("p", Report{Rates: map[string]fair.Rates{
			"flood": {Demand: 90000, Served: 60000}, "owed": {Demand: 40000, Served: served},
		}})
	}
	others(38000)
	_, refused := s.Early(flood)
	assert.Assert(t, !refused, "nobody lacks anything")
	now = now.Add(100 * time.Millisecond)
	others(5000)
	placed, refused := s.Early(flood)
	assert.Assert(t, refused)
	assert.Equal(t, placed.Why, WhyOver)
	assert.Assert(t, placed.Back > 0)
	owed := flood
	owed.Customer = "owed"
	_, refused = s.Early(owed)
	assert.Assert(t, !refused)
	plain := flood
	plain.Service = "app"
	_, refused = s.Early(plain)
	assert.Assert(t, !refused)
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

// A report of the age of a view never makes it older.
func TestOldConfirmationDoesNotAgeTheView(t *testing.T) {
	s := New("dc", 0.2, 80, time.Now)
	s.Confirm(0)
	s.Confirm(time.Hour)
	_, age := s.Table()
	assert.Assert(t, !Stale(age))
}
