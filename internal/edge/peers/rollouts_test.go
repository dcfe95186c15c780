package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
)

// rolloutInPhase returns a roll-out in the given phase.
func rolloutInPhase(p rollout.Phase) rollout.Record {
	return rollout.Record{
		Order:     rollout.Order{Service: "llm", To: "v2", Duration: 30 * time.Second, Stamp: roster.Stamp{Era: 1, Version: 7}},
		Phase:     p,
		StartedAt: 5 * time.Second,
	}
}

// A router that does not follow the store learns a phase, and how long ago it was confirmed, from
// the next heartbeat of a router that does. A router that joins learns it from its first view.
func TestRolloutsInHeartbeatsAndFirstViews(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := isolatedPeers(t, clock, noWait), isolatedPeers(t, clock, noWait)
	a.Self.Addr = "127.0.0.40:1"
	sendHeartbeat := func() {
		data, err := cbor.Marshal(a.newHeartbeat(kindOwn, state.NewReport(), nil))
		assert.NilError(t, err)
		b.HandleDatagram(data)
	}
	a.State.MergeRollout(rolloutInPhase(rollout.Canary), 0)
	now = now.Add(time.Second)
	sendHeartbeat()
	got, ok := b.State.Rollout("llm")
	assert.Assert(t, ok)
	assert.Equal(t, got, rolloutInPhase(rollout.Canary))
	assert.Equal(t, b.State.Rollouts()[0].Age, time.Second)
	a.State.MergeRollout(rolloutInPhase(rollout.Halted), 0)
	sendHeartbeat()
	got, _ = b.State.Rollout("llm")
	assert.Equal(t, got.Phase, rollout.Halted)

	assert.Assert(t, a.State.ApplyConfig(&routing.Config{Version: 5}, []byte(`{"version":5}`)))
	a.State.ReplaceServers(nil, roster.Stamp{Version: 50}, false)
	a.State.ConfirmConfig(0)
	data, err := a.encodeView(true)
	assert.NilError(t, err)
	fresh := isolatedPeers(t, clock, noWait)
	assert.NilError(t, fresh.applyView(data, 10*time.Millisecond))
	got, _ = fresh.State.Rollout("llm")
	assert.Equal(t, got.Phase, rollout.Halted)
}

// Evidence from the requests of one router reaches both reporters of each data centre once.
func TestEvidenceReachesEachReporterOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	key := rollout.Key{Service: "llm", To: "v2", Route: "r", New: true}
	seen := evidenceToWire(rollout.Evidence{key: {Answers: 3, Failures: 1, First: rollout.Histogram{4: 2}}})
	p := newReporter(t, now, 9)
	p.State.MergeRollout(rolloutInPhase(rollout.Canary), 0)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Protocol: protocolVersion, Evidence: seen}, now)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Protocol: protocolVersion, Evidence: seen}, now)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.62:1", DataCentre: "dc", Kind: kindOwn, Protocol: protocolVersion, RemoteEvidence: seen}, now)
	assert.Equal(t, p.State.RolloutInput(rolloutInPhase(rollout.Canary)).Total[key].Answers, uint32(9))
	remote, _ := p.takePending(updates{}, true, true)
	assert.Equal(t, remote.evidence[key].Answers, uint32(3), "evidence of its own data centre")
	assert.Equal(t, p.takeOtherReporterEvidence()[key].First[4], uint32(2), "evidence of another data centre")
	remote, _ = p.takePending(updates{}, true, true)
	assert.Equal(t, len(remote.evidence)+len(p.takeOtherReporterEvidence()), 0, "sent before")
}

// Invalid roll-outs are ignored.
func TestMalformedRolloutsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return now }, noWait)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.60:1", DataCentre: "dc", Protocol: protocolVersion, Rollouts: []wireRollout{
		{Service: "", To: "v2", DurationMs: 1}, {Service: "llm", DurationMs: 1}, {Service: "llm", To: "v2", DurationMs: -1},
	}}, now)
	assert.Equal(t, len(p.State.Rollouts()), 0)
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.60:1", DataCentre: "dc", Protocol: protocolVersion, Rollouts: []wireRollout{
		{Service: "llm", To: "v2", DurationMs: 1, Phase: 99},
	}}, now)
	got, _ := p.State.Rollout("llm")
	assert.Equal(t, got.Phase, rollout.Completed)
}
