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

func order(to string, version uint64) Order {
	return Order{Service: "llm", To: to, Duration: 30 * time.Second, As: roster.Stamp{Era: 1, Version: version}}
}

func record(to string, version uint64, p Phase) Record {
	return Record{Order: order(to, version), Phase: p}
}

func TestOrdersThatMakeNoSenseAreRefused(t *testing.T) {
	for want, o := range map[Fault]Order{
		FaultService:  {To: "2", Duration: time.Second},
		FaultVersion:  {Service: "llm", Duration: time.Second},
		FaultDuration: {Service: "llm", To: "2", Duration: -time.Second},
	} {
		assert.Equal(t, o.Check(), want)
	}
	assert.Equal(t, Order{Service: "llm", To: "2", Duration: 25 * time.Hour}.Check(), FaultDuration)
	assert.NilError(t, order("2", 1).Check())
}

// Without an order all servers get requests, whatever they run; with one, the new ones get a part,
// all, or none.
func TestWhichServersGetRequests(t *testing.T) {
	l := NewList()
	assert.Equal(t, l.Group("llm", "1"), Current)
	for _, c := range []struct {
		phase      Phase
		old, fresh Group
	}{
		{Ordered, Current, None},
		{Canary, Current, New},
		{Halted, Current, None},
		{Switching, None, Current},
		{Completed, None, Current},
	} {
		l = NewList()
		l.Take(record("2", 5, c.phase), 0, start)
		assert.Equal(t, l.Group("llm", "1"), c.old, "%s", c.phase)
		assert.Equal(t, l.Group("llm", "2"), c.fresh, "%s", c.phase)
		assert.Equal(t, l.Group("app", "1"), Current)
	}
}

// A version that was rolled back gets nothing under a later order for another one, and again if
// it is ordered again.
func TestARolledBackVersionStaysOut(t *testing.T) {
	l := NewList()
	l.Take(record("2", 5, RolledBack), 0, start)
	l.Take(record("3", 6, Canary), 0, start)
	assert.Equal(t, l.Group("llm", "2"), None)
	assert.Equal(t, l.Group("llm", "1"), Current)
	l.Take(record("2", 7, Canary), 0, start)
	assert.Equal(t, l.Group("llm", "2"), New)
	assert.Equal(t, l.Group("llm", "3"), Current, "it was not rolled back")
}

// A router that has not heard of the roll-out for three seconds sends the new version nothing: it was
// frozen, cut off, or has just started with an old view.
func TestPermissionPasses(t *testing.T) {
	l := NewList()
	r := record("2", 5, Canary)
	l.Take(r, 500*time.Millisecond, start)
	assert.Assert(t, l.MayTry("llm", at(2499*time.Millisecond)))
	assert.Assert(t, !l.MayTry("llm", at(2500*time.Millisecond)))
	l.Take(r, 0, at(2500*time.Millisecond))
	assert.Assert(t, l.MayTry("llm", at(3*time.Second)))
	l.Take(record("2", 5, Halted), 0, at(3*time.Second))
	assert.Assert(t, !l.MayTry("llm", at(3*time.Second)))
	l.Take(r, 0, at(3*time.Second))
	assert.Assert(t, !l.MayTry("llm", at(3*time.Second)), "an old phase says nothing any more")
}

// Whatever the order in which records come, twice or late: all lists end with the same one, and a
// final phase that is known stays for its order.
func TestRecordsComeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []Record{}
		for v := range uint64(3) {
			for p := Ordered; p <= Switching; p++ {
				all = append(all, record([]string{"2", "3"}[v%2], v+1, p))
			}
			// The store takes one final phase of an order.
			all = append(all, record([]string{"2", "3"}[v%2], v+1, rapid.SampledFrom([]Phase{RolledBack, Completed}).Draw(t, "end")))
		}
		lists := [2]*List{NewList(), NewList()}
		for _, l := range lists {
			final := map[uint64]Phase{}
			for _, r := range rapid.Permutation(append(all, all...)).Draw(t, "told") {
				l.Take(r, 0, start)
				got, _ := l.Record("llm")
				if before, ended := final[got.Order.As.Version]; ended {
					assert.Equal(t, got.Phase, before)
				}
				if got.Phase.Final() {
					final[got.Order.As.Version] = got.Phase
				}
			}
		}
		a, _ := lists[0].Record("llm")
		b, _ := lists[1].Record("llm")
		assert.Equal(t, a.Phase, b.Phase)
		assert.Equal(t, a.Order, b.Order)
		assert.Equal(t, a.Order.As.Version, uint64(3))
	})
}

// The store comes back from a copy and the operator writes the same order again, under another
// version: it is the same roll-out. Without a return it is another one.
func TestAnOrderThatIsWrittenAgainAfterAReturnIsTheSame(t *testing.T) {
	first := order("2", 50)
	again := first
	again.As = roster.Stamp{Era: 2, Version: 40}
	assert.Assert(t, !again.After(first))
	again.As = roster.Stamp{Era: 1, Version: 60}
	assert.Assert(t, again.After(first))
	l := NewList()
	l.Take(Record{Order: first, Phase: RolledBack}, 0, start)
	assert.Assert(t, l.Take(Record{Order: again, Phase: Canary}, 0, start))
}

func TestTheNumberOfServicesIsBounded(t *testing.T) {
	l := NewList()
	for i := range 2 * ordersMost {
		l.Take(Record{Order: Order{Service: string(rune('a' + i)), To: "2", Duration: time.Second}}, 0, start)
	}
	assert.Equal(t, len(l.Told(start)), ordersMost)
}
