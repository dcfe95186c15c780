package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// The calls by which routers read whole tables, follow them and write.
var returnCalls = map[string]string{"reads": "/v1/rows-get", "feeds": "/v1/rows-feed", "writes": "/v1/rows-tx"}

const (
	// returnSettled is how long a fleet that is ready is left alone: by then it has chosen
	// who follows the store for the others.
	returnSettled = 5 * time.Second
	// returnWatched is the span in which calls are counted, before the return and from it on.
	returnWatched = 5 * time.Second
	// returnWritten is how long after the return the operator and the servers write again.
	returnWritten = time.Second
)

// Calls a second before a return of the store and from it on, and how many routers have seen
// what was written a second after it, by the end of that time. In one process, five data centres.
func BenchmarkStoreReturn(b *testing.B) {
	for i, routers := range []int{8, 295} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for b.Loop() {
				measureReturn(b, 50+2*i, routers)
			}
		})
	}
}

// measureReturn plays one return before so many routers.
func measureReturn(b *testing.B, network, routers int) {
	f := newFleet(b, network)
	f.store.SetEra(1)
	var fleet []*member
	for i := range routers {
		m := &member{f: f, ip: fmt.Sprintf("127.0.%d.%d", network+i/200, i%200+1), dataCentre: fmt.Sprintf("dc%d", i%5), ports: f.ports}
		m.begin(fleet[:min(len(fleet), 3)]...)
		fleet = append(fleet, m)
	}
	for _, m := range fleet {
		edgetest.Until(b, "ready", m.node.ready)
	}
	time.Sleep(returnSettled)
	older := f.store.Snapshot()
	f.store.RemoveServer(f.servers[0].ID)
	began := f.calls()
	time.Sleep(returnWatched)
	before := f.calls()
	f.store.Restore(older)
	time.Sleep(returnWritten)
	f.store.RemoveServer(f.servers[0].ID)
	f.store.PutConfig(platformtest.Config(2, []platformtest.Route{{Prefix: "/o/", Kind: "streaming", Service: "llm", MaxAttempts: 2}}, []string{"llm"}, nil, map[string]string{"k": "ana"}))
	time.Sleep(returnWatched - returnWritten)
	after := f.calls()
	for name := range returnCalls {
		b.ReportMetric(float64(before[name]-began[name])/returnWatched.Seconds(), name+"-before/s")
		b.ReportMetric(float64(after[name]-before[name])/returnWatched.Seconds(), name+"-return/s")
	}
	saw := 0
	for _, m := range fleet {
		if m.node.state.Version() == 2 && m.node.state.ServerCount() == fleetEngines-1 {
			saw++
		}
	}
	b.ReportMetric(float64(saw), "saw")
}

// calls returns how many calls the store has answered, by kind.
func (f *fleet) calls() map[string]int {
	n := map[string]int{}
	for name, path := range returnCalls {
		n[name] = f.store.Calls(path)
	}
	return n
}
