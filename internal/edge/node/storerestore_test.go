package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// When the store is restored from an older copy, all of eight routers see what is written
// afterwards. Each reads every table once (the servers' table has three pages here), and the
// routers register their addresses again.
func TestFleetFollowsStoreAfterRestore(t *testing.T) {
	const routers, pages = 8, 3 + 1
	f := newFleet(t, 44)
	f.store.SetEra(1)
	var fleet []*member
	for i := range routers {
		fleet = append(fleet, f.start(fmt.Sprintf("127.0.44.%d", i+1), fleet[:min(len(fleet), 3)]...))
	}
	backup := f.store.Snapshot()
	f.store.RemoveServer(f.servers[0].ID)
	untilAll := func(what string, cond func(m *member) bool) {
		t.Helper()
		for _, m := range fleet {
			edgetest.Until(t, what, func() bool { return cond(m) })
		}
	}
	untilAll("removal of a server", func(m *member) bool { return m.node.state.ServerCount() == fleetServers-1 })
	readsBefore := f.store.Calls("/v1/rows-get")
	f.store.Restore(backup)
	untilAll("the restore", func(m *member) bool { return m.node.state.Era() == 2 && m.node.state.Stamp().Era == 2 })
	untilAll("the server list is unchanged", func(m *member) bool { return m.node.state.ServerCount() == fleetServers-1 })
	f.store.RemoveServer(f.servers[0].ID)
	added, err := platformtest.NewServer("i-fresh", "llm", "dc", 5, 0)
	assert.NilError(t, err)
	t.Cleanup(added.Close)
	f.store.PutServer(added, "ready")
	f.store.PutConfig(platformtest.Config(2, []platformtest.Route{{Prefix: "/o/", Kind: "streaming", Service: "llm", MaxAttempts: 2}}, []string{"llm"}, nil, map[string]string{"k": "ana"}))
	untilAll("what is written after the restore", func(m *member) bool {
		return m.node.state.Version() == 2 && m.node.state.ServerCount() == fleetServers
	})
	tableReads := f.store.Calls("/v1/rows-get") - readsBefore
	t.Logf("%d reads", tableReads)
	assert.Assert(t, tableReads <= 2*routers*pages, "%d reads", tableReads)
	edgetest.Until(t, "all routers are registered again", func() bool { return f.store.RowCount("windscale-routers") == routers })
}
