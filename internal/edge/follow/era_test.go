package follow_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/platform/platformtest"
)

// startWithCopy starts to follow a store in its first era, with a configuration and a server, and
// returns a copy of the store.
func startWithCopy(t *testing.T) (*followed, platformtest.StoreSnapshot) {
	t.Helper()
	f := start(t, follow.Direct)
	f.put(1)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "first view", func() bool { return f.state.Version() == 1 && f.listed() == 1 })
	return f, f.store.Snapshot()
}

// Guards against comparing versions across a restore of the store. After a store was restored from a
// copy a few seconds old, a router saw neither a new server nor a newer configuration and read both
// tables whole 32 times a second, because the versions of the copy were lower than its own position.
func TestRestoredStoreIsFollowed(t *testing.T) {
	f, backup := startWithCopy(t)
	for range 41 {
		f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	}
	f.put(2)
	edgetest.Until(t, "the second configuration", func() bool { return f.state.Version() == 2 })
	reads := f.store.Calls("/v1/rows-get")
	f.store.Restore(backup)
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	f.put(3)
	edgetest.Until(t, "the new server and the newer configuration", func() bool { return f.state.Version() == 3 && f.listed() == 2 })
	assert.Assert(t, f.store.Calls("/v1/rows-get")-reads <= 4, "each table is read once, and once more if a change comes between")
}

// Guards against continuing the feed from a version that has been reused for another change: the
// restored store's versions have passed the router's position before its next call.
func TestReusedVersionsAreNotMistakenForEarlierOnes(t *testing.T) {
	f, backup := startWithCopy(t)
	f.store.Put("servers", "gone", platformtest.ServerEntry("app", "127.0.0.1:9", "ready"))
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "both", func() bool { return f.listed() == 2 })
	f.store.SetFault(func(*http.Request) platformtest.StoreFault { return platformtest.StoreReset })
	f.store.Restore(backup)
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	f.store.Put("servers", "c", platformtest.ServerEntry("app", "127.0.0.1:3", "ready"))
	f.store.Put("servers", "d", platformtest.ServerEntry("app", "127.0.0.1:4", "ready"))
	f.store.SetFault(nil)
	edgetest.Until(t, "the servers written since the restore", func() bool {
		list, _ := f.state.Servers()
		names := ""
		for _, s := range list {
			names += s.ID
		}
		return names == "abcd" || names == "abcdgone" // the last one during its grace period
	})
}

// An older configuration in a restored store is not put in force, and does not confirm the newer one;
// the operator's next write does.
func TestOlderStoredConfigurationDoesNotConfirm(t *testing.T) {
	f := start(t, follow.Direct)
	f.put(1)
	edgetest.Until(t, "first view", func() bool { return f.state.Version() == 1 })
	backup := f.store.Snapshot()
	f.put(2)
	edgetest.Until(t, "the second configuration", func() bool { return f.state.Version() == 2 })
	f.store.Restore(backup)
	edgetest.Until(t, "the restore", func() bool { return f.state.Era() == 2 })
	const unconfirmed = 1500 * time.Millisecond // longer than settleTime
	edgetest.Until(t, "the configuration is no longer confirmed", func() bool {
		f.store.Put("op", "other", nil) // causes an answer
		_, age := f.state.Table()
		return age > unconfirmed
	})
	assert.Equal(t, f.state.Version(), int64(2))
	f.put(2)
	edgetest.Until(t, "it is confirmed", func() bool {
		_, age := f.state.Table()
		return age < unconfirmed
	})
	assert.Equal(t, f.state.Version(), int64(2))
}

// A server that has left but is in the copy is not used, and a running one that is missing from the
// copy stays listed.
func TestRestoredStoreDoesNotRevertTheServerList(t *testing.T) {
	f := start(t, follow.Direct)
	f.put(1)
	entry := func(port string) []byte { return platformtest.ServerEntry("app", "127.0.0.1:"+port, "ready") }
	f.store.Put("servers", "left", entry("1"))
	edgetest.Until(t, "first view", func() bool { return f.listed() == 1 })
	backup := f.store.Snapshot()
	f.store.Put("servers", "lives", entry("2"))
	f.store.RemoveServer("left")
	edgetest.Until(t, "the change", func() bool { list, _ := f.state.Servers(); return len(list) == 1 && list[0].ID == "lives" })
	f.store.Restore(backup)
	edgetest.Until(t, "the restore", func() bool { _, stamp := f.state.Servers(); return stamp.Era == 2 })
	list, _ := f.state.Servers()
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].ID, "lives")
	f.store.Put("servers", "lives", entry("2"))
	f.store.RemoveServer("left")
	f.store.Put("servers", "new", entry("3"))
	edgetest.Until(t, "the rewritten entries", func() bool { return f.listed() == 2 })
	assert.Equal(t, strings.Count(f.log.String(), "came back from an older copy"), 1)
}

// An answer of an earlier era, delayed on an old connection, is ignored.
func TestAnswerOfAnEarlierEraIsIgnored(t *testing.T) {
	f := start(t, follow.Direct)
	f.store.SetEra(5)
	f.put(3)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "first view", func() bool { return f.listed() == 1 })
	f.store.SetEra(4)
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	calls := f.store.Calls("/v1/rows-get")
	edgetest.Until(t, "some answers", func() bool { return f.store.Calls("/v1/rows-get") > calls+2 })
	assert.Equal(t, f.listed(), 1)
	f.store.SetEra(9) // an increase by more than one also means a restore
	edgetest.Until(t, "the later era", func() bool { return f.listed() == 2 })
	assert.Equal(t, f.state.Era(), uint64(9))
}
