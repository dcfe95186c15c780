package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

// A configuration is never replaced by an older one, whatever its source.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := New("dc", 0.2, 80, time.Now)
	assert.Assert(t, s.ApplyConfig(&routing.Config{Version: 9}, nil))
	assert.Assert(t, !s.ApplyConfig(&routing.Config{Version: 4}, nil))
	assert.Assert(t, !s.ApplyConfig(&routing.Config{Version: 9}, nil))
	assert.Equal(t, s.Version(), int64(9))
	assert.Assert(t, s.ApplyConfig(&routing.Config{Version: 11}, nil))
}

// Requests of a flooding customer are refused before their body is read as soon as other customers
// are below their shares, at this router or any other, and not before. Plain services are not
// divided into shares.
func TestFloodIsRefusedEarly(t *testing.T) {
	now := time.Unix(100, 0)
	s := New("dc", 0.2, 80, func() time.Time { return now })
	s.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{
		{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 1 << 20}},
		{Name: "app"},
	}}, nil)
	flood := Request{Service: "llm", Customer: "flood", Route: &routing.Route{Target: 600 * time.Millisecond}, Meta: &routing.RequestMeta{TokensIn: 1000}}
	others := func(served float64) {
		s.ApplyPeerReport("p", Report{Rates: map[string]fair.Rates{
			"flood": {Demand: 90000, Served: 60000}, "owed": {Demand: 40000, Served: served},
		}})
	}
	others(38000)
	_, refused := s.RefuseEarly(flood)
	assert.Assert(t, !refused, "no customer is below its share")
	now = now.Add(100 * time.Millisecond)
	others(5000)
	placed, refused := s.RefuseEarly(flood)
	assert.Assert(t, refused)
	assert.Equal(t, placed.Reason, ReasonOverShare)
	assert.Assert(t, placed.RetryAfter > 0)
	owed := flood
	owed.Customer = "owed"
	_, refused = s.RefuseEarly(owed)
	assert.Assert(t, !refused)
	plain := flood
	plain.Service = "app"
	_, refused = s.RefuseEarly(plain)
	assert.Assert(t, !refused)
}

// A list of servers that is older than the one in force is ignored.
func TestOlderServerListIsIgnored(t *testing.T) {
	s := New("dc", 0.2, 80, time.Now)
	list := []routing.Server{{ID: "a"}}
	assert.Assert(t, s.ReplaceServers(list, roster.Stamp{Version: 5, Edits: 1}, false))
	assert.Assert(t, !s.ReplaceServers(nil, roster.Stamp{Version: 5}, true))
	got, _ := s.Servers()
	assert.Equal(t, len(got), 1)
}

// A late confirmation never increases the age of the configuration.
func TestOldConfirmationDoesNotIncreaseTheAge(t *testing.T) {
	s := New("dc", 0.2, 80, time.Now)
	s.ConfirmConfig(0)
	s.ConfirmConfig(time.Hour)
	_, age := s.Table()
	assert.Assert(t, !Stale(age))
}
