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

// The incident. A request crashed each engine that began to run it, some 60 ms into the
// run, and came again and again, each time with the same path, customer and body, under a
// new ID and mostly at another of 8 routers. Thirteen engines ended under it within 12 s,
// each with all that it was running.
//
// How it came about: a router held each end against the engine, which it passed over for a
// while, and never against the request. Its list of engines tried, its bound on attempts
// and its retry budget count within one attempt of a caller, at one router.
//
// The cause is of a class: a failure that travels with the request was looked for at
// servers only, and what one router learnt of it reached no other. Shown by this test: three routers, one
// guilty request, no other load; nothing but the number of ends decides.

const (
	// endsToKnow is under how many servers a request may end before it counts as guilty:
	// up to then it may be chance.
	endsToKnow = 3
	// endsMore is how many more may end while the routers tell each other.
	endsMore = 3
	// tellPause is the time that routers have to tell each other between two rounds:
	// some reports of 20 ms, and the read of the store that follows a report.
	tellPause = 500 * time.Millisecond
	guilty    = "guilty"
)

// crashing makes the fleet's engines end as they begin to run a guilty request, and start
// again, under their IDs, soon after. It returns the count of ends.
func crashing(f *fleet) *atomic.Int64 {
	var ends atomic.Int64
	for _, s := range f.servers {
		s.SetFault(func(attempt string) platformtest.Fault {
			if strings.HasPrefix(attempt, guilty) {
				return platformtest.Crash
			}
			return platformtest.NoFault
		})
		s.OnCrash = func() {
			ends.Add(1)
			// An address that is taken meanwhile leaves one engine fewer.
			if s.Restart() == nil {
				f.store.PutServer(s, "ready")
			}
		}
	}
	return &ends
}

// rounds sends the guilty request to each router in turn until none of a round reaches a
// server, and checks how many servers ended.
func rounds(t *testing.T, ends *atomic.Int64, most int64, routers ...*member) {
	t.Helper()
	for {
		before := ends.Load()
		for _, m := range routers {
			m.send("/o/x", guilty, "the same body")
			time.Sleep(tellPause / time.Duration(len(routers)))
		}
		assert.Assert(t, ends.Load() <= most, "%d servers ended under one request", ends.Load())
		if ends.Load() == before {
			return
		}
	}
}

func TestRequestThatCrashesServersIsKeptFromThem(t *testing.T) {
	t.Run("by all routers", keptByAll)
	t.Run("after all routers were killed", keptAfterKills)
	t.Run("by a router that hears no other", keptAlone)
}

// What one router learns reaches the others, and those that start later.
func keptByAll(t *testing.T) {
	f := newFleet(t, 41)
	ends := crashing(f)
	a := f.start("127.0.41.1")
	b := f.start("127.0.41.2", a)
	c := f.start("127.0.41.3", a, b)
	edgetest.Until(t, "each other", func() bool { return a.node.peers.Live() == 2 && b.node.peers.Live() == 2 && c.node.peers.Live() == 2 })
	rounds(t, ends, endsToKnow+endsMore, a, b, c)

	t.Run("a router that starts later", func(t *testing.T) {
		before := ends.Load()
		d := f.start("127.0.41.4", a)
		rounds(t, ends, before, d)
	})
	t.Run("others are served", func(t *testing.T) {
		assert.Equal(t, b.send("/o/x", "innocent", "another body"), 200)
		assert.Equal(t, b.send("/o/y", "innocent", "the same body"), 200)
	})
}

// All routers are killed at once and start again: what they knew lies in the store.
func keptAfterKills(t *testing.T) {
	f := newFleet(t, 42)
	ends := crashing(f)
	a := f.start("127.0.42.1")
	b := f.start("127.0.42.2", a)
	edgetest.Until(t, "each other", func() bool { return a.node.peers.Live() == 1 && b.node.peers.Live() == 1 })
	rounds(t, ends, endsToKnow+endsMore, a, b)
	before := ends.Load()
	a.kill()
	b.kill()
	a.start(b)
	b.start(a)
	rounds(t, ends, before, a, b)
}

// A router that no other hears, and that hears none, reads in the store what they know as
// soon as a server ends under a request of its own.
func keptAlone(t *testing.T) {
	f := newFleet(t, 43)
	ends := crashing(f)
	a := f.start("127.0.43.1")
	b := f.start("127.0.43.2", a)
	edgetest.Until(t, "each other", func() bool { return a.node.peers.Live() == 1 && b.node.peers.Live() == 1 })
	alone := &member{f: f, ip: "127.0.43.3", dataCentre: "dc", ports: reservePorts(t, "127.0.43.3")}
	alone.start()
	rounds(t, ends, endsToKnow+endsMore, a, b)
	before := ends.Load()
	rounds(t, ends, before+1, alone)
}

// What runs beside the guilty request ends with its engine, three times over. It is not
// guilty: it is served when it comes again, as often as it comes.
func TestRequestsBesideOneThatCrashesServersAreServed(t *testing.T) {
	f := newFleet(t, 44)
	ends := crashing(f)
	a := f.start("127.0.44.1")
	for ends.Load() < endsToKnow {
		for range fleetEngines {
			go a.send("/s/x", "beside", "polled again and again")
		}
		a.send("/o/x", guilty, "the same body")
	}
	for range 2 * fleetEngines {
		edgetest.Until(t, "it is served", func() bool { return a.send("/s/x", "beside", "polled again and again") == 200 })
	}
}
