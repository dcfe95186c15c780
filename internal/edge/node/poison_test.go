package node

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// These tests guard against a request that crashes every server that begins to run it. In the
// incident such a request crashed each server about 60 ms into the run. It was sent again and
// again with the same path, customer and body, under a new ID and mostly through another of 8
// routers. Thirteen servers crashed within 12 s, each with everything that it was running.
//
// The routers attributed each crash to the server, which they avoided for a while, and never
// to the request. The list of servers tried, the bound on attempts and the retry budget cover
// one attempt of a caller at one router, and what one router learnt did not reach the others.
//
// The setup is three routers and one poisonous request without other load; only the number of
// crashes decides.

const (
	// crashThreshold is how many servers may crash under a request before it counts as
	// poisonous; up to then it may be chance.
	crashThreshold = 3
	// crashesWhilePropagating is how many more may crash until the other routers know.
	crashesWhilePropagating = 3
	// propagationPause is the time for routers to exchange reports between two rounds: a few
	// reports at intervals of 20 ms, and the read of the store that follows a report.
	propagationPause = 500 * time.Millisecond
	poisonous        = "guilty"
)

// crashOnPoison makes the servers crash when they begin to run a poisonous request, and
// restart soon after under the same ID. It returns the number of crashes.
func crashOnPoison(f *fleet) *atomic.Int64 {
	var crashes atomic.Int64
	for _, s := range f.servers {
		s.SetFault(func(attempt string) platformtest.Fault {
			if strings.HasPrefix(attempt, poisonous) {
				return platformtest.Crash
			}
			return platformtest.NoFault
		})
		s.OnCrash = func() {
			crashes.Add(1)
			// If another process has taken the address meanwhile, the fleet has one server
			// fewer.
			if s.Restart() == nil {
				f.store.PutServer(s, "ready")
			}
		}
	}
	return &crashes
}

// sendUntilBlocked sends the poisonous request to each router in turn until no request of a
// round reaches a server, and checks the number of crashes.
func sendUntilBlocked(t *testing.T, crashes *atomic.Int64, maxCrashes int64, routers ...*member) {
	t.Helper()
	for {
		before := crashes.Load()
		for _, m := range routers {
			m.send("/o/x", poisonous, "the same body")
			time.Sleep(propagationPause / time.Duration(len(routers)))
		}
		assert.Assert(t, crashes.Load() <= maxCrashes, "%d servers crashed under one request", crashes.Load())
		if crashes.Load() == before {
			return
		}
	}
}

func TestPoisonousRequestIsBlocked(t *testing.T) {
	t.Run("by all routers", testBlockedByAllRouters)
	t.Run("after all routers were killed", testBlockedAfterRestart)
	t.Run("by a router isolated from the others", testBlockedByIsolatedRouter)
}

// What one router learns reaches the others and those that start later.
func testBlockedByAllRouters(t *testing.T) {
	f := newFleet(t, 41)
	crashes := crashOnPoison(f)
	a := f.start("127.0.41.1")
	b := f.start("127.0.41.2", a)
	c := f.start("127.0.41.3", a, b)
	edgetest.Until(t, "each other", func() bool { return a.node.peers.Live() == 2 && b.node.peers.Live() == 2 && c.node.peers.Live() == 2 })
	sendUntilBlocked(t, crashes, crashThreshold+crashesWhilePropagating, a, b, c)

	t.Run("a router that starts later", func(t *testing.T) {
		before := crashes.Load()
		d := f.start("127.0.41.4", a)
		sendUntilBlocked(t, crashes, before, d)
	})
	t.Run("others are served", func(t *testing.T) {
		assert.Equal(t, b.send("/o/x", "innocent", "another body"), 200)
		assert.Equal(t, b.send("/o/y", "innocent", "the same body"), 200)
	})
}

// All routers are killed at once and restart: they read what they knew from the store.
func testBlockedAfterRestart(t *testing.T) {
	f := newFleet(t, 42)
	crashes := crashOnPoison(f)
	a := f.start("127.0.42.1")
	b := f.start("127.0.42.2", a)
	edgetest.Until(t, "each other", func() bool { return a.node.peers.Live() == 1 && b.node.peers.Live() == 1 })
	sendUntilBlocked(t, crashes, crashThreshold+crashesWhilePropagating, a, b)
	before := crashes.Load()
	a.kill()
	b.kill()
	a.start(b)
	b.start(a)
	sendUntilBlocked(t, crashes, before, a, b)
}

// A router that exchanges no messages with the others reads what they know from the store as
// soon as a server crashes under one of its own requests.
func testBlockedByIsolatedRouter(t *testing.T) {
	f := newFleet(t, 43)
	crashes := crashOnPoison(f)
	a := f.start("127.0.43.1")
	b := f.start("127.0.43.2", a)
	edgetest.Until(t, "each other", func() bool { return a.node.peers.Live() == 1 && b.node.peers.Live() == 1 })
	isolated := &member{fleet: f, ip: "127.0.43.3", dataCentre: "dc", ports: reservePorts(t, "127.0.43.3")}
	isolated.start()
	sendUntilBlocked(t, crashes, crashThreshold+crashesWhilePropagating, a, b)
	before := crashes.Load()
	sendUntilBlocked(t, crashes, before+1, isolated)
}

// A request that runs next to the poisonous one loses its server with it, three times in a
// row. It is not blocked: it is served each time it is sent again.
func TestBystanderRequestsAreServed(t *testing.T) {
	f := newFleet(t, 44)
	crashes := crashOnPoison(f)
	a := f.start("127.0.44.1")
	for crashes.Load() < crashThreshold {
		for range fleetServers {
			go a.send("/s/x", "beside", "polled again and again")
		}
		a.send("/o/x", poisonous, "the same body")
	}
	for range 2 * fleetServers {
		edgetest.Until(t, "the bystander request is served", func() bool { return a.send("/s/x", "beside", "polled again and again") == 200 })
	}
}
