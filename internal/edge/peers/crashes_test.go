package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/golden"
)

// crashesUnder returns the report of a content under which n servers crashed, one per second.
func crashesUnder(c routing.ContentHash, n int) []contentCrashes {
	w := contentCrashes{Content: c}
	for i := range n {
		w.Crashes = append(w.Crashes, serverCrash{Server: routing.ServerKey(i + 1), RanMs: 60, AgeMs: int64(1000 * (n - i))})
	}
	return []contentCrashes{w}
}

// In a fleet of hundreds of routers each crash of a content is observed by a different router and
// must reach all of them. A reporter relays the crashes of its own data centre to the others, and
// all crashes to its own.
func TestReportersRelayCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newReporter(t, now, 9)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Crashes: crashesUnder(1, 1)}, now)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.62:1", DataCentre: "dc", Kind: kindOwn, Crashes: crashesUnder(1, 2)}, now)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Crashes: crashesUnder(2, 1)}, now)
	remote, local := p.takePending(updates{}, true, true)
	contents := func(list []poison.Record) (all []string) {
		for _, r := range list {
			all = append(all, fmt.Sprintf("%v:%d", r.Content, len(r.Crashes)))
		}
		return all
	}
	assert.DeepEqual(t, contents(remote.crashes), []string{"1:1", "1:2"})
	assert.DeepEqual(t, contents(local.crashes), []string{"1:1", "1:2", "2:1"})
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Crashes: crashesUnder(3, poison.CrashesToBlock)}, now)
	assert.Equal(t, p.State.BlockedCount(poison.Contents), 1)
}

// The figures: an engine crashes with 40 requests, of which one router runs at most eight, and a
// blocked content is reported again every 400 ms.
func TestCrashReportsAreSmall(t *testing.T) {
	now := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return now }, noWait)
	var crashes []contentCrashes
	for c := range 8 {
		crashes = append(crashes, crashesUnder(routing.ContentHash(0xffffffffffffff00+uint64(c)), 1)...)
	}
	data, err := cbor.Marshal(crashes)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 8*30, "%d bytes", len(data))
	data, err = cbor.Marshal(crashesUnder(0xffffffffffffff00, poison.CrashesToBlock))
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 60, "%d bytes", len(data))
	records := crashesFromWire(crashes, 7*time.Millisecond)
	assert.Equal(t, records[0].Crashes[0].Age, 1007*time.Millisecond)
	many := make([]poison.Record, 3*maxCrashRecords)
	assert.Equal(t, len(p.newHeartbeat(kindOwn, crashReport(many), nil).Crashes), maxCrashRecords)
}

// A router that hears fewer than half of the known routers may be cut off.
func TestHearsMinority(t *testing.T) {
	now := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return now }, noWait)
	assert.Assert(t, p.HearsMinority(), "no other router is heard")
	for i := range 7 {
		p.Add(false, fmt.Sprintf("127.0.2.%d:1", i))
	}
	for i, missing := range []bool{true, true, true, false, false} {
		assert.Equal(t, p.HearsMinority(), missing, "%d of 7 routers are heard", i)
		p.handleHeartbeat(heartbeat{ControlAddr: fmt.Sprintf("127.0.2.%d:1", i), DataCentre: "dc"}, now)
	}
}

// crashReport returns a report that contains only crashes.
func crashReport(records []poison.Record) state.Report {
	r := state.NewReport()
	r.Crashes = records
	return r
}

// A reporter relays the crashes under parts of prompts like those under contents, with whether their
// sender has blocked the part, and a joining router gets them with its first view.
func TestPartCrashesReachOtherRouters(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newReporter(t, now, 9)
	blocked := []partCrashes{{Crashes: crashesUnder(7, poison.CrashesToBlock)[0], Blocked: true}}
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, PartCrashes: blocked}, now)
	assert.Equal(t, p.State.BlockedCount(poison.Parts), 1)
	assert.Equal(t, p.State.BlockedCount(poison.Contents), 0)
	remote, local := p.takePending(updates{}, true, true)
	assert.Assert(t, len(remote.partCrashes) == 1 && remote.partCrashes[0].Blocked)
	assert.Assert(t, len(local.partCrashes) == 1 && local.partCrashes[0].Blocked)

	assert.Assert(t, p.State.ApplyConfig(&routing.Config{Version: 5}, []byte(`{"version":5}`)))
	p.State.ReplaceServers([]routing.Server{{ID: "i", State: routing.ServerReady}}, roster.Stamp{Era: 1, Version: 50}, false)
	p.State.ConfirmConfig(0)
	decode := func([]byte) (*routing.Config, error) { return &routing.Config{Version: 5}, nil }
	for _, extended := range []bool{true, false} {
		data, err := p.encodeView(extended)
		assert.NilError(t, err)
		joining := isolatedPeers(t, func() time.Time { return now }, noWait)
		joining.Decode = decode
		assert.NilError(t, joining.applyView(data, time.Millisecond))
		assert.Equal(t, joining.State.BlockedCount(poison.Parts) == 1, extended, "earlier releases ask for no extended view")
	}
}

// The record of a part in a heartbeat keeps its bytes.
func TestEncodedPartCrashesStay(t *testing.T) {
	golden.Check(t, "part-crashes.cbor", cbor.Marshal, cbor.Unmarshal, partCrashes{
		Crashes: contentCrashes{Content: 1, Crashes: []serverCrash{{Server: 2, RanMs: 3, AgeMs: 4}}, SucceededAgeMs: 5, Stored: true},
		Blocked: true,
	})
}
