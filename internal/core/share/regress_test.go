package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// Each test here is of a failure that the fuzzing found.

// admitterOf returns a node that admits to one server of the pool.
func admitterOf(slots int) *share.Node {
	n := share.New(share.Config{ID: "r0", Incarnation: 1})
	n.SetServers(0, []msg.ServerID{"s0"})
	n.Load(0, share.LoadReport{Server: "s0", Pools: []msg.PoolID{pool}, Slots: slots})
	n.Ready()
	return n
}

func grants(n *share.Node) []share.Grant {
	var list []share.Grant
	for _, out := range n.Ready().Send {
		list = append(list, out.Message.Grants...)
	}
	return list
}

func TestLateMessageOfEarlierIncarnationIsIgnored(t *testing.T) {
	n := admitterOf(4)
	wait := func(inc, seq, queue uint64) {
		n.Step(0, "e0", &share.Message{Incarnation: inc, Seq: seq, Waits: []share.Wait{
			{Queue: queue, Pool: pool, Customer: "a", Weight: 1, Count: 1},
		}})
	}
	wait(2, 1, 1)
	wait(1, 100, 2)
	assert.Equal(t, len(grants(n)), 1)
}

func TestEndedGrantsDoNotCountAgainstRegistration(t *testing.T) {
	n := admitterOf(2)
	// The entry never says what it has seen, as after a change of members.
	m := &share.Message{Incarnation: 1, Seq: 1, Waits: []share.Wait{
		{Queue: 1, Pool: pool, Customer: "a", Weight: 1, Count: 2},
	}}
	n.Step(0, "e0", m)
	list := grants(n)
	assert.Equal(t, len(list), 2)
	n.Step(0, "e0", &share.Message{Incarnation: 1, Seq: 2, Of: 1, Ends: []share.End{{Seq: list[0].Seq}, {Seq: list[1].Seq}}})
	m.Seq = 3
	n.Step(0, "e0", m)
	assert.Equal(t, len(grants(n)), 2)
}

// After a link was cut, what waits was registered with the peer again only when
// it was next due, up to 15 s later (seen in trials of cut links).
func TestReconnectedPeerIsToldAtOnce(t *testing.T) {
	n := share.New(share.Config{ID: "e0", Incarnation: 1})
	n.SetMembers(0, []share.Member{{ID: "r0"}})
	n.Step(0, "r0", &share.Message{Incarnation: 1, Seq: 1, Admitters: []share.Admitters{
		{Pool: pool, Version: 1, Routers: []msg.RouterID{"r0"}, Slots: []int{4}},
	}})
	n.Arrive(0, share.Request{ID: "1", Pool: pool, Customer: "a", Weight: 1})
	waits := func() (count int) {
		for _, out := range n.Ready().Send {
			for _, w := range out.Message.Waits {
				count += w.Count
			}
		}
		return count
	}
	assert.Equal(t, waits(), 1) // lost
	n.Tick(100 * time.Millisecond)
	assert.Equal(t, waits(), 0)
	n.Reconnected(100*time.Millisecond, "r0")
	assert.Equal(t, waits(), 1)
}

func TestReconnectedEntryGetsUnconfirmedGrantsAgain(t *testing.T) {
	n := admitterOf(1)
	n.Step(0, "e0", &share.Message{Incarnation: 1, Seq: 1, Waits: []share.Wait{
		{Queue: 1, Pool: pool, Customer: "a", Weight: 1, Count: 1},
	}})
	first := grants(n)
	assert.Equal(t, len(first), 1) // lost
	n.Tick(time.Millisecond)
	assert.Equal(t, len(grants(n)), 0)
	n.Reconnected(time.Millisecond, "e0")
	n.Tick(2 * time.Millisecond)
	assert.DeepEqual(t, grants(n), first)
}

func TestListWithUnknownMemberIsAskedForAgain(t *testing.T) {
	n := share.New(share.Config{ID: "e0", Incarnation: 1})
	n.SetMembers(0, []share.Member{{ID: "r0"}})
	n.Step(0, "r0", &share.Message{Incarnation: 1, Seq: 1, Admitters: []share.Admitters{
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
		for _, a := range out.Message.Asks {
			asks++
			assert.Equal(t, a.Version, uint64(0))
		}
	}
	assert.Equal(t, asks, 1)
}

// Two routers that each believe to admit to a server, as for a moment after a
// partition, may together start at most twice its slots there; once they
// agree, the load reports hold back whoever has not started what runs.
func TestTwoAdmittersStartAtMostTwiceTheSlots(t *testing.T) {
	f := smallFleet(2, 1)
	f.setMembersOf("r0", "r1")
	f.setMembersOf("r1", "r0")
	f.cut["r1"] = 1
	for i := range 40 {
		f.arrive(request(fmt.Sprint(i), "a", 1000, f.ids[i%2]))
	}
	f.run(f.now + 5*time.Second)
	assert.Assert(t, f.over <= 4, "%d over the slots", f.over)
}

func TestRestartedAdmitterGrantsNoMoreThanTheReportAllows(t *testing.T) {
	n := share.New(share.Config{ID: "r0", Incarnation: 2})
	n.SetServers(0, []msg.ServerID{"s0"})
	n.Step(0, "e0", &share.Message{Incarnation: 1, Seq: 1, Waits: []share.Wait{
		{Queue: 1, Pool: pool, Customer: "a", Weight: 1, Count: 9},
	}})
	assert.Equal(t, len(grants(n)), 0) // no report yet
	n.Load(0, share.LoadReport{Server: "s0", Pools: []msg.PoolID{pool}, Slots: 8, Running: 5, Queued: 1})
	assert.Equal(t, len(grants(n)), 2)
}

// standing returns what the first of the routers that has served the customer
// says of it.
func (f *fleet) standing(customer msg.CustomerID, ids ...msg.RouterID) share.View {
	for _, id := range ids {
		for _, v := range f.nodes[id].Views() {
			if v.Customer == customer && v.Served > 0 {
				return v
			}
		}
	}
	return share.View{}
}

func TestTotalsSurviveTheRestartOfTheRoot(t *testing.T) {
	f := smallFleet(7, 7) // two levels below the root, r0
	w := &world{fleet: f}
	w.backlog([]msg.RouterID{"r1", "r2", "r6"})
	f.run(f.now + 20*time.Second)
	before := f.standing("c2", "r5", "r6")
	f.startNode("r0")
	for _, id := range f.ids {
		f.setMembersOf(id, "")
		f.setServersOf(id)
	}
	f.run(f.now + 20*time.Second)
	after := f.standing("c2", "r5", "r6")
	assert.Assert(t, before.Registered > 0 && after.Registered > 0)
	assert.Assert(t, after.Floor > before.Floor, "%v %v", before, after)
}

// The counters decide alike whether or not the fleet is one router: close to
// the all-knowing queue, far from each router alone.
func TestAgainstReferences(t *testing.T) {
	w := workloadOf(8, 20)
	length := warmUp + 60*time.Second
	ideal := w.play(newCells(w, false), 0, length)
	naive := w.play(newCells(w, true), 0, length)
	f := fleetOf(w, share.Config{})
	got := w.play(f, f.now, length)
	assert.Assert(t, got.gap < 1.5*ideal.gap, "%.0f, all-knowing %.0f", got.gap, ideal.gap)
	assert.Assert(t, got.gap < naive.gap/2, "%.0f, naive %.0f", got.gap, naive.gap)
	assert.Assert(t, got.util > 0.99*ideal.util, "%.4f, all-knowing %.4f", got.util, ideal.util)
	assert.Equal(t, f.over, 0)
}

func TestAccountsOfCustomersThatStayAwayAreDropped(t *testing.T) {
	f := smallFleet(1, 1)
	f.arrive(request("1", "a", 10, "r0"))
	f.run(f.now + time.Minute)
	assert.Equal(t, len(f.nodes["r0"].Views()), 1)
	f.run(f.now + 15*time.Minute)
	assert.Equal(t, len(f.nodes["r0"].Views()), 0)
}

func TestPoolThatLosesItsLastServerIsRefused(t *testing.T) {
	f := smallFleet(3, 1)
	f.arrive(request("1", "a", 1, "r1"))
	f.run(f.now + 15*time.Second) // the directory is no longer new
	for id := range f.nodes {
		f.nodes[id].SetServers(f.now, nil)
	}
	var why share.Reason
	f.refused = func(_ *simRequest, got share.Reason) { why = got }
	f.arrive(request("2", "a", 1, "r1"))
	f.run(f.now + 5*time.Second)
	assert.Equal(t, why, share.NoServer)
}

// An entry that is cut off does not renew its grants: they are over after the
// timeout, and the slots go to others.
func TestGrantsOfAnEntryCutOffExpire(t *testing.T) {
	n := admitterOf(2)
	wait := func(from msg.RouterID) {
		n.Step(0, from, &share.Message{Incarnation: 1, Seq: 1, Waits: []share.Wait{
			{Queue: 1, Pool: pool, Customer: "a", Weight: 1, Count: 2},
		}})
	}
	wait("e0")
	assert.Equal(t, len(grants(n)), 2)
	wait("e1")
	assert.Equal(t, len(grants(n)), 0)
	for at := time.Duration(0); at <= share.DefaultGrantTimeout+time.Second; at += 100 * time.Millisecond {
		n.Tick(at)
	}
	assert.Equal(t, n.Stats().Expired, uint64(2))
	assert.Equal(t, n.Stats().Granted, uint64(4))
	assert.Assert(t, n.Stats().Resent > 0)
}

// A parent that for a while did not count the child among the members has
// forgotten what the child's counts are relative to.
func TestChildThatItsParentForgotIsCountedAgain(t *testing.T) {
	f := smallFleet(3, 6)
	w := &world{fleet: f}
	w.backlog([]msg.RouterID{"r1", "r2"})
	f.run(f.now + 10*time.Second)
	f.setMembersOf("r0", "r1")
	f.run(f.now + 5*time.Second)
	f.setMembers(f.ids)
	f.run(f.now + 10*time.Second)
	floor, served := f.standing("c0", "r1").Floor, f.servedBy("c0")
	f.run(f.now + 40*time.Second)
	counted, all := f.standing("c0", "r1").Floor-floor, f.servedBy("c0")-served
	assert.Assert(t, counted > 0.9*all, "%.0f of %.0f counted", counted, all)
}

// servedBy is what all admitters together have given the customer.
func (f *fleet) servedBy(customer msg.CustomerID) float64 {
	sum := 0.0
	for _, id := range f.ids {
		sum += f.standing(customer, id).Served
	}
	return sum
}

// The queues of a restarted entry have the numbers of others before it.
func TestGrantToAnEarlierIncarnationOfTheEntryIsIgnored(t *testing.T) {
	n, queue := entryWith(t)
	m := &share.Message{Incarnation: 1, Of: 9, Grants: []share.Grant{{Seq: 1, Queue: queue, Server: "s0"}}}
	n.Step(0, "r0", m)
	assert.Equal(t, len(n.Ready().Start), 0)
	m.Of = 1
	n.Step(0, "r0", m)
	assert.Equal(t, len(n.Ready().Start), 1)
}

// An admitter says which incarnation of the entry its grants are for.
func TestGrantsSayWhomTheyAreFor(t *testing.T) {
	n := admitterOf(4)
	n.Step(0, "e0", &share.Message{Incarnation: 7, Seq: 1, Waits: []share.Wait{
		{Queue: 1, Pool: pool, Customer: "a", Weight: 1, Count: 1},
	}})
	for _, out := range n.Ready().Send {
		assert.Equal(t, out.Message.Of, uint64(7))
	}
}

// What a parent acknowledges to a child's earlier incarnation says nothing of
// the counts of the present one.
func TestAcknowledgementOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	edgeOf := func(incarnation uint64) uint64 {
		n := share.New(share.Config{ID: "r1", Incarnation: incarnation})
		n.SetMembers(0, []share.Member{{ID: "r0"}})
		n.Tick(time.Second)
		for _, out := range n.Ready().Send {
			if out.Message.Up != nil {
				return out.Message.Up.Edge
			}
		}
		return 0
	}
	assert.Assert(t, edgeOf(1) != 0 && edgeOf(1) != edgeOf(2))
}
