package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
)

// A router that does not follow the store learns the start and the end of an evacuation from the
// next heartbeat of a router that does. A router that joins learns the evacuations, including those
// just taken back, from its first view.
func TestEvacuationsInHeartbeatsAndFirstViews(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := isolatedPeers(t, clock, noWait), isolatedPeers(t, clock, noWait)
	a.Self.Addr = "127.0.0.40:1"
	sendHeartbeat := func() {
		data, err := cbor.Marshal(a.newHeartbeat(kindOwn, state.NewReport(), nil))
		assert.NilError(t, err)
		var w heartbeat
		assert.NilError(t, cbor.Unmarshal(data, &w))
		b.handleHeartbeat(w, now)
	}
	a.State.ApplyEvacuations([]string{"x", "y"}, nil, true, roster.Stamp{Era: 3, Version: 40})
	sendHeartbeat()
	assert.Equal(t, b.State.EvacuatedCount(), 2)
	a.State.ApplyEvacuations(nil, []string{"x"}, false, roster.Stamp{Era: 3, Version: 50})
	sendHeartbeat()
	assert.Equal(t, b.State.EvacuatedCount(), 1)
	b.State.ApplyEvacuations(nil, nil, true, roster.Stamp{Era: 3, Version: 60})
	sendHeartbeat()
	assert.Equal(t, b.State.EvacuatedCount(), 0, "an older list changes nothing")

	assert.Assert(t, a.State.ApplyConfig(&routing.Config{Version: 5}, []byte(`{"version":5}`)))
	a.State.ReplaceServers([]routing.Server{{ID: "i", DataCentre: "y", State: routing.ServerReady}}, roster.Stamp{Era: 3, Version: 50}, false)
	a.State.ConfirmConfig(0)
	data, err := a.encodeView(true)
	assert.NilError(t, err)
	fresh := isolatedPeers(t, clock, noWait)
	assert.NilError(t, fresh.applyView(data, 10*time.Millisecond))
	assert.Equal(t, fresh.State.EvacuatedCount(), 1)
	assert.Assert(t, !fresh.State.ServerAccepts(routing.Identity{ID: "i"}))
	list, _ := fresh.State.EvacuationSnapshot()
	assert.Equal(t, len(list.Ended), 1)
}
