package roster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// rosterOf returns a roster of n servers at version 1.
func rosterOf(n int) *Roster {
	r := New()
	r.SetStamp(Stamp{Version: 1})
	var list []routing.Server
	for i := range n {
		list = append(list, routing.Server{ID: fmt.Sprintf("i-%05d", i), Service: "llm", DataCentre: fmt.Sprintf("dc%d", i%5), State: routing.ServerReady})
	}
	r.Replace(list, false, start)
	return r
}

// applyAt applies changes of the store at a version.
func (r *Roster) applyAt(version uint64, changed []routing.Server, removed ...string) {
	r.SetStamp(Stamp{Era: r.stamp.Era, Version: version})
	r.Apply(changed, removed, start)
}

// The size of a delta depends on the number of changes, not on the size of the list.
func TestDeltaSizeDoesNotGrowWithTheList(t *testing.T) {
	for _, n := range []int{100, 1000, 20000} {
		sender, receiver := rosterOf(n), rosterOf(n)
		sender.applyAt(2, []routing.Server{draining("i-00003")}, "i-00007")
		d, ok := sender.DeltaSince(receiver.Stamp(), start)
		assert.Assert(t, ok)
		assert.Equal(t, d.Size(), 2)
		receiver.TakeChanges()
		assert.Assert(t, receiver.ApplyDelta(d, start))
		assert.DeepEqual(t, receiver.List(), sender.List())
		changed, removed, whole := receiver.TakeChanges()
		assert.Assert(t, !whole)
		assert.Equal(t, len(changed)+len(removed), 2)
	}
}

// A delta that does not continue a list is rejected: a datagram in between was lost, or the list
// is of another era.
func TestDeltaThatLeavesAGapIsRejected(t *testing.T) {
	sender, receiver := rosterOf(10), rosterOf(10)
	sender.applyAt(2, []routing.Server{draining("i-00001")})
	sender.applyAt(3, []routing.Server{draining("i-00002")})
	d, ok := sender.DeltaSince(Stamp{Version: 2}, start)
	assert.Assert(t, ok)
	assert.Assert(t, !receiver.ApplyDelta(d, start), "version 2 is missing")
	assert.Equal(t, receiver.Stamp(), Stamp{Version: 1})
	whole, ok := sender.DeltaSince(receiver.Stamp(), start)
	assert.Assert(t, ok)
	assert.Assert(t, receiver.ApplyDelta(whole, start))
	assert.Assert(t, !receiver.ApplyDelta(d, start), "the delta was already applied")
	assert.DeepEqual(t, receiver.List(), sender.List())
	other := rosterOf(10)
	other.SetStamp(Stamp{Era: 1, Version: 2})
	assert.Assert(t, !other.ApplyDelta(whole, start))
}

// The change log is bounded; a peer that is further behind needs the whole list.
func TestChangeLogIsBounded(t *testing.T) {
	r := rosterOf(10)
	for v := range 10 * maxChanges {
		r.applyAt(uint64(v+2), []routing.Server{{ID: "i-00001", Slots: v + 1}})
		assert.Assert(t, len(r.changes.entries) <= 2*maxChanges)
	}
	_, ok := r.DeltaSince(Stamp{Version: 1}, start)
	assert.Assert(t, !ok)
	last := r.Stamp().Version
	d, ok := r.DeltaSince(Stamp{Version: last - 100}, start)
	assert.Assert(t, ok)
	assert.Equal(t, d.Size(), 1, "only the latest state")
}

// A release that replaces many servers at once has a single stamp, and its changes are kept
// together.
func TestChangesOfOneStampAreKeptTogether(t *testing.T) {
	r := rosterOf(6 * maxChanges)
	var all []routing.Server
	for i := range 3 * maxChanges {
		all = append(all, draining(fmt.Sprintf("i-%05d", i)))
	}
	r.applyAt(2, all)
	if d, ok := r.DeltaSince(Stamp{Version: 1}, start); ok {
		assert.Equal(t, d.Size(), len(all))
	}
	d, ok := r.DeltaSince(Stamp{Version: 2}, start)
	assert.Assert(t, ok)
	assert.Equal(t, d.Size(), 0)
}

// A delta marks doubtful servers as such, and a later one reports the end of the doubt.
func TestDeltaIncludesDoubtfulServers(t *testing.T) {
	sender, receiver := rosterOf(3), rosterOf(3)
	sender.StoreDown(at(0))
	sender.StoreUp(at(1000))
	sender.SetStamp(Stamp{Version: 2})
	sender.Apply(nil, []string{"i-00001"}, at(1000))
	d, ok := sender.DeltaSince(receiver.Stamp(), at(1000))
	assert.Assert(t, ok)
	assert.Equal(t, len(d.Doubtful), 1)
	assert.Assert(t, receiver.ApplyDelta(d, at(1000)))
	assert.Assert(t, receiver.IsDoubtful("i-00001"))
	assert.Assert(t, sender.Tick(at(9000)))
	d, ok = sender.DeltaSince(receiver.Stamp(), at(9000))
	assert.Assert(t, ok)
	assert.DeepEqual(t, d.Removed, []string{"i-00001"})
	assert.Assert(t, receiver.ApplyDelta(d, at(9000)))
	assert.DeepEqual(t, receiver.List(), sender.List())
	counts := map[string]int{}
	receiver.EachCount(func(_, dataCentre string, n int) { counts[dataCentre] = n })
	assert.DeepEqual(t, counts, map[string]int{"dc0": 1, "dc2": 1})
}

// When a router reads the whole store again because the store has dropped its history, peers that
// had its previous list need only the differences, whatever the number of servers.
func TestFullRereadIsSentAsADelta(t *testing.T) {
	sender := rosterOf(20000)
	list := sender.List()
	list[3].State = routing.ServerDraining
	sender.SetStamp(Stamp{Version: 9})
	sender.Replace(list[1:], false, start)
	d, ok := sender.DeltaSince(Stamp{Version: 1}, start)
	assert.Assert(t, ok)
	assert.Equal(t, d.Size(), 2)
	_, ok = sender.DeltaSince(Stamp{Version: 5}, start)
	assert.Assert(t, !ok, "the state at version 5 is not known")
	for v := range uint64(2 * maxGaps) {
		sender.SetStamp(Stamp{Version: 10 + v})
		sender.Replace(list[1:], false, start)
	}
	assert.Assert(t, len(sender.changes.gaps) <= maxGaps)
	d, ok = sender.DeltaSince(Stamp{Version: 8 + 2*maxGaps}, start)
	assert.Assert(t, ok)
	assert.Equal(t, d.Size(), 0)
}
