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

// BenchmarkHeartbeat measures the cost of receiving a report of the total load (taken) and of
// sending an own report (told), for several fleet sizes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, servers := range []int{90, 600, 3000} {
		p := isolatedPeers(b, time.Now, noWait)
		var list []routing.Server
		for i := range servers {
			list = append(list, routing.Server{ID: fmt.Sprintf("i-%010x", i), Service: "llm", Slots: 32, State: routing.ServerReady})
		}
		p.State.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 32, CacheTokens: 300000}}}}, nil)
		p.State.ReplaceServers(list, roster.Stamp{Version: 1}, true)
		w := heartbeat{ControlAddr: "10.0.0.1:1", DataCentre: "dc", Kind: kindTotal, ConfigVersion: 1, ListVersion: 1, Loads: map[routing.ServerKey][3]int64{}, Rates: map[string][2]int64{}}
		for i := range min(servers, 200) {
			w.Loads[routing.Identity{ID: list[i].ID}.Key()] = [3]int64{5000, 9000, 3}
		}
		for i := range 30 {
			w.Rates[fmt.Sprintf("cust%03d", i)] = [2]int64{10000, 9000}
		}
		data, err := cbor.Marshal(w)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("taken/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(data)), "bytes")
			for b.Loop() {
				var w heartbeat
				if err := cbor.Unmarshal(data, &w); err != nil {
					b.Fatal(err)
				}
				p.handleHeartbeat(w, time.Now())
			}
		})
		b.Run(fmt.Sprintf("told/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cbor.Marshal(p.newHeartbeat(kindOwn, p.State.Report(), nil)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory measures the memory that a router uses per server and per other router.
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
		p := isolatedPeers(b, time.Now, noWait)
		p.State.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 300000}}}}, nil)
		p.State.ReplaceServers(makeServers(servers), roster.Stamp{Version: 1}, true)
		withServers := heap()
		for i := range routers {
			p.handleHeartbeat(heartbeat{ControlAddr: fmt.Sprintf("10.%d.%d.%d:8785", i%5, i/250, i%250), DataCentre: "dc", Kind: kindOwn, ConfigVersion: 1, ListVersion: 1}, time.Now())
		}
		withRouters := heap()
		b.ReportMetric((withServers-empty)/servers, "B/server")
		b.ReportMetric((withRouters-withServers)/routers, "B/router")
		runtime.KeepAlive(p)
	}
}

// makeServers returns n servers as the platform lists them.
func makeServers(n int) []routing.Server {
	list := make([]routing.Server, n)
	for i := range list {
		list[i] = routing.Server{
			ID: fmt.Sprintf("i-%08x", i*7919), Born: int64(i), Service: "llm", Addr: fmt.Sprintf("10.%d.%d.%d:8080", i%5, i/250, i%250),
			DataCentre: "dc", Version: "v1", Slots: 64, State: routing.ServerReady, EntryVersion: uint64(i),
		}
	}
	return list
}
