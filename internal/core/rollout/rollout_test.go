package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/roster"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func orderOf(to string, version uint64) Order {
	return Order{Service: "llm", To: to, Duration: 30 * time.Second, Stamp: roster.Stamp{Era: 1, Version: version}}
}

func recordOf(to string, version uint64, p Phase) Record {
	return Record{Order: orderOf(to, version), Phase: p}
}

func TestInvalidOrdersAreRejected(t *testing.T) {
	for want, o := range map[OrderError]Order{
		ErrNoService: {To: "2", Duration: time.Second},
		ErrNoVersion: {Service: "llm", Duration: time.Second},
		ErrDuration:  {Service: "llm", To: "2", Duration: -time.Second},
	} {
		assert.Equal(t, o.Check(), want)
	}
	assert.Equal(t, Order{Service: "llm", To: "2", Duration: 25 * time.Hour}.Check(), ErrDuration)
	assert.NilError(t, orderOf("2", 1).Check())
}

// Without an order all servers get requests, whatever version they run. With an order, the servers
// of the new version get a share, all or none of them.
func TestGroupByPhase(t *testing.T) {
	l := NewList()
	assert.Equal(t, l.Group("llm", "1"), GroupServing)
	for _, c := range []struct {
		phase       Phase
		old, canary Group
	}{
		{Ordered, GroupServing, GroupExcluded},
		{Canary, GroupServing, GroupCanary},
		{Halted, GroupServing, GroupExcluded},
		{Switching, GroupExcluded, GroupServing},
		{Completed, GroupExcluded, GroupServing},
	} {
		l = NewList()
		l.Merge(recordOf("2", 5, c.phase), 0, start)
		assert.Equal(t, l.Group("llm", "1"), c.old, "%s", c.phase)
		assert.Equal(t, l.Group("llm", "2"), c.canary, "%s", c.phase)
		assert.Equal(t, l.Group("app", "1"), GroupServing)
	}
}

// A version that was rolled back gets no requests under a later order for another version, and gets
// them again if it is ordered again.
func TestRolledBackVersionStaysExcluded(t *testing.T) {
	l := NewList()
	l.Merge(recordOf("2", 5, RolledBack), 0, start)
	l.Merge(recordOf("3", 6, Canary), 0, start)
	assert.Equal(t, l.Group("llm", "2"), GroupExcluded)
	assert.Equal(t, l.Group("llm", "1"), GroupServing)
	l.Merge(recordOf("2", 7, Canary), 0, start)
	assert.Equal(t, l.Group("llm", "2"), GroupCanary)
	assert.Equal(t, l.Group("llm", "3"), GroupServing, "it was not rolled back")
}

// A router without a confirmation for three seconds sends no requests to the new version: it was
// frozen, partitioned, or has just started with an outdated view.
func TestCanaryPermissionExpires(t *testing.T) {
	l := NewList()
	r := recordOf("2", 5, Canary)
	l.Merge(r, 500*time.Millisecond, start)
	assert.Assert(t, l.CanaryAllowed("llm", at(2499*time.Millisecond)))
	assert.Assert(t, !l.CanaryAllowed("llm", at(2500*time.Millisecond)))
	l.Merge(r, 0, at(2500*time.Millisecond))
	assert.Assert(t, l.CanaryAllowed("llm", at(3*time.Second)))
	l.Merge(recordOf("2", 5, Halted), 0, at(3*time.Second))
	assert.Assert(t, !l.CanaryAllowed("llm", at(3*time.Second)))
	l.Merge(r, 0, at(3*time.Second))
	assert.Assert(t, !l.CanaryAllowed("llm", at(3*time.Second)), "an earlier phase does not renew the permission")
}

// Records that arrive late, twice or in any order lead to the same state at every router, and a
// known final phase of an order does not change.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []Record{}
		for v := range uint64(3) {
			for p := Ordered; p <= Switching; p++ {
				all = append(all, recordOf([]string{"2", "3"}[v%2], v+1, p))
			}
			// The store accepts only one final phase of an order.
			all = append(all, recordOf([]string{"2", "3"}[v%2], v+1, rapid.SampledFrom([]Phase{RolledBack, Completed}).Draw(t, "end")))
		}
		lists := [2]*List{NewList(), NewList()}
		for _, l := range lists {
			final := map[uint64]Phase{}
			for _, r := range rapid.Permutation(append(all, all...)).Draw(t, "told") {
				l.Merge(r, 0, start)
				got, _ := l.Record("llm")
				if before, ended := final[got.Order.Stamp.Version]; ended {
					assert.Equal(t, got.Phase, before)
				}
				if got.Phase.Final() {
					final[got.Order.Stamp.Version] = got.Phase
				}
			}
		}
		a, _ := lists[0].Record("llm")
		b, _ := lists[1].Record("llm")
		assert.Equal(t, a.Phase, b.Phase)
		assert.Equal(t, a.Order, b.Order)
		assert.Equal(t, a.Order.Stamp.Version, uint64(3))
	})
}

// After the store was restored from a backup and the operator has written the same order again under
// another version, it is the same roll-out. Without a restore it is a new one.
func TestOrderRewrittenAfterStoreRestoreIsTheSame(t *testing.T) {
	first := orderOf("2", 50)
	again := first
	again.Stamp = roster.Stamp{Era: 2, Version: 40}
	assert.Assert(t, !again.NewerThan(first))
	again.Stamp = roster.Stamp{Era: 1, Version: 60}
	assert.Assert(t, again.NewerThan(first))
	l := NewList()
	l.Merge(Record{Order: first, Phase: RolledBack}, 0, start)
	assert.Assert(t, l.Merge(Record{Order: again, Phase: Canary}, 0, start))
}

func TestServiceCountIsBounded(t *testing.T) {
	l := NewList()
	for i := range 2 * maxOrders {
		l.Merge(Record{Order: Order{Service: string(rune('a' + i)), To: "2", Duration: time.Second}}, 0, start)
	}
	assert.Equal(t, len(l.Records(start)), maxOrders)
}
