package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
)

// ends are what a router tells of a content under which n servers crashed, one each second.
func ends(c routing.ContentHash, n int) []contentCrashes {
	w := contentCrashes{Content: c}
	for i := range n {
		w.Ends = append(w.Ends, serverCrash{Server: routing.ServerKey(i + 1), RanMs: 60, AgeMs: int64(1000 * (n - i))})
	}
	return []contentCrashes{w}
}

// In a fleet of hundreds of routers each end is seen by another router, and each reaches
// all: a reporter tells on, outward what its data centre's routers told, and inward all.
func TestEndsAreToldOnByReporters(t *testing.T) {
	now := time.Unix(1000, 0)
	p := reporter(t, now, 9)
	p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Ends: ends(1, 1)}, now)
	p.take(heartbeat{Control: "127.0.0.62:1", DataCentre: "dc", Kind: kindOwn, Ends: ends(1, 2)}, now)
	p.take(heartbeat{Control: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Ends: ends(2, 1)}, now)
	out, in := p.takePending(updates{}, true, true)
	contents := func(list []poison.Record) (all []string) {
		for _, r := range list {
			all = append(all, fmt.Sprintf("%v:%d", r.Content, len(r.Crashes)))
		}
		return all
	}
	assert.DeepEqual(t, contents(out.crashes), []string{"1:1", "1:2"})
	assert.DeepEqual(t, contents(in.crashes), []string{"1:1", "1:2", "2:1"})
	p.take(heartbeat{Control: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Ends: ends(3, poison.CrashesToBlock)}, now)
	assert.Equal(t, p.State.BlockedCount(), 1)
}

// Grounds of the figures: an engine ends with 40 requests, of which one router runs eight
// at most; a blocked content is repeated every 400 ms.
func TestWhatIsToldOfEndsIsShort(t *testing.T) {
	now := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return now }, noWait)
	var told []contentCrashes
	for c := range 8 {
		told = append(told, ends(routing.ContentHash(0xffffffffffffff00+uint64(c)), 1)...)
	}
	text, err := cbor.Marshal(told)
	assert.NilError(t, err)
	assert.Assert(t, len(text) <= 8*30, "%d bytes", len(text))
	text, err = cbor.Marshal(ends(0xffffffffffffff00, poison.CrashesToBlock))
	assert.NilError(t, err)
	assert.Assert(t, len(text) <= 60, "%d bytes", len(text))
	records := readCrashes(told, 7*time.Millisecond)
	assert.Equal(t, records[0].Crashes[0].Age, 1007*time.Millisecond)
	many := make([]poison.Record, 3*crashesMost)
	assert.Equal(t, len(p.heartbeat(kindOwn, reportOf(many), nil).Ends), crashesMost)
}

// A router that hears fewer than half of those it knows may be cut off.
func TestARouterThatMissesMany(t *testing.T) {
	now := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return now }, noWait)
	assert.Assert(t, p.MissesMany(), "it hears none")
	for i := range 7 {
		p.Add(false, fmt.Sprintf("127.0.2.%d:1", i))
	}
	for i, missing := range []bool{true, true, true, false, false} {
		assert.Equal(t, p.MissesMany(), missing, "%d of 7 are heard", i)
		p.take(heartbeat{Control: fmt.Sprintf("127.0.2.%d:1", i), DataCentre: "dc"}, now)
	}
}

// reportOf is a report of ends alone.
func reportOf(records []poison.Record) state.Report {
	r := state.NewReport()
	r.Crashes = records
	return r
}
