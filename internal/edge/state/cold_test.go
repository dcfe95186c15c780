package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/slowstart"
)

// A server turns cold again and its entry is written with the number of before: it is news
// though nothing in it differs. Seen with a server that turned cold 1.7 s after it had done so;
// routers went by the first time and sent it 21 requests in a second of 20.
func TestAnEntryWrittenAgainWithTheSameWarmupIsNews(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("dc", 0.2, 80, func() time.Time { return now })
	s.SetSlowStart(slowstart.RateBound{Factor: 1})
	s.TakeConfig(&routing.Config{Version: 1, Services: []routing.Service{
		{Name: "llm", SlowStart: routing.SlowStart{For: 2 * time.Second, PerSecond: 20}},
	}}, nil)
	cold := routing.Server{ID: "i", Service: "llm", State: routing.ServerReady, Slots: 4, Warmup: 2 * time.Second}
	s.ServersReplaced([]routing.Server{cold}, roster.Stamp{Version: 1}, false)
	now = now.Add(1700 * time.Millisecond)
	s.ServersChanged([]routing.Server{cold}, nil, roster.Stamp{Version: 2})
	now = now.Add(1900 * time.Millisecond)
	assert.Equal(t, s.ColdCount(), 1)
}

// Guards against a router that gets its list from another router and ignores an entry that was
// rewritten with the same warm-up.
func TestAnEntryWrittenAgainRestartsTheWarmupThroughAnotherRouter(t *testing.T) {
	now := time.Unix(1000, 0)
	config := &routing.Config{Version: 1, Services: []routing.Service{
		{Name: "llm", SlowStart: routing.SlowStart{For: 2 * time.Second, PerSecond: 20}},
	}}
	source := New("dc", 0.2, 80, func() time.Time { return now })
	peer := New("dc", 0.2, 80, func() time.Time { return now })
	for _, s := range []*State{source, peer} {
		s.SetSlowStart(slowstart.RateBound{Factor: 1})
		s.TakeConfig(config, nil)
	}
	cold := routing.Server{ID: "i", Service: "llm", State: routing.ServerReady, Slots: 4, Warmup: 2 * time.Second}
	update := func(version uint64) {
		source.ServersChanged([]routing.Server{cold}, nil, roster.Stamp{Version: version})
		list, stamp := source.ServersTold()
		assert.Assert(t, peer.ServersToldBy(list, stamp))
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

// Guards against warm-ups that restart with each list of a router that does not tell versions.
func TestListWithoutVersionsDoesNotRestartTheWarmup(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("dc", 0.2, 80, func() time.Time { return now })
	s.SetSlowStart(slowstart.RateBound{Factor: 1})
	s.TakeConfig(&routing.Config{Version: 1, Services: []routing.Service{
		{Name: "llm", SlowStart: routing.SlowStart{For: 2 * time.Second, PerSecond: 20}},
	}}, nil)
	cold := routing.Server{ID: "i", Service: "llm", State: routing.ServerReady, Slots: 4, Warmup: 2 * time.Second}
	s.ServersChanged([]routing.Server{cold}, nil, roster.Stamp{Version: 1})
	now = now.Add(3 * time.Second)
	for version := uint64(2); version < 5; version++ {
		for _, entryVersion := range []uint64{0, 1} {
			entry := cold
			entry.EntryVersion = entryVersion
			s.ServersToldBy(roster.Snapshot{Servers: []routing.Server{entry}}, roster.Stamp{Version: version})
			assert.Equal(t, s.ColdCount(), 0)
		}
	}
}
