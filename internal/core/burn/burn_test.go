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

// router is a router as the test drives it.
type router struct {
	incarnation uint64
	started     time.Time
	counts      map[msg.CustomerID]Totals
	down        bool // cannot be read
}

// slow keeps every round and computes each number by going through all of
// them again.
type slow struct{ rounds []Round }

// sum adds, over all routers, what each counter grew by in rounds after from.
func (s slow) sum(from time.Time, id msg.CustomerID, o Objective) (c Counts) {
	for i, r := range s.rounds {
		if !r.At.After(from) {
			continue
		}
		for _, now := range r.Samples {
			c = c.plus(s.growth(i, now, id, o))
		}
	}
	return c
}

// growth is what the counter grew by since the router's sample before round i.
func (s slow) growth(i int, now Sample, id msg.CustomerID, o Objective) Counts {
	count := now.Customers[id][o]
	for j := i - 1; j >= 0; j-- {
		for _, was := range s.rounds[j].Samples {
			if was.Router != now.Router {
				continue
			}
			old := was.Customers[id][o]
			if was.Incarnation != now.Incarnation || count.below(old) {
				return count
			}
			return Counts{Total: count.Total - old.Total, Bad: count.Bad - old.Bad}
		}
	}
	if s.rounds[i].At.Add(-now.Uptime).Before(s.rounds[0].At) {
		return Counts{}
	}
	return count
}

// restarts counts the router's restarts that rounds after from show.
func (s slow) restarts(from time.Time, id msg.RouterID) (n uint64) {
	var last *Sample
	for _, r := range s.rounds {
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

func promisesFor(t *rapid.T) map[msg.CustomerID]Promise {
	p := map[msg.CustomerID]Promise{}
	for _, id := range customers {
		p[id] = Promise{
			FirstToken: true,
			Fraction:   rapid.SampledFrom([]float64{0, 0.5, 0.9, 0.95}).Draw(t, "fraction"),
		}
	}
	return p
}

// serve lets the router count some outcomes.
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

// TestAgainstSlowComputation drives routers that serve, restart and cannot be
// read, and compares every number of the report with the slow computation.
func TestAgainstSlowComputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, oracle, now := New(), slow{}, epoch
		routers := map[msg.RouterID]*router{}
		for i := range 3 {
			r := &router{}
			r.restart(epoch.Add(-time.Hour))
			routers[msg.RouterID(fmt.Sprint("r", i))] = r
		}
		promises := promisesFor(t)
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			step := rapid.SampledFrom([]time.Duration{15 * time.Second, 4 * time.Minute, time.Hour, 9 * time.Hour}).Draw(t, "step")
			now = now.Add(step)
			round := Round{At: now}
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
					round.Missing = append(round.Missing, id)
					continue
				}
				round.Samples = append(round.Samples, r.sample(id, now))
			}
			assert.NilError(t, h.Add(round))
			oracle.rounds = append(oracle.rounds, round)
			compare(t, h, oracle, promises)
		}
	})
}

// compare checks the report of now against the oracle.
func compare(t *rapid.T, h *History, oracle slow, promises map[msg.CustomerID]Promise) {
	report := h.Report(promises)
	last := oracle.rounds[len(oracle.rounds)-1]
	assert.Equal(t, report.At, last.At)
	for _, w := range report.Windows {
		want := last.At.Add(-w.Length)
		assert.Equal(t, w.Short, want.Before(report.Since))
		if !w.Short {
			assert.Assert(t, !w.From.After(want))
		}
		for _, r := range w.Routers {
			assert.Equal(t, r.Restarts, oracle.restarts(w.From, r.Router))
		}
		for _, id := range last.Missing {
			assert.Assert(t, w.Partial, "%s is missing", id)
		}
	}
	for _, row := range report.Rows {
		for i, b := range row.Burns {
			checkBurn(t, row, b, report.Windows[i], oracle, promises)
		}
	}
}

func checkBurn(t *rapid.T, row Row, b Burn, w WindowState, oracle slow, promises map[msg.CustomerID]Promise) {
	var counts Counts
	var allowed float64
	promised := false
	for _, id := range customers {
		p := promises[id]
		in := id == row.ID && !row.Group
		for _, g := range Groups(id) {
			in = in || row.Group && g == row.ID
		}
		if !in || row.Group && p.Fraction == 0 {
			continue
		}
		if row.Objective == BetweenTokens { // not promised to anyone
			if !row.Group {
				counts = counts.plus(oracle.sum(w.From, id, row.Objective))
			}
			continue
		}
		promised = promised || p.Fraction > 0
		c := oracle.sum(w.From, id, row.Objective)
		counts = counts.plus(c)
		allowed += float64(c.Total) * (1 - p.Fraction)
	}
	assert.Equal(t, b.Counts, counts, "%v %v", row, w)
	switch {
	case !promised:
		assert.Equal(t, b.State, NoObjective)
	case counts.Total == 0:
		assert.Assert(t, b.State == NoRequests && !w.gaps() || b.State == NoData, "%v", b)
	default:
		assert.Equal(t, b.State, Measured)
		assert.Assert(t, abs(b.Rate-float64(counts.Bad)/allowed) < 1e-9)
	}
}

func abs(x float64) float64 { return max(x, -x) }

// TestThinning checks that windows after days of rounds start close to where
// they should, and that few points are kept.
func TestThinning(t *testing.T) {
	h, now := New(), epoch
	r := &router{}
	r.restart(epoch)
	for i := range 5 * 24 * 60 {
		now = now.Add(time.Minute)
		r.counts["a"] = Totals{Refused: {Total: uint64(i)}}
		assert.NilError(t, h.Add(Round{At: now, Samples: []Sample{r.sample("r", now)}}))
	}
	assert.Assert(t, len(h.Saved().Points) < 400, "%d", len(h.Saved().Points))
	for _, w := range h.Report(nil).Windows {
		assert.Assert(t, !w.Partial && !w.Short)
		assert.Assert(t, w.Span >= w.Length && w.Span <= w.Length+farGap+middleGap, "%v", w)
		if w.Length <= time.Hour {
			assert.Equal(t, w.Span, w.Length)
		}
	}
}

// TestMissingIsNeverZero checks the states where routers cannot be read.
func TestMissingIsNeverZero(t *testing.T) {
	h := New()
	p := map[msg.CustomerID]Promise{"a": {Fraction: 0.9}}
	assert.Equal(t, len(h.Report(p).Rows), 0)
	assert.NilError(t, h.Add(Round{At: epoch, Missing: []msg.RouterID{"r"}}))
	assert.NilError(t, h.Add(Round{At: epoch.Add(time.Minute), Missing: []msg.RouterID{"r"}}))
	report := h.Report(p)
	assert.Equal(t, len(report.Rows), 4) // "a" and the fleet, refused and failed
	for _, row := range report.Rows {
		assert.Equal(t, row.Burns[0].State, NoData)
	}
	assert.Assert(t, report.Windows[0].Partial)
	assert.Assert(t, report.Windows[0].Routers[0].MissingNow)

	var late *OutOfOrderError
	err := h.Add(Round{At: epoch})
	late, _ = err.(*OutOfOrderError)
	assert.Assert(t, late != nil)
}

// TestCounterThatGoesDownIsARestart checks a counter that falls within one
// incarnation.
func TestCounterThatGoesDownIsARestart(t *testing.T) {
	h := New()
	for i, n := range []uint64{100, 110, 4} {
		at := epoch.Add(time.Duration(i) * time.Minute)
		s := Sample{Router: "r", Incarnation: 1, Uptime: time.Hour, Customers: map[msg.CustomerID]Totals{"a": {Failed: {Total: n}}}}
		assert.NilError(t, h.Add(Round{At: at, Samples: []Sample{s}}))
	}
	report := h.Report(map[msg.CustomerID]Promise{"a": {Fraction: 0.9}})
	for _, row := range report.Rows {
		if row.Objective == Failed {
			assert.Equal(t, row.Burns[0].Counts.Total, uint64(14))
		}
	}
	assert.Equal(t, report.Windows[0].Routers[0].Restarts, uint64(1))
}

// TestRouterForgotten checks that a router which is away for longer than any
// window, and returns, is counted afresh.
func TestRouterForgotten(t *testing.T) {
	h := New()
	add := func(d time.Duration, ids ...msg.RouterID) {
		round := Round{At: epoch.Add(d)}
		for _, id := range ids {
			round.Samples = append(round.Samples, Sample{Router: id, Incarnation: 1, Uptime: 1000 * time.Hour})
		}
		assert.NilError(t, h.Add(round))
	}
	add(0, "stays", "leaves")
	add(time.Minute, "stays", "leaves")
	for i := range 90 {
		add(time.Duration(i+1)*time.Hour, "stays")
	}
	_, kept := h.Saved().Routers["leaves"]
	assert.Assert(t, !kept)
	add(91*time.Hour, "stays", "leaves")
	w := h.Report(nil).Windows[0]
	assert.Equal(t, w.Routers[0].Router, msg.RouterID("leaves"))
	assert.Assert(t, w.Routers[0].Lost > 0 && w.Routers[0].Lost < 1000*time.Hour)
}

// TestRouterThatLeaves checks that the end of a router's life, which nothing
// read, is shown as lost.
func TestRouterThatLeaves(t *testing.T) {
	h := New()
	both := []Sample{{Router: "a", Incarnation: 1, Uptime: time.Hour}, {Router: "b", Incarnation: 1, Uptime: time.Hour}}
	assert.NilError(t, h.Add(Round{At: epoch, Samples: both}))
	assert.NilError(t, h.Add(Round{At: epoch.Add(30 * time.Second), Samples: both}))
	assert.NilError(t, h.Add(Round{At: epoch.Add(60 * time.Second), Samples: both[:1]}))
	assert.NilError(t, h.Add(Round{At: epoch.Add(90 * time.Second), Samples: both[:1]}))
	w := h.Report(nil).Windows[0]
	assert.Equal(t, len(w.Routers), 1)
	assert.Equal(t, w.Routers[0].Lost, 30*time.Second)
	assert.Assert(t, abs(w.Read-0.8) < 1e-9, "%v", w.Read)
}
