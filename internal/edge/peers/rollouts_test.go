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

// canary is a roll-out of which a part of the requests goes to the new version.
func canary(p rollout.Phase) rollout.Record {
	return rollout.Record{
		Order:     rollout.Order{Service: "llm", To: "v2", Duration: 30 * time.Second, Stamp: roster.Stamp{Era: 1, Version: 7}},
		Phase:     p,
		StartedAt: 5 * time.Second,
	}
}

// A router that does not follow the store has a phase from the next heartbeat of one that does, and
// takes it for as old as it is; one that starts has it in its first view.
func TestRolloutsComeWithHeartbeatsAndFirstViews(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := lone(t, clock, noWait), lone(t, clock, noWait)
	a.Self.Addr = "127.0.0.40:1"
	tell := func() {
		text, err := cbor.Marshal(a.heartbeat(kindOwn, state.NewReport(), nil))
		assert.NilError(t, err)
		b.Take(text)
	}
	a.State.MergeRollout(canary(rollout.Canary), 0)
	now = now.Add(time.Second)
	tell()
	got, ok := b.State.Rollout("llm")
	assert.Assert(t, ok)
	assert.Equal(t, got, canary(rollout.Canary))
	assert.Equal(t, b.State.Rollouts()[0].Age, time.Second)
	a.State.MergeRollout(canary(rollout.Halted), 0)
	tell()
	got, _ = b.State.Rollout("llm")
	assert.Equal(t, got.Phase, rollout.Halted)

	assert.Assert(t, a.State.ApplyConfig(&routing.Config{Version: 5}, []byte(`{"version":5}`)))
	a.State.ReplaceServers(nil, roster.Stamp{Version: 50}, false)
	a.State.ConfirmConfig(0)
	text, err := a.ownView()
	assert.NilError(t, err)
	fresh := lone(t, clock, noWait)
	assert.NilError(t, fresh.takeView(text, 10*time.Millisecond))
	got, _ = fresh.State.Rollout("llm")
	assert.Equal(t, got.Phase, rollout.Halted)
}

// What one router's requests have shown reaches both reporters of each data centre once.
func TestEvidenceReachesEachReporterOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	key := rollout.Key{Service: "llm", To: "v2", Route: "r", New: true}
	seen := wireEvidence(rollout.Evidence{key: {Answers: 3, Failures: 1, First: rollout.Histogram{4: 2}}})
	p := reporter(t, now, 9)
	p.State.MergeRollout(canary(rollout.Canary), 0)
	p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Protocol: protocol, Evidence: seen}, now)
	p.take(heartbeat{Control: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Protocol: protocol, Evidence: seen}, now)
	p.take(heartbeat{Control: "127.0.0.62:1", DataCentre: "dc", Kind: kindOwn, Protocol: protocol, EvidenceFar: seen}, now)
	assert.Equal(t, p.State.RolloutInput(canary(rollout.Canary)).Total[key].Answers, uint32(9))
	out, _ := p.takePending(updates{}, true, true)
	assert.Equal(t, out.evidence[key].Answers, uint32(3), "its own data centre's")
	assert.Equal(t, p.takeFellow()[key].First[4], uint32(2), "what came from another")
	out, _ = p.takePending(updates{}, true, true)
	assert.Equal(t, len(out.evidence)+len(p.takeFellow()), 0, "it was told")
}

// A roll-out that makes no sense is left out.
func TestMalformedRolloutsAreLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return now }, noWait)
	p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Protocol: protocol, Rollouts: []wireRollout{
		{Service: "", To: "v2", DurationMs: 1}, {Service: "llm", DurationMs: 1}, {Service: "llm", To: "v2", DurationMs: -1},
	}}, now)
	assert.Equal(t, len(p.State.Rollouts()), 0)
	p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Protocol: protocol, Rollouts: []wireRollout{
		{Service: "llm", To: "v2", DurationMs: 1, Phase: 99},
	}}, now)
	got, _ := p.State.Rollout("llm")
	assert.Equal(t, got.Phase, rollout.Completed)
}
