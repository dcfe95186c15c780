package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/wire"
)

// FuzzStep passes arbitrary peer data to a node, as a message and as a sync
// message. The node must not panic, its state must stay bounded, and its own
// entry in the view must not change.
func FuzzStep(f *testing.F) {
	seeds := []Message{
		{Type: Ping, Seq: 1, Incarnation: 1, Digest: 7},
		{Type: Ack, Seq: 1, Incarnation: 1, Target: "r2"},
		{Type: PingRequest, Seq: 1, Incarnation: 1, Target: "r3"},
		{Type: Gossip, Incarnation: 1, SettingsVersion: 9, Updates: []Update{
			{ID: "r1", Incarnation: firstIncarnation + 1, State: Dead},
			{ID: "r1", Incarnation: firstIncarnation + 2, State: Alive},
			{ID: "r3", Incarnation: 1, State: Left},
			{ID: "r4", Incarnation: 1, Refutation: 1<<32 - 1, State: Suspect},
		}},
		{Type: 99},
	}
	for _, m := range seeds {
		data, err := wire.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	full, err := wire.Marshal(SyncMessage{Updates: seeds[3].Updates})
	assert.NilError(f, err)
	f.Add(full)
	f.Fuzz(func(t *testing.T, data []byte) {
		w := startNetwork(1, 3)
		n := w.nodes["r1"]
		var m Message
		if wire.Unmarshal(data, 1<<16, &m) == nil {
			n.Step(w.now, "r2", m)
		}
		var view SyncMessage
		if wire.Unmarshal(data, 1<<16, &view) == nil {
			n.SyncReply(w.now, view)
			n.SyncDone(w.now, view)
		}
		for range 40 {
			w.now += TickPeriod
			n.Tick(w.now)
		}
		assert.Assert(t, len(n.members) <= maxMembers)
		for _, member := range n.Members() {
			if member.ID == "r1" {
				assert.Equal(t, member, Member{ID: "r1", Incarnation: firstIncarnation + 1, DataCentre: "dc-1", State: Alive})
				return
			}
		}
		t.Fatal("node is missing from its own view")
	})
}

func TestRefutationNumberDoesNotWrap(t *testing.T) {
	n := startNetwork(1, 2).nodes["r1"]
	claim := n.self
	claim.State, claim.Refutation = Dead, 1<<32-1
	n.Step(time.Second, "r2", Message{Type: Gossip, Incarnation: firstIncarnation + 1, Updates: []Update{claim}})
	r := n.Ready()
	assert.Equal(t, n.self.Refutation, uint32(0))
	assert.Equal(t, r.Superseded, n.self.Incarnation)
}
