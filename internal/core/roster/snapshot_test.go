package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// A router that starts just after an outage of the store gets the servers with expired entries
// from a peer, keeps them for as long as the peer would, and then removes them on its own.
func TestSnapshotCarriesRemainingDoubt(t *testing.T) {
	sender := New()
	sender.Replace([]routing.Server{ready("a"), ready("b")}, false, start)
	sender.StoreDown(at(100))
	sender.StoreUp(at(3000))
	sender.Apply(nil, []string{"b"}, at(3000))
	snapshot := sender.Snapshot(at(3100))
	assert.Equal(t, len(snapshot.Servers), 1)
	fresh := New()
	fresh.ReplaceFromPeer(snapshot, at(3100))
	assert.Equal(t, ids(fresh), "ab")
	again := fresh.Snapshot(at(3200))
	assert.Equal(t, len(again.Servers), 1, "it is doubtful there too")
	fresh.Tick(at(4590))
	assert.Equal(t, ids(fresh), "ab")
	fresh.Tick(at(4610))
	assert.Equal(t, ids(fresh), "a")
}

// A router that has just started holds back the same servers as its peer after a restore of the
// store.
func TestSnapshotCarriesRemainingHold(t *testing.T) {
	sender := restoredAt(1000)
	sender.Replace([]routing.Server{ready("a"), ready("b"), ready("c")}, false, at(1100))
	assert.Equal(t, ids(sender), "ab")
	fresh := New()
	fresh.ReplaceFromPeer(sender.Snapshot(at(2000)), at(2000))
	assert.Equal(t, ids(fresh), "ab")
	fresh.Tick(at(5900))
	assert.Equal(t, ids(fresh), "ab")
	fresh.Tick(at(6000))
	assert.Equal(t, ids(fresh), "abc")
}

// A server that is missing from a newer snapshot has left, even if an earlier one listed it as
// doubtful.
func TestNewerSnapshotEndsDoubt(t *testing.T) {
	r := New()
	r.ReplaceFromPeer(Snapshot{Servers: []routing.Server{ready("a")}, Doubtful: []Doubtful{{ready("b"), time.Second}}}, at(0))
	assert.Equal(t, ids(r), "ab")
	r.ReplaceFromPeer(Snapshot{Servers: []routing.Server{ready("a")}}, at(100))
	assert.Equal(t, ids(r), "a")
}
