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

// newReporter returns a reporter of 21 routers in two data centres. It has the given number of
// cores, the other routers have two or three.
func newReporter(t *testing.T, now time.Time, cores float32) *Peers {
	t.Helper()
	p := isolatedPeers(t, func() time.Time { return now }, noWait)
	p.Self.Cores = cores
	p.spread = spread.New(p.Self)
	for i := range 20 {
		p.handleHeartbeat(heartbeat{ControlAddr: fmt.Sprintf("127.0.0.%d:1", 60+i), DataCentre: []string{"dc", "far"}[i%2], ConfigVersion: 1, Cores: float64(2 + i/18)}, now)
	}
	assert.Assert(t, !p.spread.IsMesh() && p.spread.IsReporter())
	return p
}

// In a large fleet the sent parts of prompts reach all routers in three reports: to the
// router's reporter, to a reporter of the other data centre, and to its routers. Fleets of more than 12
// routers have reporters.
func TestUpdatesReachOtherDataCentreOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newReporter(t, now, 9)
	near := pick.SentParts{1: {1, 2}}
	far := pick.SentParts{2: {3}}
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Sent: near}, now)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Sent: far}, now)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.62:1", DataCentre: "dc", Kind: kindTotal, Sent: pick.SentParts{3: {9}}}, now)
	remote, local := p.takePending(updates{sent: pick.SentParts{1: {4}}}, true, false)
	assert.DeepEqual(t, remote.sent, pick.SentParts{1: {1, 2, 4}})
	assert.Equal(t, len(local.sent), 0, "not sent yet")
	remote, local = p.takePending(updates{}, true, true)
	assert.Equal(t, len(remote.sent), 0, "sent before")
	assert.DeepEqual(t, local.sent, pick.SentParts{1: {1, 2, 4}, 2: {3}})
}

// In a small fleet every router reports to every other one. Updates kept for relaying would
// accumulate.
func TestMeshRelaysNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return now }, noWait)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Sent: pick.SentParts{1: {1}}}, now)
	_, local := p.takePending(updates{}, true, true)
	assert.Equal(t, len(local.sent), 0)
}

func TestPendingUpdatesAreBounded(t *testing.T) {
	n := newPending()
	for range 10 * maxSentPerServer {
		n.add(kindOwn, updates{sent: pick.SentParts{1: {1}}}, true)
	}
	assert.Equal(t, len(n.remote.sent[1]), maxSentPerServer)
	assert.Equal(t, len(n.local.sent[1]), maxSentPerServer)
}

// Both reporters of a data centre receive the same first tokens, and only one relays them. Each
// reporter relays those that it alone receives from another data centre.
func TestFirstTokensAreRelayedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	seen := map[string][5]float32{"llm": {3, 300, 30, 90000, 9000}}
	counts := map[bool]float64{}
	for _, first := range []bool{true, false} {
		cores := float32(2.5) // ranks after a router with 3
		if first {
			cores = 9
		}
		p := newReporter(t, now, cores)
		assert.Equal(t, p.spread.IsFirstReporter(), first)
		p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, FirstTokens: seen}, now)
		p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, FirstTokens: seen}, now)
		remote, local := p.takePending(updates{}, true, true)
		counts[first] = remote.firsts["llm"].N
		want := 3.0
		if first {
			want = 6
		}
		assert.Equal(t, local.firsts["llm"].N, want)
	}
	assert.DeepEqual(t, counts, map[bool]float64{true: 3, false: 0})
}

// The figures: 59 routers of a data centre with 160 engines and 60 customers, all in use. Traffic
// between data centres is charged for. In its previous form such a sum took 5,940 bytes and was
// sent to both reporters.
func TestSumOfLargeDataCentreIsSmall(t *testing.T) {
	now := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return now }, noWait)
	r := state.NewReport()
	for i := range 160 {
		r.Loads[routing.Identity{ID: fmt.Sprintf("i-%08x", i*77777)}.Key()] = pick.Load{PendingTokens: int64(2000 + 91*i), MemoryTokens: int64(60000 + 997*i), Running: 10 + i%50}
	}
	for i := range 60 {
		r.Rates[fmt.Sprintf("cust%03d", i)] = fair.Rates{Demand: 60000, Served: 59000}
	}
	data, err := cbor.Marshal(p.newHeartbeat(kindSum, r, nil))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 3500, "%d bytes", len(data))
	var back heartbeat
	assert.NilError(t, cbor.Unmarshal(data, &back))
	got := back.report(0)
	for key, l := range r.Loads {
		assert.Assert(t, max(got.Loads[key].PendingTokens-l.PendingTokens, l.PendingTokens-got.Loads[key].PendingTokens) <= waitingUnit/2)
		assert.Equal(t, got.Loads[key].Running, l.Running)
	}
}
