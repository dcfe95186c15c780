package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

// peersWithList returns the peers of a router with a configuration and a server list of the given
// stamp.
func peersWithList(t *testing.T, clock *time.Time, stamp roster.Stamp) *Peers {
	t.Helper()
	p := isolatedPeers(t, func() time.Time { return *clock }, noWait)
	assert.Assert(t, p.State.ApplyConfig(&routing.Config{Version: 5}, nil))
	p.State.ObserveEra(stamp.Era)
	list := []routing.Server{{ID: "x", Service: "app", State: routing.ServerReady}, {ID: "y", Service: "app", State: routing.ServerReady}}
	assert.Assert(t, p.State.ReplaceServers(list, stamp, true))
	return p
}

// A list of a later era is newer even if its version is lower. A list of an earlier era is neither
// fetched nor applied.
func TestListOfNewestEraWins(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := peersWithList(t, &clock, roster.Stamp{Era: 1, Version: 90})
	newerEra := heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", ConfigVersion: 5, ListEra: 2, ListVersion: 40}
	p.handleHeartbeat(newerEra, clock)
	assert.Equal(t, p.State.Era(), uint64(2))
	clock = clock.Add(maxViewAge) // its own view is too old, so it fetches from others
	p.handleHeartbeat(newerEra, clock)
	assert.Equal(t, p.newerServersPeer(clock), newerEra.ControlAddr)
	shorter := []routing.Server{{ID: "x", Service: "app", State: routing.ServerReady}}
	assert.Assert(t, p.State.ReplaceServers(shorter, newerEra.stamp(), true))
	olderEra := heartbeat{ControlAddr: "127.0.0.41:1", DataCentre: "dc", ConfigVersion: 5, ListEra: 1, ListVersion: 99}
	p.handleHeartbeat(olderEra, clock)
	assert.Equal(t, p.newerServersPeer(clock), "")
	assert.Assert(t, !p.State.ReplaceServers(nil, olderEra.stamp(), true))
	assert.Equal(t, p.State.Stamp(), roster.Stamp{Era: 2, Version: 40})
}

// A list that another router sends right after the store was restored from an older copy may lack
// live servers. They stay listed for the recovery grace period.
func TestStoreRestoreDoesNotShrinkList(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := peersWithList(t, &clock, roster.Stamp{Era: 1, Version: 90})
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", ConfigVersion: 5, ListEra: 2, ListVersion: 40, FollowedMs: 60_000}, clock)
	assert.Assert(t, p.State.ReplaceServers(nil, roster.Stamp{Era: 2, Version: 40}, true))
	assert.Equal(t, p.State.ServerCount(), 2)
	clock = clock.Add(roster.RecoveryGrace - time.Millisecond)
	p.State.Tick()
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", ConfigVersion: 5, ListEra: 2, ListVersion: 40, FollowedMs: 1}, clock)
	assert.Equal(t, p.State.ServerCount(), 2)
	clock = clock.Add(time.Millisecond)
	p.State.Tick()
	assert.Equal(t, p.State.ServerCount(), 0)
}

// The age in a heartbeat of an earlier era does not confirm a view of the current era.
func TestViewAgeOfEarlierEraIsIgnored(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := peersWithList(t, &clock, roster.Stamp{Era: 2, Version: 40})
	age := func() time.Duration {
		_, age := p.State.Table()
		return age
	}
	p.State.ConfirmConfig(time.Second)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", ConfigVersion: 5, ListEra: 1, ListVersion: 40, FollowedMs: 9000, ViewAgeMs: 100}, clock)
	assert.Equal(t, age(), time.Second)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", ConfigVersion: 5, ListEra: 2, ListVersion: 40, FollowedMs: 9000, ViewAgeMs: 100}, clock)
	assert.Equal(t, age(), 100*time.Millisecond)
}

// After a restore of the store one of the routers writes the blocked contents again. A report that
// they are stored counts only if its sender knows of the restore.
func TestBlockedContentsAreRewrittenAfterStoreRestore(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := peersWithList(t, &clock, roster.Stamp{Era: 1, Version: 90})
	stored := crashesUnder(7, poison.CrashesToBlock)
	stored[0].Stored = true
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", Kind: kindOwn, ConfigVersion: 5, ListEra: 1, ListVersion: 90, Crashes: stored}, clock)
	due := func() int {
		write, _ := p.State.CrashesToStore(poison.Contents)
		return len(write)
	}
	clock = clock.Add(time.Minute)
	assert.Equal(t, due(), 0, "the store has it")
	p.State.ObserveEra(2)
	assert.Equal(t, due(), 0, "another router may write it first")
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", Kind: kindOwn, ConfigVersion: 5, ListEra: 1, ListVersion: 91, Crashes: stored}, clock)
	clock = clock.Add(time.Minute)
	assert.Equal(t, due(), 1)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", Kind: kindOwn, ConfigVersion: 5, ListEra: 2, ListVersion: 41, Crashes: stored}, clock)
	assert.Equal(t, due(), 0)
}
