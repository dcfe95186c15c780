package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// The store comes back from a copy before eight routers that serve, and its changes are
// seen by all; each reads each table once, of which that of the servers has three pages
// here, and the routers' addresses are written again.
func TestAFleetSeesWhatIsWrittenAfterTheStoresReturn(t *testing.T) {
	const routers, pages = 8, 3 + 1
	f := newFleet(t, 44)
	f.store.SetEra(1)
	var fleet []*member
	for i := range routers {
		fleet = append(fleet, f.start(fmt.Sprintf("127.0.44.%d", i+1), fleet[:min(len(fleet), 3)]...))
	}
	older := f.store.Snapshot()
	f.store.RemoveServer(f.servers[0].ID)
	all := func(what string, ok func(m *member) bool) {
		t.Helper()
		for _, m := range fleet {
			edgetest.Until(t, what, func() bool { return ok(m) })
		}
	}
	all("a server leaves", func(m *member) bool { return m.node.state.ServerCount() == fleetEngines-1 })
	reads := f.store.Calls("/v1/rows-get")
	f.store.Restore(older)
	all("the return", func(m *member) bool { return m.node.state.Era() == 2 && m.node.state.Stamp().Era == 2 })
	all("the list is as it was", func(m *member) bool { return m.node.state.ServerCount() == fleetEngines-1 })
	f.store.RemoveServer(f.servers[0].ID)
	fresh, err := platformtest.NewServer("i-fresh", "llm", "dc", 5, 0)
	assert.NilError(t, err)
	t.Cleanup(fresh.Close)
	f.store.PutServer(fresh, "ready")
	f.store.PutConfig(platformtest.Config(2, []platformtest.Route{{Prefix: "/o/", Kind: "streaming", Service: "llm", MaxAttempts: 2}}, []string{"llm"}, nil, map[string]string{"k": "ana"}))
	all("what is written after", func(m *member) bool {
		return m.node.state.Version() == 2 && m.node.state.ServerCount() == fleetEngines
	})
	took := f.store.Calls("/v1/rows-get") - reads
	t.Logf("%d reads", took)
	assert.Assert(t, took <= 2*routers*pages, "%d reads", took)
	edgetest.Until(t, "the routers are registered again", func() bool { return f.store.RowCount("windscale-routers") == routers })
}
