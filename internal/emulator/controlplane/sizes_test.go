//go:build !race

// Under the race detector these tests take minutes, and show nothing more: a play is one goroutine.

package controlplane

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// slopes says that what a router spends, and what is told between data centres, does not grow from
// one size of the fleet to the next.
func slopes(t *testing.T, sizes ...int) {
	t.Helper()
	t.Parallel()
	results := make([]*Result, len(sizes))
	var all sync.WaitGroup
	for i, n := range sizes {
		all.Go(func() { results[i] = Run(lean(n, 100)) })
	}
	all.Wait()
	var before *Result
	for i, n := range sizes {
		r := results[i]
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

// The sizes of today's largest fleet and of twice that.
func TestWhatARouterSpendsDoesNotGrowToTwiceTheLargestFleet(t *testing.T) { slopes(t, 1000, 2000) }
