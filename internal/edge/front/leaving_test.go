package front_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// requestKinds holds one request for each kind of route.
var requestKinds = []struct{ name, method, path, service string }{
	{"safe", "GET", "/r/x", "app"},
	{"unsafe", "POST", "/u/x", "app"},
	{"stream", "POST", "/s/x", "llm"},
	{"stream that can't be resumed", "POST", "/o/x", "llm"},
}

// maxCalls is far more calls than it takes for a particular server to be chosen.
const maxCalls = 200

// callUntil makes calls until done returns true, and fails the test after maxCalls.
func (r *rig) callUntil(method, path string, done func() bool) {
	r.t.Helper()
	for range maxCalls {
		if done() {
			return
		}
		r.call(context.Background(), method, path, "k", "")
	}
	r.t.Fatalf("condition not met after %d calls", maxCalls)
}

// announceLeaving makes the first server announce in an answer that it is leaving, and returns it.
func (r *rig) announceLeaving(method, path string, servers []*platformtest.Server) *platformtest.Server {
	r.t.Helper()
	s := servers[0]
	s.SetLeaving(true)
	r.callUntil(method, path, func() bool { return len(s.Arrivals()) > 0 })
	return s
}

// Guards against requests to a server that has announced that it is leaving while its entry
// still says ready, as in an outage of the store.
func TestNoRequestIsSentToALeavingServer(t *testing.T) {
	for _, kind := range requestKinds {
		t.Run(kind.name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			engines, plain := r.servers(2)
			servers := plain
			if kind.service == "llm" {
				servers = engines
			}
			r.state.StoreDown()
			leaving := r.announceLeaving(kind.method, kind.path, servers)
			for range 30 {
				assert.Equal(t, r.call(context.Background(), kind.method, kind.path, "k", "").status, 200)
			}
			assert.Equal(t, len(leaving.Arrivals()), 1)
		})
	}
}

// Guards against a leaving mark that is cleared by a list of servers: from the store, from another
// router, or after a list that lacked the server.
func TestServerListsDoNotClearLeaving(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(2)
	leaving := r.announceLeaving("GET", "/r/x", plain)
	list, _ := r.state.Servers()
	r.state.ReplaceServers(list, roster.Stamp{Version: 2}, true)
	r.state.ApplyServerChanges(nil, []string{leaving.ID}, roster.Stamp{Version: 3})
	r.state.ApplyServerChanges(list, nil, roster.Stamp{Version: 4})
	r.state.ReplaceServersFromPeer(roster.Snapshot{Servers: list}, roster.Stamp{Version: 5})
	for range 30 {
		assert.Equal(t, r.call(context.Background(), "GET", "/r/x", "k", "").status, 200)
	}
	assert.Equal(t, len(leaving.Arrivals()), 1)
}

// Guards against sending a request that was placed before the server announced that it is leaving.
func TestPlacedRequestIsNotSentToALeavingServer(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(2)
	leaving := ""
	r.handler.Headers = afterPlacement{platform.Headers{}, func(id string) {
		if leaving == "" {
			leaving = id
			assert.Assert(t, r.state.ServerLeaving(routing.Identity{ID: id}))
		}
	}}
	assert.Equal(t, r.call(context.Background(), "POST", "/u/x", "k", "body").status, 200)
	for _, s := range plain {
		if s.ID == leaving {
			assert.Equal(t, len(s.Arrivals()), 0)
		}
	}
	assert.Assert(t, !strings.Contains(r.log.String(), "suspected"))
}

// busyExpiry is longer than the time for which a server is skipped after it refused a request as
// full.
const busyExpiry = 100 * time.Millisecond

// Guards against requests to servers that announced in a refusal that they are leaving.
func TestAnnouncementInARefusalMarksTheServer(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(3)
	for _, s := range plain[:2] {
		s.SetLeaving(true)
		s.SetFault(func(string) platformtest.Fault { return platformtest.Overloaded })
	}
	r.callUntil("GET", "/r/x", func() bool { return len(plain[0].Arrivals()) > 0 && len(plain[1].Arrivals()) > 0 })
	time.Sleep(busyExpiry)
	for range 20 {
		assert.Equal(t, r.call(context.Background(), "GET", "/r/x", "k", "").status, 200)
	}
	for _, s := range plain[:2] {
		assert.Equal(t, len(s.Arrivals()), 1)
	}
}

// Guards against holding a request until its deadline when all servers are leaving.
func TestRequestsAreRefusedWhenAllServersAreLeaving(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(2)
	for _, s := range plain {
		s.SetLeaving(true)
	}
	for range 2 {
		assert.Equal(t, r.call(context.Background(), "GET", "/r/x", "k", "").status, 200)
	}
	a := r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(a.body, "no server"), "%s", a.body)
	assert.Equal(t, len(plain[0].Arrivals())+len(plain[1].Arrivals()), 2)
}

// Guards against a server that stays unused after it cancelled its shutdown or restarted.
func TestReturnedServerIsUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name         string
		returnServer func(r *rig, entry routing.Server)
	}{
		{"entry changes from draining to ready", func(r *rig, entry routing.Server) {
			draining := entry
			draining.State = routing.ServerDraining
			r.state.ApplyServerChanges([]routing.Server{draining}, nil, roster.Stamp{Version: 2})
			r.state.ApplyServerChanges([]routing.Server{entry}, nil, roster.Stamp{Version: 3})
		}},
		{"restart under the same ID", func(r *rig, entry routing.Server) {
			entry.Born++
			r.state.ApplyServerChanges([]routing.Server{entry}, nil, roster.Stamp{Version: 2})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			_, plain := r.servers(2)
			leaving := r.announceLeaving("GET", "/r/x", plain)
			leaving.SetLeaving(false)
			list, _ := r.state.Servers()
			for _, entry := range list {
				if entry.ID == leaving.ID {
					c.returnServer(r, entry)
				}
			}
			r.callUntil("GET", "/r/x", func() bool { return len(leaving.Arrivals()) > 1 })
		})
	}
}
