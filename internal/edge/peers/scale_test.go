package peers

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

// BenchmarkHeartbeat is what a router pays for one report of the fleet's total, and for
// one of its own, at several sizes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, servers := range []int{90, 600, 3000} {
		p := lone(b, time.Now, noWait)
		var list []routing.Server
		for i := range servers {
			list = append(list, routing.Server{ID: fmt.Sprintf("i-%010x", i), Service: "llm", Slots: 32, State: routing.ServerReady})
		}
		p.State.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 32, CacheTokens: 300000}}}}, nil)
		p.State.ReplaceServers(list, roster.Stamp{Version: 1}, true)
		w := heartbeat{Control: "10.0.0.1:1", DataCentre: "dc", Kind: kindTotal, Version: 1, List: 1, Loads: map[routing.ServerKey][3]int64{}, Rates: map[string][2]int64{}}
		for i := range min(servers, 200) {
			w.Loads[routing.Identity{ID: list[i].ID}.Key()] = [3]int64{5000, 9000, 3}
		}
		for i := range 30 {
			w.Rates[fmt.Sprintf("cust%03d", i)] = [2]int64{10000, 9000}
		}
		text, err := cbor.Marshal(w)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("taken/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(text)), "bytes")
			for b.Loop() {
				var w heartbeat
				if err := cbor.Unmarshal(text, &w); err != nil {
					b.Fatal(err)
				}
				p.take(w, time.Now())
			}
		})
		b.Run(fmt.Sprintf("told/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cbor.Marshal(p.heartbeat(kindOwn, p.State.Report(), nil)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory is what a router holds of each server and of each other router.
func BenchmarkMemory(b *testing.B) {
	const servers, routers = 10_000, 985
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		empty := heap()
		p := lone(b, time.Now, noWait)
		p.State.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 300000}}}}, nil)
		p.State.ReplaceServers(fleetOf(servers), roster.Stamp{Version: 1}, true)
		withServers := heap()
		for i := range routers {
			p.take(heartbeat{Control: fmt.Sprintf("10.%d.%d.%d:8785", i%5, i/250, i%250), DataCentre: "dc", Kind: kindOwn, Version: 1, List: 1}, time.Now())
		}
		withRouters := heap()
		b.ReportMetric((withServers-empty)/servers, "B/server")
		b.ReportMetric((withRouters-withServers)/routers, "B/router")
		runtime.KeepAlive(p)
	}
}

// fleetOf returns n servers, as the platform lists them.
func fleetOf(n int) []routing.Server {
	list := make([]routing.Server, n)
	for i := range list {
		list[i] = routing.Server{
			ID: fmt.Sprintf("i-%08x", i*7919), Born: int64(i), Service: "llm", Addr: fmt.Sprintf("10.%d.%d.%d:8080", i%5, i/250, i%250),
			DataCentre: "dc", Version: "v1", Slots: 64, State: routing.ServerReady, EntryVersion: uint64(i),
		}
	}
	return list
}
