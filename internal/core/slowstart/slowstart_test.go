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
	b := Bound{Factor: 1.5, ExtraPerSecond: 5}
	n, limited := b.Permits(routing.SlowStart{For: 3 * time.Second, PerSecond: 9.8})
	assert.Assert(t, limited)
	assert.Equal(t, n, 9)
	for _, none := range []routing.SlowStart{{}, {For: time.Second}, {PerSecond: 4}} {
		_, limited = b.Permits(none)
		assert.Assert(t, !limited)
	}
	n, limited = Bound{Factor: 1}.Permits(routing.SlowStart{For: time.Second, PerSecond: 1})
	assert.Assert(t, limited && n == 0, "too little to share out: nothing")
	n, _ = b.Permits(routing.SlowStart{For: time.Second, PerSecond: 1e300})
	assert.Equal(t, n, mostPermits)
}

func TestServerIsColdUntilLastSourceExpires(t *testing.T) {
	var c Cold
	assert.Assert(t, !c.Active(start))
	assert.Assert(t, c.Mark(ByEntry, at(1000), start))
	assert.Assert(t, !c.Mark(ByEvacuationCancelled, at(3000), at(100)))
	c.Clear(ByEntry)
	assert.Assert(t, c.Active(at(2999)) && !c.Active(at(3000)))
	assert.Assert(t, !c.Mark(ByConnectFailures, at(2000), at(3500)), "it is over")
}

func TestPermitAllowsOneRequestPerWindow(t *testing.T) {
	var c Cold
	for range 2 {
		assert.Assert(t, c.Free(2, at(0)))
		c.Use(at(0))
	}
	assert.Assert(t, !c.Free(2, at(1099)))
	assert.Assert(t, c.Free(2, at(1100)))
	c.UseAll(2, at(1100))
	assert.Assert(t, !c.Free(2, at(2000)), "what was sent before counts")
	assert.Assert(t, !c.Free(0, at(9000)))
}

// names are those of n routers.
func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.%d.%d:1", i/200, i%200))
	}
	return list
}

// fleetOf is the fleet as one router knows it.
func fleetOf(self string, view []string) *Fleet {
	f := NewFleet(self)
	f.Set(slices.DeleteFunc(slices.Clone(view), func(s string) bool { return s == self }), true)
	return f
}

// Each permit is one router's, at any size of the fleet.
func TestEachPermitHasOneHolder(t *testing.T) {
	for _, size := range []int{1, 3, 8, 91, 295} {
		view := names(size)
		for server := uint64(1); server < 20; server++ {
			sum, holders := 0, 0
			for _, self := range view {
				n := fleetOf(self, view).PermitShare(server*0x1234567, 9)
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
	assert.Equal(t, f.PermitShare(7, 9), 9, "it is alone")
	f.Set([]string{"b"}, false)
	assert.Equal(t, f.PermitShare(7, 9), 0)
}

// Whatever sets of routers two parts of a fleet take for the whole one, together they have
// at most twice the permits.
func TestTwoViewsHaveAtMostTwiceThePermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 60).Draw(t, "routers"))
		permits := rapid.IntRange(0, 20).Draw(t, "permits")
		server := rapid.Uint64().Draw(t, "server")
		seen := [2][]string{}
		for v := range seen {
			seen[v] = rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "view")
		}
		sum := 0
		for i, self := range all {
			view := seen[rapid.IntRange(0, 1).Draw(t, fmt.Sprint("of ", i))]
			if slices.Contains(view, self) {
				sum += fleetOf(self, view).PermitShare(server, permits)
			}
		}
		if sum > views*permits {
			t.Fatalf("%d of %d", sum, permits)
		}
	})
}

// world is a fleet before one cold server: routers that restart, join and are cut off, whose
// requests take different times to arrive.
type world struct {
	ms      int
	names   []string
	routers []*sender
	arrived []int
}

// sender is one router. view is whom it knows; it knows them well enough from trustedAt on.
type sender struct {
	cold      Cold
	view      []string
	trustedAt int
}

const (
	worldPermits = 9
	joinMs       = 2000
	// delayMost is what a request may take longer than another.
	delayMost = int(Window/time.Millisecond) - 1000
)

func newWorld(n int) *world {
	w := &world{names: names(n)}
	for range n {
		w.routers = append(w.routers, &sender{view: w.names})
	}
	return w
}

// step makes one step that b chooses. A router that starts again knows the same others once
// it has joined; part of the fleet takes those that fell silent for gone.
func (w *world) step(b byte) {
	i := int(b>>3) % len(w.routers)
	r := w.routers[i]
	switch b % 8 {
	case 0, 1, 2, 3: // everyone has requests for it
		for k, s := range w.routers {
			f := NewFleet(w.names[k])
			f.Set(slices.DeleteFunc(slices.Clone(s.view), func(n string) bool { return n == w.names[k] }), w.ms >= s.trustedAt)
			for s.cold.Free(f.PermitShare(1, worldPermits), at(w.ms)) {
				s.cold.Use(at(w.ms))
				w.arrived = append(w.arrived, w.ms+(k*37+int(b))%delayMost)
			}
		}
	case 4:
		w.routers[i] = &sender{view: r.view, trustedAt: w.ms + joinMs}
	case 5: // it forgets those that it takes for gone; the others do later
		r.view = w.names[:1+len(w.names)/2]
	case 6:
		r.view = w.names
	case 7:
		w.ms += 90
	}
	w.ms += 20
}

// most is the most that arrived in a second.
func (w *world) most() (most int) {
	slices.Sort(w.arrived)
	first := 0
	for i, ms := range w.arrived {
		for ms-w.arrived[first] >= 1000 {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// FuzzBound: whatever routers do, in no second more arrives than what two views allow.
func FuzzBound(f *testing.F) {
	f.Add(uint8(4), []byte{0, 4, 7, 7, 0, 5, 0, 12, 7, 1, 2, 6, 0})
	f.Fuzz(func(t *testing.T, size uint8, steps []byte) {
		w := newWorld(1 + int(size)%24)
		for _, b := range steps[:min(len(steps), 300)] {
			w.step(b)
		}
		if most := w.most(); most > views*worldPermits {
			t.Fatalf("%d in a second", most)
		}
	})
}
