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

const (
	// longBackoff does not expire during a test.
	longBackoff  = time.Minute
	shortBackoff = 150 * time.Millisecond
)

func alwaysFull(string) platformtest.Fault { return platformtest.Overloaded }

// refuseWithBackoff makes the first server refuse requests with a Retry-After of d, makes calls
// until it has refused one, and returns it.
func (r *rig) refuseWithBackoff(method, path string, servers []*platformtest.Server, d time.Duration) *platformtest.Server {
	r.t.Helper()
	s := servers[0]
	s.SetBackoff(d)
	s.SetFault(alwaysFull)
	r.callUntil(method, path, func() bool { return len(s.Arrivals()) > 0 })
	return s
}

// Guards against requests to a server during the backoff that it requested in a refusal.
func TestNoRequestIsSentToAServerInBackoff(t *testing.T) {
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
			s := r.refuseWithBackoff(kind.method, kind.path, servers, longBackoff)
			time.Sleep(busyExpiry)
			for range 30 {
				assert.Equal(t, r.call(context.Background(), kind.method, kind.path, "k", "").status, 200)
			}
			assert.Equal(t, len(s.Arrivals()), 1)
		})
	}
}

// Guards against a backoff that is cleared by a list of servers: from the store, from another
// router, or after a list that lacked the server.
func TestServerListsDoNotClearBackoff(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(2)
	s := r.refuseWithBackoff("GET", "/r/x", plain, longBackoff)
	list, _ := r.state.Servers()
	r.state.ApplyServerChanges(nil, []string{s.ID}, roster.Stamp{Version: 2})
	r.state.ApplyServerChanges(list, nil, roster.Stamp{Version: 3})
	r.state.ReplaceServersFromPeer(roster.Snapshot{Servers: list}, roster.Stamp{Version: 4})
	time.Sleep(busyExpiry)
	for range 30 {
		assert.Equal(t, r.call(context.Background(), "GET", "/r/x", "k", "").status, 200)
	}
	assert.Equal(t, len(s.Arrivals()), 1)
}

// Guards against sending a request that was placed before the server requested a backoff.
func TestPlacedRequestIsNotSentToAServerInBackoff(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(2)
	chosen := ""
	r.handler.Headers = afterPlacement{platform.Headers{}, func(id string) {
		if chosen == "" {
			chosen = id
			assert.Assert(t, r.state.ServerBackoff(routing.Identity{ID: id}, longBackoff))
		}
	}}
	assert.Equal(t, r.call(context.Background(), "POST", "/u/x", "k", "body").status, 200)
	for _, s := range plain {
		if s.ID == chosen {
			assert.Equal(t, len(s.Arrivals()), 0)
		}
	}
	assert.Assert(t, !strings.Contains(r.log.String(), "suspected"))
}

// Guards against holding a request until its deadline when all servers are in backoff, and
// against a Retry-After that delays its next attempt although another router may serve it.
func TestRequestsAreRefusedWhenAllServersAreInBackoff(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(2)
	for _, s := range plain {
		s.SetBackoff(longBackoff)
		s.SetFault(alwaysFull)
	}
	assert.Equal(t, r.call(context.Background(), "GET", "/r/x", "k", "").status, 503)
	a := r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Equal(t, a.header.Get("Retry-After"), "0.400")
	assert.Assert(t, strings.Contains(a.body, "servers in backoff"), "%s", a.body)
	assert.Equal(t, len(plain[0].Arrivals())+len(plain[1].Arrivals()), 2)
}

// Guards against a server that is not used again after its backoff has ended or it has restarted.
func TestServerIsUsedAgainAfterItsBackoff(t *testing.T) {
	t.Run("expired", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(2)
		s := r.refuseWithBackoff("GET", "/r/x", plain, shortBackoff)
		s.SetFault(nil)
		time.Sleep(shortBackoff)
		r.callUntil("GET", "/r/x", func() bool { return len(s.Runs()) > 0 })
	})
	t.Run("restart under the same ID", func(t *testing.T) {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(2)
		s := r.refuseWithBackoff("GET", "/r/x", plain, longBackoff)
		s.SetFault(nil)
		list, _ := r.state.Servers()
		for _, entry := range list {
			if entry.ID == s.ID {
				entry.Born++
				r.state.ApplyServerChanges([]routing.Server{entry}, nil, roster.Stamp{Version: 2})
			}
		}
		r.callUntil("GET", "/r/x", func() bool { return len(s.Runs()) > 0 })
	})
}
