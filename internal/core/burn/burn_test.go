package burn

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/msg"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// router is a simulated router.
type router struct {
	incarnation uint64
	started     time.Time
	counts      map[msg.CustomerID]Totals
	down        bool // cannot be scraped
}

// referenceHistory is a simple reference implementation that keeps all scrapes and
// computes each number from all of them.
type referenceHistory struct{ scrapes []Scrape }

// sum returns the increase of the counters of all routers in scrapes after from.
func (ref referenceHistory) sum(from time.Time, id msg.CustomerID, o Objective) (c Counts) {
	for i, r := range ref.scrapes {
		if !r.At.After(from) {
			continue
		}
		for _, now := range r.Samples {
			c = c.plus(ref.increase(i, now, id, o))
		}
	}
	return c
}

// increase returns the increase of the counter since the router's last sample
// before scrape i.
func (ref referenceHistory) increase(i int, now Sample, id msg.CustomerID, o Objective) Counts {
	count := now.Customers[id][o]
	for j := i - 1; j >= 0; j-- {
		for _, previous := range ref.scrapes[j].Samples {
			if previous.Router != now.Router {
				continue
			}
			old := previous.Customers[id][o]
			if previous.Incarnation != now.Incarnation || count.decreasedFrom(old) {
				return count
			}
			return Counts{Total: count.Total - old.Total, Bad: count.Bad - old.Bad}
		}
	}
	if ref.scrapes[i].At.Add(-now.Uptime).Before(ref.scrapes[0].At) {
		return Counts{}
	}
	return count
}

// restarts returns the number of the router's restarts in scrapes after from.
func (ref referenceHistory) restarts(from time.Time, id msg.RouterID) (n uint64) {
	var last *Sample
	for _, r := range ref.scrapes {
		for _, now := range r.Samples {
			if now.Router != id {
				continue
			}
			if last != nil && r.At.After(from) && last.Incarnation != now.Incarnation {
				n++
			}
			last = &now
		}
	}
	return n
}

var customers = []msg.CustomerID{"a", "g/b", "g/h/c"}

func drawSLOs(t *rapid.T) map[msg.CustomerID]SLO {
	p := map[msg.CustomerID]SLO{}
	for _, id := range customers {
		p[id] = SLO{
			FirstToken: true,
			Fraction:   rapid.SampledFrom([]float64{0, 0.5, 0.9, 0.95}).Draw(t, "fraction"),
		}
	}
	return p
}

// serve adds random outcomes to the router's counters.
func (r *router) serve(t *rapid.T) {
	for _, id := range customers {
		c := r.counts[id]
		for o := range c {
			n := rapid.Uint64Range(0, 9).Draw(t, "n")
			bad := rapid.Uint64Range(0, n).Draw(t, "bad")
			c[o] = c[o].plus(Counts{Total: n, Bad: bad})
		}
		r.counts[id] = c
	}
}

func (r *router) restart(at time.Time) {
	r.incarnation++
	r.started = at
	r.counts = map[msg.CustomerID]Totals{}
}

func (r *router) sample(id msg.RouterID, at time.Time) Sample {
	s := Sample{Router: id, Incarnation: r.incarnation, Uptime: at.Sub(r.started), Customers: map[msg.CustomerID]Totals{}}
	for c, v := range r.counts {
		s.Customers[c] = v
	}
	return s
}

// TestMatchesReferenceComputation simulates routers that serve, restart and at times
// cannot be scraped, and compares every number of the report with the reference
// implementation.
func TestMatchesReferenceComputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, ref, now := New(), referenceHistory{}, epoch
		routers := map[msg.RouterID]*router{}
		for i := range 3 {
			r := &router{}
			r.restart(epoch.Add(-time.Hour))
			routers[msg.RouterID(fmt.Sprint("r", i))] = r
		}
		slos := drawSLOs(t)
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			step := rapid.SampledFrom([]time.Duration{15 * time.Second, 4 * time.Minute, time.Hour, 9 * time.Hour}).Draw(t, "step")
			now = now.Add(step)
			scrape := Scrape{At: now}
			for _, id := range []msg.RouterID{"r0", "r1", "r2"} {
				r := routers[id]
				switch rapid.IntRange(0, 5).Draw(t, "fate") {
				case 0:
					r.restart(now.Add(-step / 2))
				case 1:
					r.down = !r.down
				}
				r.serve(t)
				if r.down {
					scrape.Missing = append(scrape.Missing, id)
					continue
				}
				scrape.Samples = append(scrape.Samples, r.sample(id, now))
			}
			assert.NilError(t, h.Add(scrape))
			ref.scrapes = append(ref.scrapes, scrape)
			checkReport(t, h, ref, slos)
		}
	})
}

// checkReport compares the current report with the reference implementation.
func checkReport(t *rapid.T, h *History, ref referenceHistory, slos map[msg.CustomerID]SLO) {
	report := h.Report(slos)
	last := ref.scrapes[len(ref.scrapes)-1]
	assert.Equal(t, report.At, last.At)
	for _, w := range report.Windows {
		want := last.At.Add(-w.Length)
		assert.Equal(t, w.Short, want.Before(report.Since))
		if !w.Short {
			assert.Assert(t, !w.From.After(want))
		}
		for _, r := range w.Routers {
			assert.Equal(t, r.Restarts, ref.restarts(w.From, r.Router))
		}
		for _, id := range last.Missing {
			assert.Assert(t, w.Partial, "%s is missing", id)
		}
	}
	for _, row := range report.Rows {
		for i, b := range row.Burns {
			checkBurn(t, row, b, report.Windows[i], ref, slos)
		}
	}
}

func checkBurn(t *rapid.T, row Row, b Burn, w WindowCoverage, ref referenceHistory, slos map[msg.CustomerID]SLO) {
	var counts Counts
	var allowed float64
	hasSLO := false
	for _, id := range customers {
		p := slos[id]
		included := id == row.ID && !row.Group
		for _, g := range Groups(id) {
			included = included || row.Group && g == row.ID
		}
		if !included || row.Group && p.Fraction == 0 {
			continue
		}
		if row.Objective == BetweenTokens { // no customer has this objective
			if !row.Group {
				counts = counts.plus(ref.sum(w.From, id, row.Objective))
			}
			continue
		}
		hasSLO = hasSLO || p.Fraction > 0
		c := ref.sum(w.From, id, row.Objective)
		counts = counts.plus(c)
		allowed += float64(c.Total) * (1 - p.Fraction)
	}
	assert.Equal(t, b.Counts, counts, "%v %v", row, w)
	switch {
	case !hasSLO:
		assert.Equal(t, b.State, NoObjective)
	case counts.Total == 0:
		assert.Assert(t, b.State == NoRequests && !w.hasGaps() || b.State == NoData, "%v", b)
	default:
		assert.Equal(t, b.State, Measured)
		assert.Assert(t, abs(b.Rate-float64(counts.Bad)/allowed) < 1e-9)
	}
}

func abs(x float64) float64 { return max(x, -x) }

// TestOldCheckpointsAreThinned checks that after days of scrapes the windows still
// start close to their nominal start, and that few checkpoints are kept.
func TestOldCheckpointsAreThinned(t *testing.T) {
	h, now := New(), epoch
	r := &router{}
	r.restart(epoch)
	for i := range 5 * 24 * 60 {
		now = now.Add(time.Minute)
		r.counts["a"] = Totals{Refused: {Total: uint64(i)}}
		assert.NilError(t, h.Add(Scrape{At: now, Samples: []Sample{r.sample("r", now)}}))
	}
	assert.Assert(t, len(h.State().Checkpoints) < 400, "%d", len(h.State().Checkpoints))
	for _, w := range h.Report(nil).Windows {
		assert.Assert(t, !w.Partial && !w.Short)
		assert.Assert(t, w.Span >= w.Length && w.Span <= w.Length+oldSpacing+mediumSpacing, "%v", w)
		if w.Length <= time.Hour {
			assert.Equal(t, w.Span, w.Length)
		}
	}
}

// TestUnreadRoutersAreNotCountedAsZero checks the states reported when routers
// cannot be scraped.
func TestUnreadRoutersAreNotCountedAsZero(t *testing.T) {
	h := New()
	p := map[msg.CustomerID]SLO{"a": {Fraction: 0.9}}
	assert.Equal(t, len(h.Report(p).Rows), 0)
	assert.NilError(t, h.Add(Scrape{At: epoch, Missing: []msg.RouterID{"r"}}))
	assert.NilError(t, h.Add(Scrape{At: epoch.Add(time.Minute), Missing: []msg.RouterID{"r"}}))
	report := h.Report(p)
	assert.Equal(t, len(report.Rows), 4) // "a" and the fleet, refused and failed
	for _, row := range report.Rows {
		assert.Equal(t, row.Burns[0].State, NoData)
	}
	assert.Assert(t, report.Windows[0].Partial)
	assert.Assert(t, report.Windows[0].Routers[0].MissingNow)

	var outOfOrder *OutOfOrderError
	err := h.Add(Scrape{At: epoch})
	outOfOrder, _ = err.(*OutOfOrderError)
	assert.Assert(t, outOfOrder != nil)
}

// TestDecreasingCounterIsRestart checks that a counter that decreases within one
// incarnation is counted as restarted from 0.
func TestDecreasingCounterIsRestart(t *testing.T) {
	h := New()
	for i, n := range []uint64{100, 110, 4} {
		at := epoch.Add(time.Duration(i) * time.Minute)
		s := Sample{Router: "r", Incarnation: 1, Uptime: time.Hour, Customers: map[msg.CustomerID]Totals{"a": {Failed: {Total: n}}}}
		assert.NilError(t, h.Add(Scrape{At: at, Samples: []Sample{s}}))
	}
	report := h.Report(map[msg.CustomerID]SLO{"a": {Fraction: 0.9}})
	for _, row := range report.Rows {
		if row.Objective == Failed {
			assert.Equal(t, row.Burns[0].Counts.Total, uint64(14))
		}
	}
	assert.Equal(t, report.Windows[0].Routers[0].Restarts, uint64(1))
}

// TestAbsentRouterIsDropped checks that a router that is absent for longer than any
// window is dropped, and treated as a new router when it returns.
func TestAbsentRouterIsDropped(t *testing.T) {
	h := New()
	add := func(d time.Duration, ids ...msg.RouterID) {
		scrape := Scrape{At: epoch.Add(d)}
		for _, id := range ids {
			scrape.Samples = append(scrape.Samples, Sample{Router: id, Incarnation: 1, Uptime: 1000 * time.Hour})
		}
		assert.NilError(t, h.Add(scrape))
	}
	add(0, "stays", "leaves")
	add(time.Minute, "stays", "leaves")
	for i := range 90 {
		add(time.Duration(i+1)*time.Hour, "stays")
	}
	_, found := h.State().Routers["leaves"]
	assert.Assert(t, !found)
	add(91*time.Hour, "stays", "leaves")
	w := h.Report(nil).Windows[0]
	assert.Equal(t, w.Routers[0].Router, msg.RouterID("leaves"))
	assert.Assert(t, w.Routers[0].Lost > 0 && w.Routers[0].Lost < 1000*time.Hour)
}

// TestDepartedRouterHasLostTime checks that the time between a router's last sample
// and the first scrape without it is reported as lost.
func TestDepartedRouterHasLostTime(t *testing.T) {
	h := New()
	samples := []Sample{{Router: "a", Incarnation: 1, Uptime: time.Hour}, {Router: "b", Incarnation: 1, Uptime: time.Hour}}
	assert.NilError(t, h.Add(Scrape{At: epoch, Samples: samples}))
	assert.NilError(t, h.Add(Scrape{At: epoch.Add(30 * time.Second), Samples: samples}))
	assert.NilError(t, h.Add(Scrape{At: epoch.Add(60 * time.Second), Samples: samples[:1]}))
	assert.NilError(t, h.Add(Scrape{At: epoch.Add(90 * time.Second), Samples: samples[:1]}))
	w := h.Report(nil).Windows[0]
	assert.Equal(t, len(w.Routers), 1)
	assert.Equal(t, w.Routers[0].Lost, 30*time.Second)
	assert.Assert(t, abs(w.Read-0.8) < 1e-9, "%v", w.Read)
}
