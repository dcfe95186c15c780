package slowstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/routing"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestPermitsAreHalfOfAllowedRate(t *testing.T) {
	b := RateBound{Factor: 1.5, ExtraPerSecond: 5}
	n, limited := b.Permits(routing.SlowStart{For: 3 * time.Second, PerSecond: 9.8})
	assert.Assert(t, limited)
	assert.Equal(t, n, 9)
	for _, unlimited := range []routing.SlowStart{{}, {For: time.Second}, {PerSecond: 4}} {
		_, limited = b.Permits(unlimited)
		assert.Assert(t, !limited)
	}
	n, limited = RateBound{Factor: 1}.Permits(routing.SlowStart{For: time.Second, PerSecond: 1})
	assert.Assert(t, limited && n == 0, "less than one permit")
	n, _ = b.Permits(routing.SlowStart{For: time.Second, PerSecond: 1e300})
	assert.Equal(t, n, maxPermits)
}

func TestServerIsColdUntilLastSourceExpires(t *testing.T) {
	var c State
	assert.Assert(t, !c.IsCold(start))
	assert.Assert(t, c.Mark(ByEntry, at(1000), start))
	assert.Assert(t, !c.Mark(ByEvacuationCancelled, at(3000), at(100)))
	c.Clear(ByEntry)
	assert.Assert(t, c.IsCold(at(2999)) && !c.IsCold(at(3000)))
	assert.Assert(t, !c.Mark(ByConnectFailures, at(2000), at(3500)), "the mark is in the past")
}

func TestPermitAllowsOneRequestPerWindow(t *testing.T) {
	var c State
	for range 2 {
		assert.Assert(t, c.Free(2, at(0)))
		c.Use(at(0))
	}
	assert.Assert(t, !c.Free(2, at(1099)))
	assert.Assert(t, c.Free(2, at(1100)))
	c.UseAll(2, at(1100))
	assert.Assert(t, !c.Free(2, at(2000)), "requests sent earlier count")
	assert.Assert(t, !c.Free(0, at(9000)))
}

// names returns the names of n routers.
func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.%d.%d:1", i/200, i%200))
	}
	return list
}

// fleetOf returns the fleet of the router self with the given view.
func fleetOf(self string, view []string) *Fleet {
	f := NewFleet(self)
	f.Set(slices.DeleteFunc(slices.Clone(view), func(s string) bool { return s == self }), true)
	return f
}

// Each permit belongs to exactly one router, whatever the size of the fleet.
func TestEachPermitHasOneHolder(t *testing.T) {
	for _, size := range []int{1, 3, 8, 91, 295} {
		fleet := names(size)
		for server := uint64(1); server < 20; server++ {
			sum, holders := 0, 0
			for _, self := range fleet {
				n := fleetOf(self, fleet).PermitShare(server*0x1234567, 9)
				sum += n
				if n > 0 {
					holders++
				}
			}
			assert.Equal(t, sum, 9)
			assert.Equal(t, holders, min(9, size))
		}
	}
}

func TestRouterWithUntrustedFleetHasNoPermits(t *testing.T) {
	f := NewFleet("a")
	assert.Equal(t, f.PermitShare(7, 9), 0)
	f.Set(nil, true)
	assert.Equal(t, f.PermitShare(7, 9), 9, "the only router has all permits")
	f.Set([]string{"b"}, false)
	assert.Equal(t, f.PermitShare(7, 9), 0)
}

// If two parts of a fleet have different views, their routers together have at most twice the
// permits.
func TestTwoViewsHaveAtMostTwiceThePermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 60).Draw(t, "routers"))
		permits := rapid.IntRange(0, 20).Draw(t, "permits")
		server := rapid.Uint64().Draw(t, "server")
		views := [2][]string{}
		for v := range views {
			views[v] = rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "view")
		}
		sum := 0
		for i, self := range all {
			view := views[rapid.IntRange(0, 1).Draw(t, fmt.Sprint("of ", i))]
			if slices.Contains(view, self) {
				sum += fleetOf(self, view).PermitShare(server, permits)
			}
		}
		if sum > maxViews*permits {
			t.Fatalf("%d of %d", sum, permits)
		}
	})
}

// simulation is a fleet in front of one cold server. Its routers restart, join and are cut off,
// and their requests take different times to arrive.
type simulation struct {
	nowMs    int
	names    []string
	routers  []*simRouter
	arrivals []int
}

// simRouter is one router. It trusts its view from trustedAt on.
type simRouter struct {
	cold      State
	view      []string
	trustedAt int
}

const (
	simPermits   = 9
	trustDelayMs = 2000
	// maxDelayMs is the largest difference between the transit times of two requests.
	maxDelayMs = int(Window/time.Millisecond) - 1000
)

func newSimulation(n int) *simulation {
	w := &simulation{names: names(n)}
	for range n {
		w.routers = append(w.routers, &simRouter{view: w.names})
	}
	return w
}

// step performs the step selected by b. A restarted router has the same view and trusts it after
// trustDelayMs; a part of the fleet may drop routers that stopped responding from its view.
func (w *simulation) step(b byte) {
	i := int(b>>3) % len(w.routers)
	r := w.routers[i]
	switch b % 8 {
	case 0, 1, 2, 3: // every router has requests for the server
		for k, s := range w.routers {
			f := NewFleet(w.names[k])
			f.Set(slices.DeleteFunc(slices.Clone(s.view), func(n string) bool { return n == w.names[k] }), w.nowMs >= s.trustedAt)
			for s.cold.Free(f.PermitShare(1, simPermits), at(w.nowMs)) {
				s.cold.Use(at(w.nowMs))
				w.arrivals = append(w.arrivals, w.nowMs+(k*37+int(b))%maxDelayMs)
			}
		}
	case 4:
		w.routers[i] = &simRouter{view: r.view, trustedAt: w.nowMs + trustDelayMs}
	case 5: // this router drops the ones that it takes for gone; the others do so later
		r.view = w.names[:1+len(w.names)/2]
	case 6:
		r.view = w.names
	case 7:
		w.nowMs += 90
	}
	w.nowMs += 20
}

// maxPerSecond returns the highest number of requests that arrived within one second.
func (w *simulation) maxPerSecond() (highest int) {
	slices.Sort(w.arrivals)
	first := 0
	for i, ms := range w.arrivals {
		for ms-w.arrivals[first] >= 1000 {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// FuzzBound guards against sequences of steps after which more requests arrive within a second
// than two views of the fleet allow.
func FuzzBound(f *testing.F) {
	f.Add(uint8(4), []byte{0, 4, 7, 7, 0, 5, 0, 12, 7, 1, 2, 6, 0})
	f.Fuzz(func(t *testing.T, size uint8, steps []byte) {
		w := newSimulation(1 + int(size)%24)
		for _, b := range steps[:min(len(steps), 300)] {
			w.step(b)
		}
		if highest := w.maxPerSecond(); highest > maxViews*simPermits {
			t.Fatalf("%d in a second", highest)
		}
	})
}
