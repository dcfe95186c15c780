package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

const pool = msg.PoolID("m/model-0") // poolName(0)

func request(id, customer string, cost float64, entry msg.RouterID) *simRequest {
	return &simRequest{
		Request: share.Request{ID: msg.RequestID(id), Pool: pool, Customer: msg.CustomerID(customer), Weight: 1},
		entry:   entry, cost: cost,
	}
}

func dataCentre(id msg.RouterID) string { return "d" + string(id[len(id)-1:]) }

func smallFleet(routers, servers int) *fleet {
	f := newFleet(1, routers, share.Config{})
	for i := range servers {
		f.addServer(fmt.Sprintf("s%d", i), 4, 100, pool)
	}
	f.setServers()
	f.run(2 * time.Second)
	return f
}

func TestLocalRequestStartsAtOnce(t *testing.T) {
	f := smallFleet(1, 1)
	r := request("1", "a", 10, "r0")
	f.arrive(r)
	assert.Equal(t, r.starts, 1)
}

func TestRequestStartsWithinARoundTripIfASlotIsFree(t *testing.T) {
	f := smallFleet(8, 8)
	for i, id := range f.ids {
		r := request(fmt.Sprint(i), "a", 10, id)
		f.arrive(r)
		f.run(f.now + 20*time.Millisecond)
		assert.Equal(t, r.starts, 1, "%s", id)
	}
}

func TestEveryWaitingRequestRunsOnceAndNoSlotIsLeaked(t *testing.T) {
	f := smallFleet(8, 3)
	var all []*simRequest
	for i := range 200 {
		r := request(fmt.Sprint(i), fmt.Sprint("c", i%7), 20, f.ids[i%8])
		all = append(all, r)
		f.arrive(r)
	}
	f.run(f.now + 30*time.Second)
	for _, r := range all {
		assert.Equal(t, r.starts, 1, "%s", r.ID)
		assert.Assert(t, r.ended)
	}
	assert.Equal(t, f.overSlots, 0)
}

func TestUnknownPoolIsRefused(t *testing.T) {
	f := smallFleet(2, 1)
	r := request("1", "a", 1, "r1")
	r.Pool = "m/none"
	var why share.Reason
	f.refused = func(_ *simRequest, got share.Reason) { why = got }
	f.arrive(r)
	f.run(f.now + 3*time.Second)
	assert.Equal(t, why, share.NoServer)
}

func TestQueueLimits(t *testing.T) {
	n := share.New(share.Config{ID: "r0", Incarnation: 1, QueueRequests: 3})
	arrive := func(id, customer string, limits share.Limits) {
		n.Arrive(0, share.Request{ID: msg.RequestID(id), Pool: pool, Customer: msg.CustomerID(customer), Weight: 1, Limits: limits})
	}
	arrive("1", "a", share.Limits{QueueLen: 1, QueueTime: time.Second})
	arrive("2", "a", share.Limits{QueueLen: 1, QueueTime: time.Second})
	arrive("3", "b", share.Limits{})
	arrive("4", "c", share.Limits{})
	arrive("5", "d", share.Limits{})
	n.Tick(time.Second)
	reasons := map[msg.RequestID]share.Reason{}
	for _, x := range n.Ready().Refuse {
		reasons[x.Request] = x.Reason
	}
	assert.DeepEqual(t, reasons, map[msg.RequestID]share.Reason{
		"2": share.QueueFull, "5": share.RouterFull, "1": share.QueueTimeout,
	})
}

func TestEntryEnforcesConcurrencyLimit(t *testing.T) {
	f := smallFleet(2, 2)
	for i := range 6 {
		r := request(fmt.Sprint(i), "a", 100, "r0")
		r.Limits.Concurrency = 2
		f.arrive(r)
	}
	f.run(f.now + 500*time.Millisecond)
	running := 0
	for _, s := range f.servers {
		running += len(s.running)
	}
	assert.Equal(t, running, 2)
}
