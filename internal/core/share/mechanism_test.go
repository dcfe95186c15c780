package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// Each test in this file covers one mechanism, and fails without it
// (docs/PROOFS.md).

// closedLoop keeps a fixed number of a customer's requests outstanding at an
// entry.
type closedLoop struct {
	customer    string
	entry       msg.RouterID
	weight      float64
	cost        float64
	outstanding int
	from        time.Duration // start time
}

// startLoops starts the loops, each at its start time.
func (f *fleet) startLoops(loops ...*closedLoop) {
	of, count := map[msg.RequestID]*closedLoop{}, 0
	send := func(x *closedLoop) {
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
	for _, x := range loops {
		f.after(x.from, func() {
			for range x.outstanding {
				send(x)
			}
		})
	}
}

// maxGapDuring runs the fleet for d and returns the largest gap between any two
// of the customers in any interval of that time.
func (f *fleet) maxGapDuring(d time.Duration, customers ...string) float64 {
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
// fleet's totals show the few admitters that their customers are behind.
func TestServiceGapIsBoundedBetweenCustomersAtDifferentAdmitters(t *testing.T) {
	f := smallFleet(24, 24) // 96 slots
	var loops []*closedLoop
	var names []string
	for c := range 60 {
		x := &closedLoop{customer: fmt.Sprint("c", c), entry: f.ids[c%24], weight: 1, cost: 100, outstanding: 4}
		if c%2 == 0 {
			x.outstanding = 40
		}
		loops, names = append(loops, x), append(names, x.customer)
	}
	f.startLoops(loops...)
	f.run(f.now + 20*time.Second)
	gap := f.maxGapDuring(2*time.Minute, names...)
	assert.Assert(t, gap < 3000, "%.0f", gap)
}

// A customer of three times the weight must get three times the service.
func TestServiceIsProportionalToWeight(t *testing.T) {
	f := smallFleet(3, 2)
	f.startLoops(&closedLoop{customer: "a", entry: "r0", weight: 1, cost: 50, outstanding: 20},
		&closedLoop{customer: "b", entry: "r1", weight: 3, cost: 50, outstanding: 20})
	f.run(f.now + 10*time.Second)
	gap := f.maxGapDuring(time.Minute, "a", "b")
	assert.Assert(t, gap < 1000, "%.0f", gap)
}

// A customer that returns from idle must neither take all slots as compensation
// for its idle time, nor wait on account of what others have been given
// meanwhile.
func TestReturningCustomerHasNeitherCreditNorDebt(t *testing.T) {
	f := smallFleet(1, 1)
	f.startLoops(&closedLoop{customer: "old", entry: "r0", weight: 1, cost: 10, outstanding: 20},
		&closedLoop{customer: "new", entry: "r0", weight: 1, cost: 10, outstanding: 20, from: time.Minute})
	f.run(f.now + time.Minute)
	gap := f.maxGapDuring(10*time.Second, "old", "new")
	assert.Assert(t, gap < 100, "%.0f", gap)
}

// sendRegistrations registers one queue of each customer with the admitter.
func sendRegistrations(n *share.Node, seq uint64, customers ...string) {
	m := &share.Message{Incarnation: 1, Seq: seq}
	for i, c := range customers {
		m.Registrations = append(m.Registrations, share.Registration{
			QueueID: uint64(i + 1), Pool: pool, Customer: msg.CustomerID(c), Weight: 1, Count: 20,
		})
	}
	n.HandleMessage(0, "e0", m)
}

// releaseGrant sends the admitter a release, and returns its next grants.
func releaseGrant(n *share.Node, end share.Release) []share.Grant {
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 1, ReceiverIncarnation: 1, Releases: []share.Release{end}})
	return takeGrants(n)
}

// A long request must be charged while it runs, not only at its end.
func TestRunningRequestsAreCharged(t *testing.T) {
	n := newAdmitter(2)
	sendRegistrations(n, 1, "a", "b")
	first := takeGrants(n) // both go to one customer: nothing has waited yet
	assert.Equal(t, len(first), 2)
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 1, ReceiverIncarnation: 1, HighestGrantSeen: first[1].Seq, KeepAlive: &share.KeepAlive{
		Seqs: []uint64{first[0].Seq, first[1].Seq}, Costs: []msg.Cost{1000, 1},
	}})
	last := first[1].Seq
	for range 5 {
		next := releaseGrant(n, share.Release{Seq: last, Cost: 10, FirstTokenMs: 1})
		assert.Equal(t, len(next), 1)
		assert.Assert(t, next[0].QueueID != first[0].QueueID)
		last = next[0].Seq
	}
}

// A lost Release must be detected by the next keep-alive, which does not list
// the grant. A grant in transit must not be taken for a released one.
func TestKeepAliveReplacesLostReleases(t *testing.T) {
	n := newAdmitter(2)
	sendRegistrations(n, 1, "a")
	first := takeGrants(n)
	assert.Equal(t, len(first), 2)
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 1, ReceiverIncarnation: 1, HighestGrantSeen: first[0].Seq, KeepAlive: &share.KeepAlive{}})
	assert.Equal(t, len(takeGrants(n)), 1)
}

// A paused admitter must not attribute its own pause to entries that sent no
// keep-alives. Without the mechanism it releases all grants after the pause.
func TestPausedAdmitterKeepsGrants(t *testing.T) {
	n := newAdmitter(2)
	sendRegistrations(n, 1, "a")
	first := takeGrants(n)
	assert.Equal(t, len(first), 2)
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 1, ReceiverIncarnation: 1, HighestGrantSeen: first[1].Seq, KeepAlive: &share.KeepAlive{
		Seqs: []uint64{first[0].Seq, first[1].Seq},
	}})
	const pause = 30 * time.Second
	n.Tick(10 * time.Millisecond)
	n.Tick(pause)
	assert.Equal(t, len(takeGrants(n)), 0)
	for at := pause; at <= pause+share.DefaultGrantTimeout+time.Second; at += 100 * time.Millisecond {
		n.Tick(at)
	}
	again := map[uint64]bool{} // entries that stay silent after the pause do lose their grants; unconfirmed grants are sent twice
	for _, g := range takeGrants(n) {
		again[g.Seq] = true
	}
	assert.Equal(t, len(again), 2)
}

// newEntryWithRequest returns an entry with one waiting request, and the ID of
// its queue.
func newEntryWithRequest(t *testing.T) (*share.Node, uint64) {
	t.Helper()
	n := share.New(share.Config{ID: "e0", Incarnation: 1})
	n.SetMembers(0, []share.Member{{ID: "r0"}})
	n.HandleMessage(0, "r0", &share.Message{Incarnation: 1, Seq: 1, AdmitterLists: []share.AdmitterList{
		{Pool: pool, Version: 7, Routers: []msg.RouterID{"r0"}, Slots: []int{4}},
	}})
	n.Arrive(0, share.Request{ID: "1", Pool: pool, Customer: "a", Weight: 1})
	for _, out := range n.Ready().Send {
		for _, w := range out.Message.Registrations {
			return n, w.QueueID
		}
	}
	t.Fatal("the waiting request was not registered")
	return nil, 0
}

// deliverGrant grants a slot to the queue, and returns how many requests start
// and how many slots are returned.
func deliverGrant(n *share.Node, now time.Duration, seq, queue uint64) (starts, returned int) {
	n.HandleMessage(now, "r0", &share.Message{Incarnation: 1, Grants: []share.Grant{{Seq: seq, QueueID: queue, Server: "s0"}}})
	rd := n.Ready()
	for _, out := range rd.Send {
		returned += len(out.Message.Releases)
	}
	return len(rd.Start), returned
}

// Repeated grants must start nothing, grants without a waiting request must be
// returned at once, and grants that a keep-alive has declared void must be
// ignored.
func TestDuplicateAndVoidGrantsAreIgnored(t *testing.T) {
	n, queue := newEntryWithRequest(t)
	check := func(now time.Duration, seq uint64, starts, returned int) {
		t.Helper()
		s, r := deliverGrant(n, now, seq, queue)
		assert.DeepEqual(t, [2]int{s, r}, [2]int{starts, returned})
	}
	check(0, 5, 1, 0)
	check(0, 6, 0, 1)
	n.Arrive(0, share.Request{ID: "2", Pool: pool, Customer: "a", Weight: 1})
	check(0, 5, 0, 0)
	n.Tick(share.DefaultKeepAliveInterval) // the keep-alive acknowledges all grants up to 6
	n.Ready()
	check(share.DefaultKeepAliveInterval, 4, 0, 0)
	check(share.DefaultKeepAliveInterval, 7, 1, 0)
}

// A request whose admitters have no free slot must be directed to the fleet's
// only free slot.
func TestWaitingRequestGetsTheOnlyFreeSlot(t *testing.T) {
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

// A server that reports that it is leaving must get no new requests until a
// report says otherwise; nor must a server that is removed from the list.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	report := share.LoadReport{Server: "s0", Pools: []msg.PoolID{pool}, Slots: 2}
	n := newAdmitter(2)
	report.Leaving = true
	n.HandleLoadReport(0, report)
	sendRegistrations(n, 1, "a")
	assert.Equal(t, len(takeGrants(n)), 0)
	report.Leaving = false
	n.HandleLoadReport(0, report)
	got := takeGrants(n)
	assert.Equal(t, len(got), 2)
	n.SetServers(0, nil)
	assert.Equal(t, len(releaseGrant(n, share.Release{Seq: got[0].Seq, Cost: 1})), 0)
	n.SetServers(0, []msg.ServerID{"s0"})
	n.HandleLoadReport(0, report)
	assert.Equal(t, len(takeGrants(n)), 1)
}

// The size of the waiting requests at a router is bounded. A request that
// leaves the queue must free its bytes.
func TestWaitingBytesAreBounded(t *testing.T) {
	n := share.New(share.Config{ID: "r0", Incarnation: 1, QueueBytes: 100})
	arrive := func(id string, bytes int) []share.Refusal {
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

// An entry must repeat its registrations, in case the admitter has lost them.
func TestRegistrationIsRepeated(t *testing.T) {
	n, queue := newEntryWithRequest(t)
	repeated := 0
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		n.Tick(at)
		// The admitter is alive: it repeats its Capacity to the pool's directory,
		// which may be this router.
		n.HandleMessage(at, "r0", &share.Message{Incarnation: 1, Capacities: []share.Capacity{{Pool: pool, Slots: 4, ListVersion: 7}}})
		for _, out := range n.Ready().Send {
			for _, w := range out.Message.Registrations {
				assert.Equal(t, w.QueueID, queue)
				repeated++
			}
		}
	}
	assert.Equal(t, repeated, 1)
}

// Slots of plain services, whose calls take no longer than a message, must be
// granted ahead of time.
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

// A customer that sends occasional requests must be served promptly, however
// many requests of others wait everywhere.
func TestOccasionalCustomerIsServedPromptlyUnderLoad(t *testing.T) {
	f := smallFleet(6, 6) // 24 slots; requests of one second
	var loops []*closedLoop
	for c := range 3 {
		for _, id := range f.ids {
			loops = append(loops, &closedLoop{customer: fmt.Sprint("flood", c), entry: id, weight: 1, cost: 100, outstanding: 100})
		}
	}
	f.startLoops(loops...)
	f.run(f.now + 30*time.Second)
	for i := range 20 {
		r := request(fmt.Sprint("quiet", i), "pantry", 100, f.ids[i%6])
		f.arrive(r)
		f.run(f.now + 1500*time.Millisecond)
		assert.Equal(t, r.starts, 1, "request %d", i)
		f.run(f.now + 3*time.Second)
	}
}
