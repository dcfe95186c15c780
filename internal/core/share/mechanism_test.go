package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// Each test here is of one mechanism, and fails without it (docs/PROOFS.md).

// feed keeps the customer's requests outstanding at the entry.
type feed struct {
	customer string
	entry    msg.RouterID
	weight   float64
	cost     float64
	want     int
	from     time.Duration // when it begins
}

// keepFed keeps every feed's requests outstanding from now on.
func (f *fleet) keepFed(feeds ...*feed) {
	of, count := map[msg.RequestID]*feed{}, 0
	send := func(x *feed) {
		count++
		r := request(fmt.Sprint("fed", count), x.customer, x.cost, x.entry)
		r.Weight = x.weight
		of[r.ID] = x
		f.arrive(r)
	}
	f.done = func(r *simRequest) {
		if x := of[r.ID]; x != nil {
			send(x)
		}
	}
	for _, x := range feeds {
		f.after(x.from, func() {
			for range x.want {
				send(x)
			}
		})
	}
}

// gapOver returns the largest gap between any two of the customers in any
// interval of the time to come.
func (f *fleet) gapOver(d time.Duration, customers ...string) float64 {
	of := map[simKey]int{}
	for _, c := range customers {
		of[simKey{pool, msg.CustomerID(c)}] = 1
	}
	m := newGapMeter(of, f.service())
	for end := f.now + d; f.now < end; {
		f.run(f.now + 100*time.Millisecond)
		m.add(f.service())
	}
	return m.largest
}

// Half of the customers wait at a few admitters, the others at all. Only the
// fleet's totals tell the few that theirs are behind.
func TestGapIsBoundedBetweenCustomersThatWaitApart(t *testing.T) {
	f := smallFleet(24, 24) // 96 slots
	var feeds []*feed
	var names []string
	for c := range 60 {
		x := &feed{customer: fmt.Sprint("c", c), entry: f.ids[c%24], weight: 1, cost: 100, want: 4}
		if c%2 == 0 {
			x.want = 40
		}
		feeds, names = append(feeds, x), append(names, x.customer)
	}
	f.keepFed(feeds...)
	f.run(f.now + 20*time.Second)
	gap := f.gapOver(2*time.Minute, names...)
	assert.Assert(t, gap < 3000, "%.0f", gap)
}

// A customer of three times the weight gets three times the service.
func TestGapIsOfServiceOverWeight(t *testing.T) {
	f := smallFleet(3, 2)
	f.keepFed(&feed{customer: "a", entry: "r0", weight: 1, cost: 50, want: 20},
		&feed{customer: "b", entry: "r1", weight: 3, cost: 50, want: 20})
	f.run(f.now + 10*time.Second)
	gap := f.gapOver(time.Minute, "a", "b")
	assert.Assert(t, gap < 1000, "%.0f", gap)
}

// Whoever comes back from idle neither takes all for what it did not use, nor
// waits for what others have had.
func TestNewcomerIsLevelWithTheOthers(t *testing.T) {
	f := smallFleet(1, 1)
	f.keepFed(&feed{customer: "old", entry: "r0", weight: 1, cost: 10, want: 20},
		&feed{customer: "new", entry: "r0", weight: 1, cost: 10, want: 20, from: time.Minute})
	f.run(f.now + time.Minute)
	gap := f.gapOver(10*time.Second, "old", "new")
	assert.Assert(t, gap < 100, "%.0f", gap)
}

// waits registers one queue of each customer with the admitter.
func waits(n *share.Node, seq uint64, customers ...string) {
	m := &share.Message{Incarnation: 1, Seq: seq}
	for i, c := range customers {
		m.Waits = append(m.Waits, share.Wait{
			Queue: uint64(i + 1), Pool: pool, Customer: msg.CustomerID(c), Weight: 1, Count: 20,
		})
	}
	n.Step(0, "e0", m)
}

// ends tells the admitter that a grant has ended, and returns its next grants.
func ends(n *share.Node, end share.End) []share.Grant {
	n.Step(0, "e0", &share.Message{Incarnation: 1, Of: 1, Ends: []share.End{end}})
	return grants(n)
}

// A long request is charged while it runs, not only at its end.
func TestRunningRequestsAreCharged(t *testing.T) {
	n := admitterOf(2)
	waits(n, 1, "a", "b")
	first := grants(n) // both go to one customer: nothing has waited yet
	assert.Equal(t, len(first), 2)
	n.Step(0, "e0", &share.Message{Incarnation: 1, Of: 1, Seen: first[1].Seq, Held: &share.Held{
		Seqs: []uint64{first[0].Seq, first[1].Seq}, Costs: []msg.Cost{1000, 1},
	}})
	last := first[1].Seq
	for range 5 {
		next := ends(n, share.End{Seq: last, Cost: 10, First: 1})
		assert.Equal(t, len(next), 1)
		assert.Assert(t, next[0].Queue != first[0].Queue)
		last = next[0].Seq
	}
}

// An End that was lost is found by the keep-alive that no longer names it; a
// grant on its way is not taken for one.
func TestKeepAliveFindsLostEnds(t *testing.T) {
	n := admitterOf(2)
	waits(n, 1, "a")
	first := grants(n)
	assert.Equal(t, len(first), 2)
	n.Step(0, "e0", &share.Message{Incarnation: 1, Of: 1, Seen: first[0].Seq, Held: &share.Held{}})
	assert.Equal(t, len(grants(n)), 1)
}

// A paused admitter does not take its own silence for the entries'.
func TestPausedAdmitterKeepsGrants(t *testing.T) {
	n := admitterOf(2)
	waits(n, 1, "a")
	first := grants(n)
	assert.Equal(t, len(first), 2)
	n.Step(0, "e0", &share.Message{Incarnation: 1, Of: 1, Seen: first[1].Seq, Held: &share.Held{
		Seqs: []uint64{first[0].Seq, first[1].Seq},
	}})
	const pause = 30 * time.Second
	n.Tick(10 * time.Millisecond)
	n.Tick(pause)
	assert.Equal(t, len(grants(n)), 0)
	for at := pause; at <= pause+share.DefaultGrantTimeout+time.Second; at += 100 * time.Millisecond {
		n.Tick(at)
	}
	again := map[uint64]bool{} // real silence is another thing; unconfirmed grants come twice
	for _, g := range grants(n) {
		again[g.Seq] = true
	}
	assert.Equal(t, len(again), 2)
}

// entryWith returns an entry with one request waiting, and the number of its
// queue.
func entryWith(t *testing.T) (*share.Node, uint64) {
	t.Helper()
	n := share.New(share.Config{ID: "e0", Incarnation: 1})
	n.SetMembers(0, []share.Member{{ID: "r0"}})
	n.Step(0, "r0", &share.Message{Incarnation: 1, Seq: 1, Admitters: []share.Admitters{
		{Pool: pool, Version: 7, Routers: []msg.RouterID{"r0"}, Slots: []int{4}},
	}})
	n.Arrive(0, share.Request{ID: "1", Pool: pool, Customer: "a", Weight: 1})
	for _, out := range n.Ready().Send {
		for _, w := range out.Message.Waits {
			return n, w.Queue
		}
	}
	t.Fatal("the wait was not registered")
	return nil, 0
}

// give grants a slot to the queue and returns what starts and what is returned.
func give(n *share.Node, now time.Duration, seq, queue uint64) (starts, returned int) {
	n.Step(now, "r0", &share.Message{Incarnation: 1, Grants: []share.Grant{{Seq: seq, Queue: queue, Server: "s0"}}})
	rd := n.Ready()
	for _, out := range rd.Send {
		returned += len(out.Message.Ends)
	}
	return len(rd.Start), returned
}

// Grants that are repeated start nothing; grants that nobody waits for go back
// at once; grants that a keep-alive has given up are void.
func TestGrantsAreTakenOnce(t *testing.T) {
	n, queue := entryWith(t)
	check := func(now time.Duration, seq uint64, starts, returned int) {
		t.Helper()
		s, r := give(n, now, seq, queue)
		assert.DeepEqual(t, [2]int{s, r}, [2]int{starts, returned})
	}
	check(0, 5, 1, 0)
	check(0, 6, 0, 1)
	n.Arrive(0, share.Request{ID: "2", Pool: pool, Customer: "a", Weight: 1})
	check(0, 5, 0, 0)
	n.Tick(share.DefaultKeepInterval) // says that all up to 6 was seen
	n.Ready()
	check(share.DefaultKeepInterval, 4, 0, 0)
	check(share.DefaultKeepInterval, 7, 1, 0)
}

// A request that finds its admitters full is brought to the one free slot of
// the fleet.
func TestFreeSlotIsFoundWhereverItIs(t *testing.T) {
	f := smallFleet(24, 24) // 4 slots each
	for i := range 24*4 - 1 {
		f.arrive(request(fmt.Sprint(i), "a", 100_000, f.ids[i%24]))
		f.run(f.now + 100*time.Millisecond)
	}
	f.run(f.now + 5*time.Second)
	r := request("last", "b", 10, "r0")
	f.arrive(r)
	f.run(f.now + 2*time.Second)
	assert.Equal(t, r.starts, 1)
}

// A server that says itself that it is leaving, or that a caller could not
// reach, gets no new work until a report says otherwise; nor does one that is
// no longer in the list.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	report := share.LoadReport{Server: "s0", Pools: []msg.PoolID{pool}, Slots: 2}
	n := admitterOf(2)
	report.Leaving = true
	n.Load(0, report)
	waits(n, 1, "a")
	assert.Equal(t, len(grants(n)), 0)
	report.Leaving = false
	n.Load(0, report)
	got := grants(n)
	assert.Equal(t, len(got), 2)
	n.SetServers(0, nil)
	assert.Equal(t, len(ends(n, share.End{Seq: got[0].Seq, Cost: 1})), 0)
	n.SetServers(0, []msg.ServerID{"s0"})
	n.Load(0, report)
	assert.Equal(t, len(grants(n)), 1)
}

// What waits at a router is bounded in bytes, and what leaves gives its bytes
// back.
func TestWaitingBytesAreBounded(t *testing.T) {
	n := share.New(share.Config{ID: "r0", Incarnation: 1, QueueBytes: 100})
	arrive := func(id string, bytes int) []share.Refuse {
		n.Arrive(0, share.Request{ID: msg.RequestID(id), Pool: pool, Customer: "a", Weight: 1, Bytes: bytes})
		return n.Ready().Refuse
	}
	assert.Equal(t, len(arrive("1", 60)), 0)
	refused := arrive("2", 60)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Reason, share.RouterFull)
	assert.Equal(t, len(arrive("3", 40)), 0)
	n.Cancel(0, "1")
	assert.Equal(t, len(arrive("4", 60)), 0)
}

// What an entry has registered is repeated, should the admitter have lost it.
func TestRegistrationIsRepeated(t *testing.T) {
	n, queue := entryWith(t)
	repeated := 0
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		n.Tick(at)
		// The admitter is alive: it repeats its notice to the pool's directory,
		// which may be this router.
		n.Step(at, "r0", &share.Message{Incarnation: 1, Haves: []share.Have{{Pool: pool, Slots: 4, Version: 7}}})
		for _, out := range n.Ready().Send {
			for _, w := range out.Message.Waits {
				assert.Equal(t, w.Queue, queue)
				repeated++
			}
		}
	}
	assert.Equal(t, repeated, 1)
}

// Slots of plain services, whose calls are as short as a message's way, are
// granted ahead.
func TestShortCallsLeaveNoSlotIdle(t *testing.T) {
	const plain = msg.PoolID("s/dispatch")
	f := newFleet(1, 4, share.Config{})
	f.addServer("s0", 4, 1000, plain)
	f.setServers()
	f.run(2 * time.Second)
	count := 0
	send := func(entry msg.RouterID) {
		count++
		r := request(fmt.Sprint(count), "a", 4, entry) // 4 ms
		r.Pool = plain
		f.arrive(r)
	}
	f.done = func(r *simRequest) { send(r.entry) }
	for _, id := range f.ids {
		for range 20 {
			send(id)
		}
	}
	f.run(f.now + 2*time.Second)
	busy, began := f.busyTime(), f.now
	f.run(f.now + 5*time.Second)
	util := (f.busyTime() - busy).Seconds() / (f.now - began).Seconds() / 4
	assert.Assert(t, util > 0.9, "%.3f", util)
}

// A customer that asks now and then is served at once, however many requests of
// others wait everywhere.
func TestQuietCustomerIsServedInAFlood(t *testing.T) {
	f := smallFleet(6, 6) // 24 slots; requests of one second
	var feeds []*feed
	for c := range 3 {
		for _, id := range f.ids {
			feeds = append(feeds, &feed{customer: fmt.Sprint("flood", c), entry: id, weight: 1, cost: 100, want: 100})
		}
	}
	f.keepFed(feeds...)
	f.run(f.now + 30*time.Second)
	for i := range 20 {
		r := request(fmt.Sprint("quiet", i), "pantry", 100, f.ids[i%6])
		f.arrive(r)
		f.run(f.now + 1500*time.Millisecond)
		assert.Equal(t, r.starts, 1, "request %d", i)
		f.run(f.now + 3*time.Second)
	}
}
