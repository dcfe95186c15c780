package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// Each test in this file covers a failure found by fuzzing.

// newAdmitter returns a node that admits to one server of the pool.
func newAdmitter(slots int) *share.Node {
	n := share.New(share.Config{ID: "r0", Incarnation: 1})
	n.SetServers(0, []msg.ServerID{"s0"})
	n.HandleLoadReport(0, share.LoadReport{Server: "s0", Pools: []msg.PoolID{pool}, Slots: slots})
	n.Ready()
	return n
}

func takeGrants(n *share.Node) []share.Grant {
	var list []share.Grant
	for _, out := range n.Ready().Send {
		list = append(list, out.Message.Grants...)
	}
	return list
}

func TestLateMessageOfEarlierIncarnationIsIgnored(t *testing.T) {
	n := newAdmitter(4)
	wait := func(inc, seq, queue uint64) {
		n.HandleMessage(0, "e0", &share.Message{Incarnation: inc, Seq: seq, Registrations: []share.Registration{
			{QueueID: queue, Pool: pool, Customer: "a", Weight: 1, Count: 1},
		}})
	}
	wait(2, 1, 1)
	wait(1, 100, 2)
	assert.Equal(t, len(takeGrants(n)), 1)
}

func TestEndedGrantsDoNotCountAgainstRegistration(t *testing.T) {
	n := newAdmitter(2)
	// The entry never sends HighestGrantSeen, as after a change of members.
	m := &share.Message{Incarnation: 1, Seq: 1, Registrations: []share.Registration{
		{QueueID: 1, Pool: pool, Customer: "a", Weight: 1, Count: 2},
	}}
	n.HandleMessage(0, "e0", m)
	list := takeGrants(n)
	assert.Equal(t, len(list), 2)
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 1, Seq: 2, ReceiverIncarnation: 1, Releases: []share.Release{{Seq: list[0].Seq}, {Seq: list[1].Seq}}})
	m.Seq = 3
	n.HandleMessage(0, "e0", m)
	assert.Equal(t, len(takeGrants(n)), 2)
}

// After a link was interrupted, waiting requests were registered with the peer
// again only at the next regular refresh, up to 15 s later (seen in trials with
// interrupted links).
func TestReconnectRepeatsRegistrationsAtOnce(t *testing.T) {
	n := share.New(share.Config{ID: "e0", Incarnation: 1})
	n.SetMembers(0, []share.Member{{ID: "r0"}})
	n.HandleMessage(0, "r0", &share.Message{Incarnation: 1, Seq: 1, AdmitterLists: []share.AdmitterList{
		{Pool: pool, Version: 1, Routers: []msg.RouterID{"r0"}, Slots: []int{4}},
	}})
	n.Arrive(0, share.Request{ID: "1", Pool: pool, Customer: "a", Weight: 1})
	waits := func() (count int) {
		for _, out := range n.Ready().Send {
			for _, w := range out.Message.Registrations {
				count += w.Count
			}
		}
		return count
	}
	assert.Equal(t, waits(), 1) // lost
	n.Tick(100 * time.Millisecond)
	assert.Equal(t, waits(), 0)
	n.HandleReconnect(100*time.Millisecond, "r0")
	assert.Equal(t, waits(), 1)
}

func TestReconnectResendsUnconfirmedGrants(t *testing.T) {
	n := newAdmitter(1)
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 1, Seq: 1, Registrations: []share.Registration{
		{QueueID: 1, Pool: pool, Customer: "a", Weight: 1, Count: 1},
	}})
	first := takeGrants(n)
	assert.Equal(t, len(first), 1) // lost
	n.Tick(time.Millisecond)
	assert.Equal(t, len(takeGrants(n)), 0)
	n.HandleReconnect(time.Millisecond, "e0")
	n.Tick(2 * time.Millisecond)
	assert.DeepEqual(t, takeGrants(n), first)
}

func TestAdmitterListWithUnknownMemberIsRequestedAgain(t *testing.T) {
	n := share.New(share.Config{ID: "e0", Incarnation: 1})
	n.SetMembers(0, []share.Member{{ID: "r0"}})
	n.HandleMessage(0, "r0", &share.Message{Incarnation: 1, Seq: 1, AdmitterLists: []share.AdmitterList{
		{Pool: pool, Version: 7, Routers: []msg.RouterID{"r1"}, Slots: []int{4}},
	}})
	var members []share.Member
	for i := range 20 { // the pool's directory is one of them, not e0
		members = append(members, share.Member{ID: msg.RouterID(fmt.Sprint("r", i))})
	}
	n.SetMembers(0, members)
	n.Arrive(0, share.Request{ID: "1", Pool: pool, Customer: "a", Weight: 1})
	asks := 0
	for _, out := range n.Ready().Send {
		for _, a := range out.Message.Demands {
			asks++
			assert.Equal(t, a.ListVersion, uint64(0))
		}
	}
	assert.Equal(t, asks, 1)
}

// Two routers may both believe that they admit to a server, for a short time
// after a partition. Together they start at most twice the server's slots
// there. Once they agree, load reports make the new admitter allow for the
// requests that it did not start.
func TestTwoAdmittersStartAtMostTwiceTheSlots(t *testing.T) {
	f := smallFleet(2, 1)
	f.setMembersOf("r0", "r1")
	f.setMembersOf("r1", "r0")
	f.side["r1"] = 1
	for i := range 40 {
		f.arrive(request(fmt.Sprint(i), "a", 1000, f.ids[i%2]))
	}
	f.run(f.now + 5*time.Second)
	assert.Assert(t, f.overSlots <= 4, "%d over the slots", f.overSlots)
}

func TestRestartedAdmitterGrantsNoMoreThanTheReportAllows(t *testing.T) {
	n := share.New(share.Config{ID: "r0", Incarnation: 2})
	n.SetServers(0, []msg.ServerID{"s0"})
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 1, Seq: 1, Registrations: []share.Registration{
		{QueueID: 1, Pool: pool, Customer: "a", Weight: 1, Count: 9},
	}})
	assert.Equal(t, len(takeGrants(n)), 0) // no report yet
	n.HandleLoadReport(0, share.LoadReport{Server: "s0", Pools: []msg.PoolID{pool}, Slots: 8, Running: 5, Queued: 1})
	assert.Equal(t, len(takeGrants(n)), 2)
}

// firstView returns the customer's view at the first of the routers that has
// served the customer.
func (f *fleet) firstView(customer msg.CustomerID, ids ...msg.RouterID) share.CustomerView {
	for _, id := range ids {
		for _, v := range f.nodes[id].CustomerViews() {
			if v.Customer == customer && v.LocalServed > 0 {
				return v
			}
		}
	}
	return share.CustomerView{}
}

func TestTotalsSurviveTheRestartOfTheRoot(t *testing.T) {
	f := smallFleet(7, 7) // two levels below the root, r0
	w := &faultyFleet{fleet: f}
	w.backlog([]msg.RouterID{"r1", "r2", "r6"})
	f.run(f.now + 20*time.Second)
	before := f.firstView("c2", "r5", "r6")
	f.startNode("r0")
	for _, id := range f.ids {
		f.setMembersOf(id, "")
		f.setServersOf(id)
	}
	f.run(f.now + 20*time.Second)
	after := f.firstView("c2", "r5", "r6")
	assert.Assert(t, before.Registered > 0 && after.Registered > 0)
	assert.Assert(t, after.Floor > before.Floor, "%v %v", before, after)
}

// The fleet's fairness must be close to that of a central queue and far better
// than that of routers that do not share counters.
func TestFairnessComparedWithReferenceSchedulers(t *testing.T) {
	w := workloadOf(8, 20)
	length := warmUp + 60*time.Second
	ideal := w.play(newReferenceScheduler(w, false), 0, length)
	naive := w.play(newReferenceScheduler(w, true), 0, length)
	f := fleetOf(w, share.Config{})
	got := w.play(f, f.now, length)
	assert.Assert(t, got.gap < 1.5*ideal.gap, "%.0f, central queue %.0f", got.gap, ideal.gap)
	assert.Assert(t, got.gap < naive.gap/2, "%.0f, independent routers %.0f", got.gap, naive.gap)
	assert.Assert(t, got.util > 0.99*ideal.util, "%.4f, central queue %.4f", got.util, ideal.util)
	assert.Equal(t, f.overSlots, 0)
}

func TestAccountsOfInactiveCustomersAreDeleted(t *testing.T) {
	f := smallFleet(1, 1)
	f.arrive(request("1", "a", 10, "r0"))
	f.run(f.now + time.Minute)
	assert.Equal(t, len(f.nodes["r0"].CustomerViews()), 1)
	f.run(f.now + 15*time.Minute)
	assert.Equal(t, len(f.nodes["r0"].CustomerViews()), 0)
}

func TestRequestsAreRefusedAfterPoolLosesItsLastServer(t *testing.T) {
	f := smallFleet(3, 1)
	f.arrive(request("1", "a", 1, "r1"))
	f.run(f.now + 15*time.Second) // longer than the directory's warm-up
	for id := range f.nodes {
		f.nodes[id].SetServers(f.now, nil)
	}
	var why share.Reason
	f.refused = func(_ *simRequest, got share.Reason) { why = got }
	f.arrive(request("2", "a", 1, "r1"))
	f.run(f.now + 5*time.Second)
	assert.Equal(t, why, share.NoServer)
}

// A disconnected entry sends no keep-alives: its grants must expire after the
// timeout, and the slots must go to others.
func TestGrantsOfADisconnectedEntryExpire(t *testing.T) {
	n := newAdmitter(2)
	wait := func(from msg.RouterID) {
		n.HandleMessage(0, from, &share.Message{Incarnation: 1, Seq: 1, Registrations: []share.Registration{
			{QueueID: 1, Pool: pool, Customer: "a", Weight: 1, Count: 2},
		}})
	}
	wait("e0")
	assert.Equal(t, len(takeGrants(n)), 2)
	wait("e1")
	assert.Equal(t, len(takeGrants(n)), 0)
	for at := time.Duration(0); at <= share.DefaultGrantTimeout+time.Second; at += 100 * time.Millisecond {
		n.Tick(at)
	}
	assert.Equal(t, n.Stats().Expired, uint64(2))
	assert.Equal(t, n.Stats().Granted, uint64(4))
	assert.Assert(t, n.Stats().Resent > 0)
}

// A parent that temporarily removed a child from the members has lost the base
// that the child's reports are relative to. The child must notice and start a
// new edge.
func TestChildIsCountedAgainAfterItsParentDroppedIt(t *testing.T) {
	f := smallFleet(3, 6)
	w := &faultyFleet{fleet: f}
	w.backlog([]msg.RouterID{"r1", "r2"})
	f.run(f.now + 10*time.Second)
	f.setMembersOf("r0", "r1")
	f.run(f.now + 5*time.Second)
	f.setMembers(f.ids)
	f.run(f.now + 10*time.Second)
	floor, served := f.firstView("c0", "r1").Floor, f.servedBy("c0")
	f.run(f.now + 40*time.Second)
	counted, all := f.firstView("c0", "r1").Floor-floor, f.servedBy("c0")-served
	assert.Assert(t, counted > 0.9*all, "%.0f of %.0f counted", counted, all)
}

// servedBy returns the service that all admitters together have given the
// customer.
func (f *fleet) servedBy(customer msg.CustomerID) float64 {
	sum := 0.0
	for _, id := range f.ids {
		sum += f.firstView(customer, id).LocalServed
	}
	return sum
}

// A restarted entry reuses queue numbers, so a grant for its earlier
// incarnation must not reach another queue.
func TestGrantToAnEarlierIncarnationOfTheEntryIsIgnored(t *testing.T) {
	n, queue := newEntryWithRequest(t)
	m := &share.Message{Incarnation: 1, ReceiverIncarnation: 9, Grants: []share.Grant{{Seq: 1, QueueID: queue, Server: "s0"}}}
	n.HandleMessage(0, "r0", m)
	assert.Equal(t, len(n.Ready().Start), 0)
	m.ReceiverIncarnation = 1
	n.HandleMessage(0, "r0", m)
	assert.Equal(t, len(n.Ready().Start), 1)
}

// An admitter must send the entry's incarnation with its grants.
func TestGrantsNameTheEntrysIncarnation(t *testing.T) {
	n := newAdmitter(4)
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 7, Seq: 1, Registrations: []share.Registration{
		{QueueID: 1, Pool: pool, Customer: "a", Weight: 1, Count: 1},
	}})
	for _, out := range n.Ready().Send {
		assert.Equal(t, out.Message.ReceiverIncarnation, uint64(7))
	}
}

// An acknowledgement for a child's earlier incarnation must not be applied to
// the counters of the current one: edge IDs differ between incarnations.
func TestAcknowledgementOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	edgeOf := func(incarnation uint64) uint64 {
		n := share.New(share.Config{ID: "r1", Incarnation: incarnation})
		n.SetMembers(0, []share.Member{{ID: "r0"}})
		n.Tick(time.Second)
		for _, out := range n.Ready().Send {
			if out.Message.ServiceReport != nil {
				return out.Message.ServiceReport.EdgeID
			}
		}
		return 0
	}
	assert.Assert(t, edgeOf(1) != 0 && edgeOf(1) != edgeOf(2))
}
