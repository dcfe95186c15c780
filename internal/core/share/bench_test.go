package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// fleetOf returns a fleet for a workload, with the pools divided evenly among
// the servers.
func fleetOf(w workload, config share.Config) *fleet {
	f := newFleet(1, w.routers, config)
	addrs := map[msg.ServerID]share.Addr{}
	for i := range w.servers {
		addrs[msg.ServerID(fmt.Sprintf("s%d", i))] = share.Addr("\x0a\x00\x00\x01\x1f\x90")
		f.addServer(fmt.Sprintf("s%d", i), w.slots, w.rate, w.pool(i%w.pools))
	}
	for _, n := range f.nodes {
		n.SetAddrs(addrs)
	}
	f.setServers()
	f.run(2 * time.Second)
	return f
}

func workloadOf(routers, servers int) workload {
	return workload{
		routers: routers, servers: servers, slots: 8, pools: 4, customers: 1000, backlogged: 100,
		rate: 200, lightLoad: 0.05, weights: []float64{1, 1, 1, 2},
	}
}

// BenchmarkSharing runs a workload of 100 backlogged customers out of 1,000 on
// simulated fleets, and compares the result with the reference schedulers.
func BenchmarkSharing(b *testing.B) {
	for _, size := range []struct {
		routers, servers int
		length           time.Duration
	}{{8, 20, 500 * time.Second}, {40, 60, 180 * time.Second}, {410, 412, 50 * time.Second}} {
		b.Run(fmt.Sprint("routers=", size.routers), func(b *testing.B) {
			for range b.N {
				measure(b, workloadOf(size.routers, size.servers), size.length)
			}
		})
	}
}

func measure(b *testing.B, w workload, length time.Duration) {
	ideal := w.play(newReferenceScheduler(w, false), 0, length)
	naive := w.play(newReferenceScheduler(w, true), 0, length)
	f := fleetOf(w, share.Config{})
	f.countBytes = true
	bytes, messages := 0, 0
	f.after(warmUp, func() { bytes, messages = f.bytes, f.messages })
	began := time.Now()
	got := w.play(f, f.now, length)
	spent := time.Since(began)
	seconds := (length - warmUp).Seconds() * float64(w.routers)
	b.ReportMetric(got.gap, "gap")
	b.ReportMetric(got.gap/ideal.gap, "gap/ideal")
	b.ReportMetric(got.gapMean/ideal.gapMean, "gapMean/ideal")
	b.ReportMetric(got.gap/naive.gap, "gap/naive")
	b.ReportMetric(got.util/ideal.util, "util/ideal")
	b.ReportMetric(float64(f.bytes-bytes)/seconds, "ctlB/router/s")
	b.ReportMetric(float64(f.messages-messages)/seconds, "ctlMsg/router/s")
	b.ReportMetric(float64(got.finished)/length.Seconds()/float64(w.routers), "req/router/s")
	b.ReportMetric(got.longest.Seconds(), "smallestWait-s")
	b.ReportMetric(ideal.longest.Seconds(), "smallestWaitIdeal-s")
	b.ReportMetric(float64(spent.Microseconds())/float64(got.finished), "us/req")
	b.ReportMetric(float64(f.overSlots), "overSlots")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkGrant measures one decision: a slot is released and granted to the
// least served of the waiting customers.
func BenchmarkGrant(b *testing.B) {
	for _, customers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) { benchGrant(b, customers) })
	}
}

func benchGrant(b *testing.B, customers int) {
	n := share.New(share.Config{ID: "r0", Incarnation: 1})
	n.SetMembers(0, []share.Member{{ID: "r0"}, {ID: "e0"}})
	var servers []msg.ServerID
	for i := range 64 {
		servers = append(servers, msg.ServerID(fmt.Sprint("s", i)))
	}
	n.SetServers(0, servers)
	server := n.Ready().Probe[0]
	n.HandleLoadReport(0, share.LoadReport{Server: server, Pools: []msg.PoolID{pool}, Slots: 1})
	var waits []share.Registration
	for i := range customers {
		waits = append(waits, share.Registration{
			QueueID: uint64(i + 1), Pool: pool, Customer: msg.CustomerID(fmt.Sprint("c", i)), Weight: 1, Count: 1 << 40,
		})
	}
	n.HandleMessage(0, "e0", &share.Message{Incarnation: 1, Seq: 1, Registrations: waits})
	n.Ready()
	end := &share.Message{Incarnation: 1, ReceiverIncarnation: 1, Releases: make([]share.Release, 1)}
	seq := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		end.Seq = seq + 1
		end.Releases[0] = share.Release{Seq: seq, Cost: msg.Cost(100 + seq%97)}
		n.HandleMessage(time.Duration(seq), "e0", end)
		n.Ready()
	}
}

// BenchmarkAdverseConditions measures fairness under conditions that make
// sharing harder, on 40 routers.
func BenchmarkAdverseConditions(b *testing.B) {
	for _, c := range []struct {
		name   string
		merge  time.Duration
		loss   float64
		churn  time.Duration // between two restarts of routers
		change func(*workload)
	}{
		{name: "plain"},
		{name: "merge=1s", merge: time.Second},
		{name: "merge=16s", merge: 16 * time.Second},
		{name: "merge=60s", merge: time.Minute},
		{name: "loss=1%", loss: 0.01},
		{name: "loss=10%", loss: 0.1},
		{name: "restart=5s", churn: 5 * time.Second},
		{name: "pausing", change: func(w *workload) { w.pausing = true }},
		{name: "weights=1..16", change: func(w *workload) { w.weights = []float64{1, 2, 4, 16} }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				w := workloadOf(40, 60)
				if c.change != nil {
					c.change(&w)
				}
				length := warmUp + 60*time.Second
				ideal := w.play(newReferenceScheduler(w, false), 0, length)
				f := fleetOf(w, share.Config{MergeInterval: c.merge})
				f.loss = c.loss
				if c.churn > 0 {
					f.after(c.churn, func() { f.churn(c.churn) })
				}
				got := w.play(f, f.now, length)
				b.ReportMetric(got.gap, "gap")
				b.ReportMetric(got.gap/ideal.gap, "gap/ideal")
				b.ReportMetric(got.gapMean/ideal.gapMean, "gapMean/ideal")
				b.ReportMetric(got.util/ideal.util, "util/ideal")
				b.ReportMetric(got.longest.Seconds(), "smallestWait-s")
				b.ReportMetric(float64(f.overSlots), "overSlots")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// churn restarts one router after another without state. Requests that waited
// there arrive again.
func (f *fleet) churn(every time.Duration) {
	id := f.ids[int(f.now/every)%len(f.ids)]
	f.startNode(id)
	f.setMembersOf(id, "")
	f.setServersOf(id)
	for _, r := range f.requests {
		if r.entry == id && r.starts == 0 {
			f.arrive(r)
		}
	}
	f.after(time.Second, func() { f.setMembers(f.ids) }) // the other routers learn of the restart
	f.after(every, func() { f.churn(every) })
}

// BenchmarkShortCalls measures calls of 5 ms to plain services.
func BenchmarkShortCalls(b *testing.B) {
	w := workload{
		routers: 8, servers: 3, slots: 4, pools: 1, customers: 20, backlogged: 16,
		rate: 200, weights: []float64{1}, cost: 1, prefix: "s/",
	}
	for range b.N {
		f := fleetOf(w, share.Config{})
		got := w.play(f, f.now, warmUp+10*time.Second)
		b.ReportMetric(got.util, "util")
		b.ReportMetric(float64(f.overSlots), "overSlots")
		b.ReportMetric(float64(f.messages)/float64(got.finished), "ctlMsg/req")
	}
}
