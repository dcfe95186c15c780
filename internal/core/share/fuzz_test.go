package share_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

const (
	fuzzSlots   = 3
	fuzzRate    = 100.0
	fuzzCostMax = 100
)

// faultyFleet injects faults into a fleet and checks its invariants: a request
// starts at most once, and every node's state is consistent. After the faults
// end, all waiting requests run, no slot stays reserved, and the customers get
// equal service.
type faultyFleet struct {
	*fleet
	t     *rapid.T
	all   []*simRequest
	count int
}

func newFaultyFleet(t *rapid.T) *faultyFleet {
	routers := rapid.IntRange(1, 8).Draw(t, "routers")
	servers := rapid.IntRange(1, 5).Draw(t, "servers")
	w := &faultyFleet{fleet: newFleet(rapid.Uint64().Draw(t, "seed"), routers, share.Config{}), t: t}
	for i := range servers {
		w.addServer(fmt.Sprintf("s%d", i), fuzzSlots, fuzzRate, poolName(i%2))
	}
	w.setServers()
	w.run(time.Second)
	return w
}

func (w *faultyFleet) router(name string) msg.RouterID {
	return rapid.SampledFrom(w.ids).Draw(w.t, name)
}

func (w *faultyFleet) send(customer int, pool msg.PoolID, entry msg.RouterID, cost, concurrency int) {
	w.count++
	r := request(fmt.Sprint(w.count), fmt.Sprint("c", customer), float64(cost), entry)
	r.Pool = pool
	r.Limits.Concurrency = concurrency
	w.all = append(w.all, r)
	w.arrive(r)
}

func (w *faultyFleet) check() {
	for _, id := range w.ids {
		if wrong := w.nodes[id].Check(); wrong != "" {
			w.t.Fatalf("%s: %s", id, wrong)
		}
	}
	for _, r := range w.all {
		if r.starts > 1 || (r.refused && r.starts > 0) {
			w.t.Fatalf("%s started %d times, refused %v", r.ID, r.starts, r.refused)
		}
	}
}

func (w *faultyFleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { w.check() },
		"arrive": func(t *rapid.T) {
			c, p := rapid.IntRange(0, 4).Draw(t, "customer"), rapid.IntRange(0, 1).Draw(t, "pool")
			entry := w.router("entry")
			limit := rapid.SampledFrom([]int{0, 0, 2}).Draw(t, "concurrency")
			for range rapid.IntRange(1, 10).Draw(t, "burst") {
				w.send(c, poolName(p), entry, rapid.IntRange(1, fuzzCostMax).Draw(t, "cost"), limit)
			}
		},
		"cancel": func(t *rapid.T) {
			if len(w.all) > 0 {
				r := w.all[rapid.IntRange(0, len(w.all)-1).Draw(t, "which")]
				w.nodes[r.entry].Cancel(w.clock(r.entry), r.ID)
				r.refused = r.starts == 0
				w.runActions(r.entry)
			}
		},
		"wait": func(t *rapid.T) {
			w.run(w.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond)
		},
		"loss":      func(t *rapid.T) { w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss") },
		"partition": func(*rapid.T) { w.side[w.router("away")] = 1 },
		"heal":      func(*rapid.T) { w.side = map[msg.RouterID]int{} },
		"restart":   func(*rapid.T) { w.restart(w.router("restarted")) },
		"clock": func(t *rapid.T) {
			w.skew[w.router("paused")] += time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second
		},
		"server": func(t *rapid.T) {
			s := w.servers[msg.ServerID(fmt.Sprint("s", rapid.IntRange(0, len(w.servers)-1).Draw(t, "server")))]
			s.leaving = rapid.Bool().Draw(t, "leaving")
			s.overloaded = rapid.Bool().Draw(t, "refuses")
		},
		"members": func(*rapid.T) {
			of, without := w.router("of"), w.router("without")
			w.setMembersOf(of, without)
		},
	}
}

// restart restarts a router without state. Its callers are disconnected;
// requests that run at servers continue.
func (w *faultyFleet) restart(id msg.RouterID) {
	for _, r := range w.all {
		if r.entry == id && r.starts == 0 {
			r.refused = true
		}
	}
	w.startNode(id)
	w.setMembersOf(id, "")
	w.setServersOf(id)
}

// settle ends the faults and waits until their leftovers have expired.
func (w *faultyFleet) settle() {
	w.loss, w.side = 0, map[msg.RouterID]int{}
	for _, s := range w.servers {
		s.leaving, s.overloaded = false, false
	}
	w.setMembers(w.ids)
	w.setServers()
	w.run(w.now + time.Minute)
}

// backlog keeps requests of all customers waiting in the first pool.
func (w *faultyFleet) backlog(entries []msg.RouterID) {
	left := map[simKey]int{}
	feed := func(c int) {
		for left[simKey{poolName(0), msg.CustomerID(fmt.Sprint("c", c))}] < 30 {
			left[simKey{poolName(0), msg.CustomerID(fmt.Sprint("c", c))}]++
			w.send(c, poolName(0), entries[c], 10+(w.count*37)%(fuzzCostMax-10), 0)
		}
	}
	w.done = func(r *simRequest) {
		left[keyOf(r)]--
		for c := range entries {
			feed(c)
		}
	}
	for c := range entries {
		feed(c)
	}
}

func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFaultyFleet(t)
		t.Repeat(w.actions())
		w.settle()
		w.check()
		for _, r := range w.all {
			if !r.ended && !r.refused {
				t.Fatalf("%s of %s at %s still waits or runs", r.ID, r.Customer, r.entry)
			}
		}
		for id := range w.servers {
			for _, router := range w.ids {
				if n := w.nodes[router].Held(id); n > 0 {
					t.Fatalf("%s holds %d grants of %s", router, n, id)
				}
			}
		}
		w.checkBacklogged(t)
	})
}

// floor returns the highest floor of the first pool's totals at any router.
func (w *faultyFleet) floor() float64 {
	high := 0.0
	for _, id := range w.ids {
		for _, v := range w.nodes[id].CustomerViews() {
			if v.Pool == poolName(0) {
				high = max(high, v.Floor)
			}
		}
	}
	return high
}

// checkBacklogged loads the fleet after the faults: no slot may idle, and the
// customers' service may differ only by what is running.
func (w *faultyFleet) checkBacklogged(t *rapid.T) {
	var entries []msg.RouterID
	for range 3 {
		entries = append(entries, w.router("entry"))
	}
	w.backlog(entries)
	w.run(w.now + 10*time.Second)
	base, busy, began, floor := w.service(), w.busyTime(), w.now, w.floor()
	slots := 0
	for _, s := range w.servers {
		if s.pools[0] == poolName(0) {
			slots += s.slots
		}
	}
	w.run(w.now + 20*time.Second)
	util := (w.busyTime() - busy).Seconds() / (w.now - began).Seconds() / float64(slots)
	if util < 0.97 {
		t.Fatalf("utilisation %.3f while requests wait", util)
	}
	got := w.service()
	low, high := 1e18, 0.0
	for c := range entries {
		k := simKey{poolName(0), msg.CustomerID(fmt.Sprint("c", c))}
		low, high = min(low, got[k]-base[k]), max(high, got[k]-base[k])
	}
	if rise := w.floor() - floor; rise < 0.7*low {
		t.Fatalf("%.0f of %.0f counted in the totals", rise, low)
	}
	if bound := 6.0 * fuzzCostMax; high-low > bound {
		t.Fatalf("gap %.0f, bound %.0f", high-low, bound)
	}
}

// refuse ends an attempt that the server does not run. The request arrives
// again and avoids the server.
func (f *fleet) refuse(r *simRequest) {
	n := f.nodes[r.entry]
	f.after(f.latency(), func() {
		r.starts--
		if f.nodes[r.entry] != n {
			r.refused = true // its caller was disconnected
			return
		}
		n.End(f.clock(r.entry), r.ID, share.Result{Busy: r.server.overloaded, Leaving: r.server.leaving})
		r.Avoid = []msg.ServerID{r.server.id}
		n.Arrive(f.clock(r.entry), r.Request)
		f.runActions(r.entry)
	})
}

// Any message must survive encoding and decoding, and must leave a node's state
// consistent.
func TestArbitraryMessages(t *testing.T) {
	message := rapid.Make[*share.Message]()
	rapid.Check(t, func(t *rapid.T) {
		n := newAdmitter(4)
		n.SetMembers(0, []share.Member{{ID: "e0"}, {ID: "e1"}})
		for range rapid.IntRange(1, 5).Draw(t, "messages") {
			m := message.Draw(t, "message")
			if m == nil {
				continue
			}
			if b, err := share.Encode(m); err != nil {
				t.Fatal(err)
			} else if m, err = share.Decode(b); err != nil {
				t.Fatal(err)
			}
			n.HandleMessage(time.Second, "e0", m)
			n.Tick(2 * time.Second)
			n.Ready()
		}
		if wrong := n.Check(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}
