package node

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// maxRunsWithin returns the largest number of runs that start within any interval of that
// span.
func maxRunsWithin(runs []platformtest.Run, span time.Duration) (maxRuns int) {
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	first := 0
	for i, r := range runs {
		for r.At.Sub(runs[first].At) > span {
			first++
		}
		maxRuns = max(maxRuns, i-first+1)
	}
	return maxRuns
}

// Four routers share the bound on requests per second to a cold server, although none of them
// sees what the others send to it.
func TestColdServerRateIsBoundedAcrossRouters(t *testing.T) {
	const perSecond = 6
	f := newFleet(t, 50)
	f.promptPrefixes = 16
	config := platformtest.Config(2, []platformtest.Route{{Prefix: "/s/", Kind: "streaming", Service: "llm", MaxAttempts: 2, Resumable: true, Timeout: 5 * time.Second}},
		[]string{"llm"}, nil, map[string]string{"k": "ana"})
	f.store.PutConfig(platformtest.WithSlowStart(config, 5*time.Second, perSecond))
	var fleet []*member
	for _, ip := range []string{"127.0.50.1", "127.0.50.2", "127.0.50.3", "127.0.50.4"} {
		fleet = append(fleet, f.start(ip, fleet...))
	}
	for _, m := range fleet {
		edgetest.Until(t, "the configuration", func() bool { return m.node.state.Version() == 2 })
	}
	cold := f.servers[0]
	cold.Warmup = 30 * time.Second
	f.store.PutServer(cold, "ready")
	for _, s := range f.servers[2:] {
		f.store.RemoveServer(s.ID) // leaves two, one of them cold
	}
	for _, m := range fleet {
		edgetest.Until(t, "the server list", func() bool { return m.node.state.ServerCount() == 2 })
	}
	time.Sleep(300 * time.Millisecond)
	before := len(cold.Runs())
	var wg sync.WaitGroup
	deadline := time.Now().Add(3 * time.Second)
	for range 4 {
		for _, m := range fleet {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(deadline) {
					m.send("/s/x", "c", "")
				}
			}()
		}
	}
	wg.Wait()
	runs := cold.Runs()[before:]
	maxRuns := maxRunsWithin(runs, time.Second)
	t.Logf("%d runs, at most %d in a second", len(runs), maxRuns)
	assert.Assert(t, maxRuns <= perSecond, "%d in a second", maxRuns)
}
