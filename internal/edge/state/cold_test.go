package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/slowstart"
)

// Guards against ignoring an entry that was rewritten with identical content because its server
// became cold again. A server became cold a second time after 1.7 s; routers used the first time and
// sent it 21 requests in a second, where 20 are allowed.
func TestRewrittenEntryRestartsTheWarmup(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("dc", 0.2, 80, func() time.Time { return now })
	s.SetColdRateBound(slowstart.RateBound{Factor: 1})
	s.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{
		{Name: "llm", SlowStart: routing.SlowStart{For: 2 * time.Second, PerSecond: 20}},
	}}, nil)
	cold := routing.Server{ID: "i", Service: "llm", State: routing.ServerReady, Slots: 4, Warmup: 2 * time.Second}
	s.ReplaceServers([]routing.Server{cold}, roster.Stamp{Version: 1}, false)
	now = now.Add(1700 * time.Millisecond)
	s.ApplyServerChanges([]routing.Server{cold}, nil, roster.Stamp{Version: 2})
	now = now.Add(1900 * time.Millisecond)
	assert.Equal(t, s.ColdCount(), 1)
}

// Guards against a router that gets its list from another router and ignores an entry that was
// rewritten with the same warm-up.
func TestEntryRewrittenAtAPeerRestartsTheWarmup(t *testing.T) {
	now := time.Unix(1000, 0)
	config := &routing.Config{Version: 1, Services: []routing.Service{
		{Name: "llm", SlowStart: routing.SlowStart{For: 2 * time.Second, PerSecond: 20}},
	}}
	source := New("dc", 0.2, 80, func() time.Time { return now })
	peer := New("dc", 0.2, 80, func() time.Time { return now })
	for _, s := range []*State{source, peer} {
		s.SetColdRateBound(slowstart.RateBound{Factor: 1})
		s.ApplyConfig(config, nil)
	}
	cold := routing.Server{ID: "i", Service: "llm", State: routing.ServerReady, Slots: 4, Warmup: 2 * time.Second}
	update := func(version uint64) {
		source.ApplyServerChanges([]routing.Server{cold}, nil, roster.Stamp{Version: version})
		list, stamp := source.ServerSnapshot()
		assert.Assert(t, peer.ReplaceServersFromPeer(list, stamp))
	}
	update(1)
	now = now.Add(1700 * time.Millisecond)
	update(2)
	now = now.Add(1900 * time.Millisecond)
	assert.Equal(t, peer.ColdCount(), 1)
	now = now.Add(200 * time.Millisecond)
	update(2) // not rewritten
	assert.Equal(t, peer.ColdCount(), 0)
}

// Guards against warm-ups that restart with each list from a router that does not send entry versions.
func TestListWithoutVersionsDoesNotRestartTheWarmup(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("dc", 0.2, 80, func() time.Time { return now })
	s.SetColdRateBound(slowstart.RateBound{Factor: 1})
	s.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{
		{Name: "llm", SlowStart: routing.SlowStart{For: 2 * time.Second, PerSecond: 20}},
	}}, nil)
	cold := routing.Server{ID: "i", Service: "llm", State: routing.ServerReady, Slots: 4, Warmup: 2 * time.Second}
	s.ApplyServerChanges([]routing.Server{cold}, nil, roster.Stamp{Version: 1})
	now = now.Add(3 * time.Second)
	for version := uint64(2); version < 5; version++ {
		for _, entryVersion := range []uint64{0, 1} {
			entry := cold
			entry.EntryVersion = entryVersion
			s.ReplaceServersFromPeer(roster.Snapshot{Servers: []routing.Server{entry}}, roster.Stamp{Version: version})
			assert.Equal(t, s.ColdCount(), 0)
		}
	}
}
