package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

// told is a router with the list and configuration of an era.
func told(t *testing.T, clock *time.Time, stamp roster.Stamp) *Peers {
	t.Helper()
	p := lone(t, func() time.Time { return *clock }, noWait)
	assert.Assert(t, p.State.ApplyConfig(&routing.Config{Version: 5}, nil))
	p.State.ObserveEra(stamp.Era)
	list := []routing.Server{{ID: "x", Service: "app", State: routing.ServerReady}, {ID: "y", Service: "app", State: routing.ServerReady}}
	assert.Assert(t, p.State.ReplaceServers(list, stamp, true))
	return p
}

// The list of a later era is the newer one, though its version is lower; that of an earlier
// one is not asked for again.
func TestTheListOfTheNewestEraWins(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := told(t, &clock, roster.Stamp{Era: 1, Version: 90})
	later := heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Version: 5, Era: 2, List: 40}
	p.take(later, clock)
	assert.Equal(t, p.State.Era(), uint64(2))
	clock = clock.Add(viewOld) // its own view is old: it asks others
	p.take(later, clock)
	assert.Equal(t, p.newerServers(clock), later.Control)
	shorter := []routing.Server{{ID: "x", Service: "app", State: routing.ServerReady}}
	assert.Assert(t, p.State.ReplaceServers(shorter, later.stamp(), true))
	before := heartbeat{Control: "127.0.0.41:1", DataCentre: "dc", Version: 5, Era: 1, List: 99}
	p.take(before, clock)
	assert.Equal(t, p.newerServers(clock), "")
	assert.Assert(t, !p.State.ReplaceServers(nil, before.stamp(), true))
	assert.Equal(t, p.State.Stamp(), roster.Stamp{Era: 2, Version: 40})
}

// A list that another router tells right after the return may lack servers that live: they
// stay until they have had their time.
func TestNoListShrinksByAReturn(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := told(t, &clock, roster.Stamp{Era: 1, Version: 90})
	p.take(heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Version: 5, Era: 2, List: 40, FollowedMs: 60_000}, clock)
	assert.Assert(t, p.State.ReplaceServers(nil, roster.Stamp{Era: 2, Version: 40}, true))
	assert.Equal(t, p.State.ServerCount(), 2)
	clock = clock.Add(roster.RecoveryGrace - time.Millisecond)
	p.State.Tick()
	p.take(heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Version: 5, Era: 2, List: 40, FollowedMs: 1}, clock)
	assert.Equal(t, p.State.ServerCount(), 2)
	clock = clock.Add(time.Millisecond)
	p.State.Tick()
	assert.Equal(t, p.State.ServerCount(), 0)
}

// A router that vouches for the age of its view vouches for its own era's.
func TestAgesOfAnEarlierEraAreNotTakenOver(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := told(t, &clock, roster.Stamp{Era: 2, Version: 40})
	age := func() time.Duration {
		_, age := p.State.Table()
		return age
	}
	p.State.ConfirmConfig(time.Second)
	p.take(heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Version: 5, Era: 1, List: 40, FollowedMs: 9000, AgeMs: 100}, clock)
	assert.Equal(t, age(), time.Second)
	p.take(heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Version: 5, Era: 2, List: 40, FollowedMs: 9000, AgeMs: 100}, clock)
	assert.Equal(t, age(), 100*time.Millisecond)
}

// What the routers keep in the store is written again, by one that comes first: that it
// was written is believed of a router only that knows of the return.
func TestBlockedContentsAreWrittenAgainAfterAReturn(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := told(t, &clock, roster.Stamp{Era: 1, Version: 90})
	stored := ends(7, poison.CrashesToBlock)
	stored[0].Stored = true
	p.take(heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Kind: kindOwn, Version: 5, Era: 1, List: 90, Ends: stored}, clock)
	due := func() int {
		write, _ := p.State.CrashesToStore()
		return len(write)
	}
	clock = clock.Add(time.Minute)
	assert.Equal(t, due(), 0, "the store has it")
	p.State.ObserveEra(2)
	assert.Equal(t, due(), 0, "another router may be first")
	p.take(heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Kind: kindOwn, Version: 5, Era: 1, List: 91, Ends: stored}, clock)
	clock = clock.Add(time.Minute)
	assert.Equal(t, due(), 1)
	p.take(heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Kind: kindOwn, Version: 5, Era: 2, List: 41, Ends: stored}, clock)
	assert.Equal(t, due(), 0)
}
