package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

// leavingState returns a state that lists one server, which runs a request and has announced that
// it is leaving.
func leavingState(now *time.Time) (*State, routing.Identity) {
	s := New("dc", 0.2, 80, func() time.Time { return *now })
	s.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "app"}}}, nil)
	server := routing.Server{ID: "i", Service: "app", State: routing.ServerReady, Slots: 4}
	s.ReplaceServers([]routing.Server{server}, roster.Stamp{Version: 1}, false)
	s.Place(Request{Service: "app", Route: &routing.Route{Target: time.Second}, Meta: &routing.RequestMeta{}})
	s.ServerLeaving(server.Identity())
	return s, server.Identity()
}

// Guards against a server that stays unused although the store keeps listing it as ready, and
// against one that is used again during or shortly after an outage of the store.
func TestStaleLeavingIsClearedOnlyWhileTheStoreIsFollowed(t *testing.T) {
	const outage = time.Minute
	now := time.Unix(1000, 0)
	s, id := leavingState(&now)
	s.StoreDown()
	now = now.Add(outage)
	s.Tick()
	assert.Assert(t, !s.ServerAccepts(id), "the store is down")
	s.StoreUp()
	now = now.Add(20 * time.Second)
	s.Tick()
	assert.Assert(t, !s.ServerAccepts(id), "the store has not been followed for long enough")
	now = now.Add(20 * time.Second)
	s.Tick()
	assert.Assert(t, s.ServerAccepts(id))
	assert.Equal(t, len(s.TakeReturned()), 1)
	assert.Equal(t, s.LeavingCount(), 0)
}

// Guards against a router that does not follow the store and never uses the server again, or that
// relies on the report of a router with a different list.
func TestStaleLeavingIsClearedByTheReportOfARouterWithTheSameList(t *testing.T) {
	const followed = time.Minute
	now := time.Unix(1000, 0)
	s, id := leavingState(&now)
	s.StopFollowing()
	now = now.Add(followed)
	s.ResolveDoubt(followed, roster.Stamp{Version: 2})
	assert.Assert(t, !s.ServerAccepts(id), "the other router has a newer list")
	s.ResolveDoubt(time.Second, roster.Stamp{Version: 1})
	assert.Assert(t, !s.ServerAccepts(id), "the other router has not followed the store for long enough")
	s.ResolveDoubt(followed, roster.Stamp{Version: 1})
	assert.Assert(t, s.ServerAccepts(id))
}

// Guards against clearing the mark when the store is restored from a copy in which the draining
// server is still ready.
func TestRestoredStoreDoesNotClearLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	s, id := leavingState(&now)
	entry := routing.Server{ID: "i", Service: "app", State: routing.ServerDraining, Slots: 4}
	s.ObserveEra(1)
	s.ApplyServerChanges([]routing.Server{entry}, nil, roster.Stamp{Era: 1, Version: 2})
	s.ObserveEra(2)
	entry.State = routing.ServerReady
	s.ReplaceServers([]routing.Server{entry}, roster.Stamp{Era: 2, Version: 1}, false)
	assert.Assert(t, !s.ServerAccepts(id))
	now = now.Add(6 * time.Second)
	s.Tick()
	assert.Equal(t, s.ServerCount(), 1)
	assert.Assert(t, !s.ServerAccepts(id))
}
