package roster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// many is a roster of n servers, as of version 1.
func many(n int) *Roster {
	r := New()
	r.SetStamp(Stamp{Version: 1})
	var list []routing.Server
	for i := range n {
		list = append(list, routing.Server{ID: fmt.Sprintf("i-%05d", i), Service: "llm", DataCentre: fmt.Sprintf("dc%d", i%5), State: routing.ServerReady})
	}
	r.Replace(list, false, start)
	return r
}

// write has the store tell of changed and removed entries as of a version.
func (r *Roster) write(version uint64, changed []routing.Server, gone ...string) {
	r.SetStamp(Stamp{Era: r.stamp.Era, Version: version})
	r.Apply(changed, gone, start)
}

// What a change costs does not grow with the list.
func TestAChangeIsToldAloneAtEverySize(t *testing.T) {
	for _, n := range []int{100, 1000, 20000} {
		teller, taker := many(n), many(n)
		teller.write(2, []routing.Server{draining("i-00003")}, "i-00007")
		d, ok := teller.Since(taker.Stamp(), start)
		assert.Assert(t, ok)
		assert.Equal(t, d.Size(), 2)
		taker.Changed()
		assert.Assert(t, taker.ApplyDelta(d, start))
		assert.DeepEqual(t, taker.List(), teller.List())
		changed, gone, whole := taker.Changed()
		assert.Assert(t, !whole)
		assert.Equal(t, len(changed)+len(gone), 2)
	}
}

// A delta that does not follow on a list is refused: a datagram was lost in between, or the
// list is that of another era.
func TestADeltaThatLeavesAGapIsRefused(t *testing.T) {
	teller, taker := many(10), many(10)
	teller.write(2, []routing.Server{draining("i-00001")})
	teller.write(3, []routing.Server{draining("i-00002")})
	d, ok := teller.Since(Stamp{Version: 2}, start)
	assert.Assert(t, ok)
	assert.Assert(t, !taker.ApplyDelta(d, start), "version 2 is missing")
	assert.Equal(t, taker.Stamp(), Stamp{Version: 1})
	whole, ok := teller.Since(taker.Stamp(), start)
	assert.Assert(t, ok)
	assert.Assert(t, taker.ApplyDelta(whole, start))
	assert.Assert(t, !taker.ApplyDelta(d, start), "it is known")
	assert.DeepEqual(t, taker.List(), teller.List())
	other := many(10)
	other.SetStamp(Stamp{Era: 1, Version: 2})
	assert.Assert(t, !other.ApplyDelta(whole, start))
}

// What is remembered of changes is bounded; who is further behind needs the whole list.
func TestTheLogOfChangesIsBounded(t *testing.T) {
	r := many(10)
	for v := range 10 * changesMost {
		r.write(uint64(v+2), []routing.Server{{ID: "i-00001", Slots: v + 1}})
		assert.Assert(t, len(r.log.list) <= 2*changesMost)
	}
	_, ok := r.Since(Stamp{Version: 1}, start)
	assert.Assert(t, !ok)
	last := r.Stamp().Version
	d, ok := r.Since(Stamp{Version: last - 100}, start)
	assert.Assert(t, ok)
	assert.Equal(t, d.Size(), 1, "its last state only")
}

// A release that replaces many servers at once is one stamp; its changes are kept together.
func TestChangesOfOneStampAreKeptTogether(t *testing.T) {
	r := many(6 * changesMost)
	var all []routing.Server
	for i := range 3 * changesMost {
		all = append(all, draining(fmt.Sprintf("i-%05d", i)))
	}
	r.write(2, all)
	if d, ok := r.Since(Stamp{Version: 1}, start); ok {
		assert.Equal(t, d.Size(), len(all))
	}
	d, ok := r.Since(Stamp{Version: 2}, start)
	assert.Assert(t, ok)
	assert.Equal(t, d.Size(), 0)
}

// A server in doubt is told as such, and as the doubt ends.
func TestADeltaTellsDoubts(t *testing.T) {
	teller, taker := many(3), many(3)
	teller.StoreDown(at(0))
	teller.StoreBack(at(1000))
	teller.SetStamp(Stamp{Version: 2})
	teller.Apply(nil, []string{"i-00001"}, at(1000))
	d, ok := teller.Since(taker.Stamp(), at(1000))
	assert.Assert(t, ok)
	assert.Equal(t, len(d.Doubtful), 1)
	assert.Assert(t, taker.ApplyDelta(d, at(1000)))
	assert.Assert(t, taker.Doubtful("i-00001"))
	assert.Assert(t, teller.Tick(at(9000)))
	d, ok = teller.Since(taker.Stamp(), at(9000))
	assert.Assert(t, ok)
	assert.DeepEqual(t, d.Gone, []string{"i-00001"})
	assert.Assert(t, taker.ApplyDelta(d, at(9000)))
	assert.DeepEqual(t, taker.List(), teller.List())
	counts := map[string]int{}
	taker.EachCount(func(_, dataCentre string, n int) { counts[dataCentre] = n })
	assert.DeepEqual(t, counts, map[string]int{"dc0": 1, "dc2": 1})
}

// A router that follows the store reads it whole again, since the store has dropped its history:
// those that had its list before need the differences only, whatever the number of servers.
func TestAListReadWholeAgainIsToldByItsDifferences(t *testing.T) {
	teller := many(20000)
	list := teller.List()
	list[3].State = routing.ServerDraining
	teller.SetStamp(Stamp{Version: 9})
	teller.Replace(list[1:], false, start)
	d, ok := teller.Since(Stamp{Version: 1}, start)
	assert.Assert(t, ok)
	assert.Equal(t, d.Size(), 2)
	_, ok = teller.Since(Stamp{Version: 5}, start)
	assert.Assert(t, !ok, "what was so at version 5 is not known")
	for v := range uint64(2 * gapsMost) {
		teller.SetStamp(Stamp{Version: 10 + v})
		teller.Replace(list[1:], false, start)
	}
	assert.Assert(t, len(teller.log.gaps) <= gapsMost)
	d, ok = teller.Since(Stamp{Version: 8 + 2*gapsMost}, start)
	assert.Assert(t, ok)
	assert.Equal(t, d.Size(), 0)
}
