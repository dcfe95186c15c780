package follow_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// followed is a state that follows a simulated store.
type followed struct {
	store  *platformtest.Store
	state  *state.State
	role   follow.Role
	log    *edgetest.LogBuffer
	client *platform.Store
}

func start(t *testing.T, role follow.Role) *followed {
	t.Helper()
	return startPrepared(t, role, func(*followed) {})
}

// startPrepared calls prepare before the store is followed.
func startPrepared(t *testing.T, role follow.Role, prepare func(*followed)) *followed {
	t.Helper()
	f := &followed{store: platformtest.NewStore(), state: state.New("dc", 0.2, 80, time.Now), role: role, log: &edgetest.LogBuffer{}}
	f.store.SetEra(1) // before the store is followed: a later era would mean a restore
	prepare(f)
	server := httptest.NewServer(f.store)
	f.client = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	follower := &follow.Follower{
		State: f.state,
		Store: f.client,
		Log:   slog.New(slog.NewTextHandler(f.log, nil)),
		Meter: meter.New(),
		Now:   time.Now,

		WritesForOthers: func() bool { return true },
		HearsTooFew:     func() bool { return false },
		Role:            func() follow.Role { return f.role },
		AwaitJoin:       func(context.Context) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	go func() { _ = follower.Config(ctx); done <- struct{}{} }()
	go func() { _ = follower.Servers(ctx); done <- struct{}{} }()
	go func() { _ = follower.SyncBlocked(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

func (f *followed) put(version int) {
	f.store.PutConfig(platformtest.Config(version, nil, nil, []string{"app"}, nil))
}

func (f *followed) listed() int {
	list, _ := f.state.Servers()
	return len(list)
}

func TestFollowsTheStore(t *testing.T) {
	f := start(t, follow.Direct)
	assert.Assert(t, !f.state.Ready())
	f.put(3)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "first view", func() bool { return f.state.Ready() && f.listed() == 1 })
	f.put(9)
	f.store.RemoveServer("a")
	edgetest.Until(t, "changes", func() bool { return f.state.Version() == 9 && f.listed() == 0 })
}

func TestOlderStoredConfigurationIsIgnored(t *testing.T) {
	f := start(t, follow.Direct)
	f.put(9)
	edgetest.Until(t, "version 9", func() bool { return f.state.Version() == 9 })
	f.put(4) // as in a delayed answer or an old copy
	f.store.DropHistory()
	f.put(10)
	edgetest.Until(t, "version 10", func() bool { return f.state.Version() == 10 })
}

func TestMissingHistoryCausesAFullRead(t *testing.T) {
	f := start(t, follow.Direct)
	f.put(1)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "first view", func() bool { return f.listed() == 1 })
	f.store.SetFault(func(*http.Request) platformtest.StoreFault { return platformtest.StoreReset })
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	f.put(2)
	f.store.DropHistory()
	f.store.SetFault(nil)
	edgetest.Until(t, "both servers", func() bool { return f.listed() == 2 && f.state.Version() == 2 })
}

// Entries that expired during an outage of the store are kept until the servers have had time to
// write them again.
func TestExpiredEntriesSurviveAnOutage(t *testing.T) {
	f := start(t, follow.Direct)
	f.put(1)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "first view", func() bool { return f.listed() == 1 })
	calls := f.store.Calls("/v1/rows-feed")
	f.store.SetFault(func(*http.Request) platformtest.StoreFault { return platformtest.StoreUnavailable })
	f.store.RemoveServer("a")
	edgetest.Until(t, "the outage is seen", func() bool { return f.store.Calls("/v1/rows-feed") > calls+4 })
	f.store.SetFault(nil)
	f.put(2)
	edgetest.Until(t, "the store is back", func() bool { return f.state.Version() == 2 })
	assert.Equal(t, f.listed(), 1)
}

// A router that gets changes from a reader makes no calls to the store.
func TestIndirectRouterMakesNoStoreCalls(t *testing.T) {
	f := start(t, follow.Indirect)
	f.put(1)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, f.store.Calls("/v1/rows-get")+f.store.Calls("/v1/rows-feed"), 0)
}

// A malformed entry from another writer removes its server at once, whatever was listed before. It is
// logged once however often it is written, and the server is used again as soon as its entry is
// valid. Other servers are not affected.
func TestServerWithMalformedEntryIsNotUsed(t *testing.T) {
	f := start(t, follow.Direct)
	f.put(3)
	valid := platformtest.ServerEntry("app", "127.0.0.1:1", "ready")
	f.store.Put("servers", "a", valid)
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	accepts := func(id string) bool { return f.state.ServerAccepts(routing.Identity{ID: id, Born: 1}) }
	edgetest.Until(t, "both", func() bool { return accepts("a") && accepts("b") })
	for _, malformed := range []string{`{"service":"app"}`, `{`, `{"state":7}`} {
		f.store.Put("servers", "a", []byte(malformed))
	}
	edgetest.Until(t, "it is not used", func() bool { return !accepts("a") })
	assert.Assert(t, accepts("b"))
	f.store.Put("servers", "a", valid)
	edgetest.Until(t, "it is used again", func() bool { return accepts("a") })
	assert.Assert(t, accepts("b"))
	assert.Equal(t, strings.Count(f.log.String(), "can't be read"), 1)
}

// Guards against a full read by routers that replace readers which are cut off. In a fleet with
// 10,000 servers each read the whole list again, with one call for every 200 servers, although it had
// the readers' list and could follow the store from there.
func TestListFromAPeerIsFollowedFromItsStamp(t *testing.T) {
	f := startPrepared(t, follow.Reader, func(f *followed) {
		f.put(1)
		f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
		f.state.ObserveEra(1)
		f.state.ReplaceServersFromPeer(roster.Snapshot{Servers: []routing.Server{{ID: "a", Service: "app", State: routing.ServerReady}}}, roster.Stamp{Era: 1, Version: 2})
		f.state.MarkCrashesRead()
	})
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	edgetest.Until(t, "the change", func() bool { return f.listed() == 2 && f.state.Version() == 1 })
	assert.Equal(t, f.store.Calls("/v1/rows-get"), 1, "only the configuration is read whole")
	f.store.DropHistory()
	f.store.Put("servers", "c", platformtest.ServerEntry("app", "127.0.0.1:3", "ready"))
	edgetest.Until(t, "the list is read whole", func() bool { return f.listed() == 3 })
}
