package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// storeCallPaths are the paths of the calls that read whole tables, follow changes and write.
var storeCallPaths = map[string]string{"reads": "/v1/rows-get", "feeds": "/v1/rows-feed", "writes": "/v1/rows-tx"}

const (
	// restoreSettleTime is how long a fleet that is ready is left alone, so that it has chosen
	// which routers follow the store for the others.
	restoreSettleTime = 5 * time.Second
	// restoreWindow is the time for which calls are counted, before the restore and again from
	// it on.
	restoreWindow = 5 * time.Second
	// restoreWriteDelay is how long after the restore the operator and the servers write
	// again.
	restoreWriteDelay = time.Second
)

// BenchmarkStoreRestore measures calls per second before and after a restore of the store, and
// how many routers have seen what was written a second after it by the end of the window. All
// routers, in five data centres, run in this process.
func BenchmarkStoreRestore(b *testing.B) {
	for i, routers := range []int{8, 295} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for b.Loop() {
				measureRestore(b, 50+2*i, routers)
			}
		})
	}
}

// measureRestore restores the store once while that many routers run.
func measureRestore(b *testing.B, network, routers int) {
	f := newFleet(b, network)
	f.store.SetEra(1)
	var fleet []*member
	for i := range routers {
		m := &member{fleet: f, ip: fmt.Sprintf("127.0.%d.%d", network+i/200, i%200+1), dataCentre: fmt.Sprintf("dc%d", i%5), ports: f.ports}
		m.launch(fleet[:min(len(fleet), 3)]...)
		fleet = append(fleet, m)
	}
	for _, m := range fleet {
		edgetest.Until(b, "ready", m.node.ready)
	}
	time.Sleep(restoreSettleTime)
	backup := f.store.Snapshot()
	f.store.RemoveServer(f.servers[0].ID)
	callsAtStart := f.storeCalls()
	time.Sleep(restoreWindow)
	callsAtRestore := f.storeCalls()
	f.store.Restore(backup)
	time.Sleep(restoreWriteDelay)
	f.store.RemoveServer(f.servers[0].ID)
	f.store.PutConfig(platformtest.Config(2, []platformtest.Route{{Prefix: "/o/", Kind: "streaming", Service: "llm", MaxAttempts: 2}}, []string{"llm"}, nil, map[string]string{"k": "ana"}))
	time.Sleep(restoreWindow - restoreWriteDelay)
	callsAtEnd := f.storeCalls()
	for name := range storeCallPaths {
		b.ReportMetric(float64(callsAtRestore[name]-callsAtStart[name])/restoreWindow.Seconds(), name+"-before/s")
		b.ReportMetric(float64(callsAtEnd[name]-callsAtRestore[name])/restoreWindow.Seconds(), name+"-return/s")
	}
	upToDate := 0
	for _, m := range fleet {
		if m.node.state.Version() == 2 && m.node.state.ServerCount() == fleetServers-1 {
			upToDate++
		}
	}
	b.ReportMetric(float64(upToDate), "saw")
}

// storeCalls returns how many calls the store has answered, by kind.
func (f *fleet) storeCalls() map[string]int {
	n := map[string]int{}
	for name, path := range storeCallPaths {
		n[name] = f.store.Calls(path)
	}
	return n
}
