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

// A router that does not follow the store has the evacuations from the next heartbeat of one
// that does, and their end; one that starts has them, and what was taken back a moment ago, in
// its first view.
func TestEvacuationsComeWithHeartbeatsAndFirstViews(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := lone(t, clock, noWait), lone(t, clock, noWait)
	a.Self.Addr = "127.0.0.40:1"
	told := func() {
		text, err := cbor.Marshal(a.heartbeat(kindOwn, state.NewReport(), nil))
		assert.NilError(t, err)
		var w heartbeat
		assert.NilError(t, cbor.Unmarshal(text, &w))
		b.take(w, now)
	}
	a.State.ApplyEvacuations([]string{"x", "y"}, nil, true, roster.Stamp{Era: 3, Version: 40})
	told()
	assert.Equal(t, b.State.EvacuatedCount(), 2)
	a.State.ApplyEvacuations(nil, []string{"x"}, false, roster.Stamp{Era: 3, Version: 50})
	told()
	assert.Equal(t, b.State.EvacuatedCount(), 1)
	b.State.ApplyEvacuations(nil, nil, true, roster.Stamp{Era: 3, Version: 60})
	told()
	assert.Equal(t, b.State.EvacuatedCount(), 0, "an older list changes nothing")

	assert.Assert(t, a.State.ApplyConfig(&routing.Config{Version: 5}, []byte(`{"version":5}`)))
	a.State.ReplaceServers([]routing.Server{{ID: "i", DataCentre: "y", State: routing.ServerReady}}, roster.Stamp{Era: 3, Version: 50}, false)
	a.State.ConfirmConfig(0)
	text, err := a.ownView()
	assert.NilError(t, err)
	fresh := lone(t, clock, noWait)
	assert.NilError(t, fresh.takeView(text, 10*time.Millisecond))
	assert.Equal(t, fresh.State.EvacuatedCount(), 1)
	assert.Assert(t, !fresh.State.ServerAccepts(routing.Identity{ID: "i"}))
	list, _ := fresh.State.EvacuationSnapshot()
	assert.Equal(t, len(list.Ended), 1)
}
