package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lean is a fleet whose data centres have ten large hosts each, with little to tell but of itself.
func lean(routers, servers int) Scenario {
	return Scenario{
		Seed: 1, Length: 9 * time.Second, Routers: routers, Servers: servers, Customers: 20, Large: 10, Requests: 100,
		Changes: []Change{{At: 8 * time.Second, Servers: 1}},
	}
}

// slopes says that what a router spends, and what is told between data centres, does not grow from
// one size of the fleet to the next.
func slopes(t *testing.T, sizes ...int) {
	t.Helper()
	var before *Result
	for i, n := range sizes {
		r := Run(lean(n, 100))
		t.Logf("%d routers: ready %s, known %s, start %+v, between %.0f B/s, view %d, changes %+v", n, r.Ready, r.Known, r.Start, r.Between, r.View, r.Changes)
		for role, l := range r.Steady {
			t.Logf("%s: %+v", role, l)
		}
		assert.Assert(t, r.Ready >= 0 && r.Known >= 0, "%d routers: not all know all", n)
		assert.Equal(t, len(r.Changes), 1, "%d routers: the change did not reach all", n)
		for part, left := range r.Left {
			assert.Equal(t, left, int64(0), "%d routers: %s", n, part)
		}
		// Three seeds read the store; then three readers wait for changes.
		assert.Assert(t, r.Start.StoreCalls <= 60, "%d routers: %d calls", n, r.Start.StoreCalls)
		usual := r.Between * r.Changes[0].Last.Seconds()
		assert.Assert(t, float64(r.Changes[0].Between) <= 1.5*usual+4096, "%d routers: %d bytes between data centres, %.0f is usual", n, r.Changes[0].Between, usual)
		if before != nil {
			grows := func(what string, small, large, most float64) {
				t.Helper()
				assert.Assert(t, large <= most*small, "%s: %.0f at %d routers, %.0f at %d", what, small, sizes[i-1], large, n)
			}
			times := float64(n) / float64(sizes[i-1])
			was, is := before.Steady[Plain.String()], r.Steady[Plain.String()]
			grows("bytes in", was.InB, is.InB, 1.3)
			grows("bytes out", was.OutB, is.OutB, 1.3)
			grows("messages out", was.Out, is.Out, 1.1)
			grows("bytes a second between data centres", before.Between, r.Between, 1.3)
			grows("messages of a start", float64(before.Start.Messages), float64(r.Start.Messages), 1.4*times)
			grows("bytes of a start between data centres", float64(before.Start.Between), float64(r.Start.Between), 1.5*times)
			was, is = before.Steady[Reporter.String()], r.Steady[Reporter.String()]
			grows("messages that a reporter takes in", was.In, is.In, 1.1*times)
		}
		before = r
	}
}

func TestWhatARouterSpendsDoesNotGrowWithTheFleet(t *testing.T) { slopes(t, 120, 360) }

// What a change costs does not grow with the number of servers, and a first view takes 45 bytes
// for each.
func TestAChangeCostsTheSameAtAnyNumberOfServers(t *testing.T) {
	few, many := Run(lean(30, 1000)), Run(lean(30, 10000))
	for _, r := range []*Result{few, many} {
		assert.Assert(t, r.Known >= 0)
		assert.Equal(t, len(r.Changes), 1)
	}
	t.Logf("views of %d and %d bytes, changes %+v %+v", few.View, many.View, few.Changes, many.Changes)
	assert.Assert(t, many.View-few.View <= 45*9000, "%d bytes", many.View-few.View)
	assert.Assert(t, many.Changes[0].Between <= few.Changes[0].Between*3/2)
	assert.Assert(t, many.Steady[Plain.String()].InB <= 1.1*few.Steady[Plain.String()].InB)
}

// Both reporters of a data centre end at once: its other routers have reports again, and all are
// back with their views once they have started, also where the whole fleet lost power.
func TestReportersAndFleetsThatEndComeBack(t *testing.T) {
	s := lean(120, 100)
	s.Length = 14 * time.Second
	s.Changes = nil
	s.Faults = []Fault{{At: 5 * time.Second, Until: 7 * time.Second, Routers: 2}, {At: 9 * time.Second, Until: 10 * time.Second}}
	r := Run(s)
	t.Logf("heard %v, back %v", r.Heard, r.Back)
	assert.Equal(t, len(r.Heard), 1)
	assert.Equal(t, len(r.Back), 2)
}

// The readers are cut off from the store: others follow it in their place, a few, and a change
// reaches all.
func TestReadersThatAreCutOffAreReplaced(t *testing.T) {
	s := lean(120, 100)
	s.Length = 14 * time.Second
	s.Faults = []Fault{{At: 4 * time.Second, Until: 14 * time.Second, Kind: CutStore}}
	r := Run(s)
	assert.Equal(t, len(r.Changes), 1, "the change did not reach all")
	t.Logf("%+v, %d calls", r.Changes, r.Start.StoreCalls)
}

// The same scenario gives the same result.
func TestAPlayRepeats(t *testing.T) {
	a, b := Run(lean(40, 100)), Run(lean(40, 100))
	assert.DeepEqual(t, a, b)
}
