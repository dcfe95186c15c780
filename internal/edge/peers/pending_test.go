package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/state"
)

// reporter returns a reporter of 21 routers in two data centres, with so many cores
// against the others' two.
func reporter(t *testing.T, now time.Time, cores float32) *Peers {
	t.Helper()
	p := lone(t, func() time.Time { return now }, noWait)
	p.Self.Cores = cores
	p.spread = spread.New(p.Self)
	for i := range 20 {
		p.take(heartbeat{Control: fmt.Sprintf("127.0.0.%d:1", 60+i), DataCentre: []string{"dc", "far"}[i%2], Version: 1, Cores: float64(2 + i/18)}, now)
	}
	assert.Assert(t, !p.spread.IsMesh() && p.spread.IsReporter())
	return p
}

// What a router sent where reaches all routers of a large fleet in three reports: its
// reporter's, that of the other data centre's reporter, and on to its routers.
// Grounds of the sizes: above 12 routers there are reporters.
func TestUpdatesReachTheOtherDataCentreOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := reporter(t, now, 9)
	near := pick.SentParts{1: {1, 2}}
	far := pick.SentParts{2: {3}}
	p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Sent: near}, now)
	p.take(heartbeat{Control: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Sent: far}, now)
	p.take(heartbeat{Control: "127.0.0.62:1", DataCentre: "dc", Kind: kindTotal, Sent: pick.SentParts{3: {9}}}, now)
	out, in := p.takePending(updates{sent: pick.SentParts{1: {4}}}, true, false)
	assert.DeepEqual(t, out.sent, pick.SentParts{1: {1, 2, 4}})
	assert.Equal(t, len(in.sent), 0, "it is not told yet")
	out, in = p.takePending(updates{}, true, true)
	assert.Equal(t, len(out.sent), 0, "it was told")
	assert.DeepEqual(t, in.sent, pick.SentParts{1: {1, 2, 4}, 2: {3}})
}

// In a small fleet each tells each: nothing is kept to be told on, or it would grow.
func TestAMeshTellsNothingOn(t *testing.T) {
	now := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return now }, noWait)
	p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Sent: pick.SentParts{1: {1}}}, now)
	_, in := p.takePending(updates{}, true, true)
	assert.Equal(t, len(in.sent), 0)
}

func TestWhatIsKeptToBeToldIsBounded(t *testing.T) {
	n := newPending()
	for range 10 * sentMost {
		n.keep(kindOwn, updates{sent: pick.SentParts{1: {1}}}, true)
	}
	assert.Equal(t, len(n.outward.sent[1]), sentMost)
	assert.Equal(t, len(n.inward.sent[1]), sentMost)
}

// Both reporters of a data centre hear the same first tokens; one tells them on, and
// each reporter those that it alone hears from another data centre.
func TestFirstTokensAreToldOnOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	seen := map[string][5]float32{"llm": {3, 300, 30, 90000, 9000}}
	counts := map[bool]float64{}
	for _, first := range []bool{true, false} {
		cores := float32(2.5) // after one of 3
		if first {
			cores = 9
		}
		p := reporter(t, now, cores)
		assert.Equal(t, p.spread.IsFirstReporter(), first)
		p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Firsts: seen}, now)
		p.take(heartbeat{Control: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Firsts: seen}, now)
		out, in := p.takePending(updates{}, true, true)
		counts[first] = out.firsts["llm"].N
		want := 3.0
		if first {
			want = 6
		}
		assert.Equal(t, in.firsts["llm"].N, want)
	}
	assert.DeepEqual(t, counts, map[bool]float64{true: 3, false: 0})
}

// Grounds of the figures: 59 routers of a data centre before 160 engines and 60
// customers, all in use. The reports between data centres are priced; in their old form
// such a sum took 5,940 bytes, and each went to both reporters.
func TestASumOfALargeDataCentreIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return now }, noWait)
	r := state.NewReport()
	for i := range 160 {
		r.Loads[routing.Identity{ID: fmt.Sprintf("i-%08x", i*77777)}.Key()] = pick.Load{PendingTokens: int64(2000 + 91*i), MemoryTokens: int64(60000 + 997*i), Running: 10 + i%50}
	}
	for i := range 60 {
		r.Rates[fmt.Sprintf("cust%03d", i)] = fair.Rates{Demand: 60000, Served: 59000}
	}
	text, err := cbor.Marshal(p.heartbeat(kindSum, r, nil))
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 3500, "%d bytes", len(text))
	var back heartbeat
	assert.NilError(t, cbor.Unmarshal(text, &back))
	got := back.report(0)
	for key, l := range r.Loads {
		assert.Assert(t, max(got.Loads[key].PendingTokens-l.PendingTokens, l.PendingTokens-got.Loads[key].PendingTokens) <= waitingUnit/2)
		assert.Equal(t, got.Loads[key].Running, l.Running)
	}
}
