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

// inFirstEra follows a store in its first era, with a configuration and a server, of which a
// copy is made.
func inFirstEra(t *testing.T) (*followed, platformtest.StoreSnapshot) {
	t.Helper()
	f := start(t, follow.Everyone)
	f.put(1)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "first view", func() bool { return f.state.Version() == 1 && f.listed() == 1 })
	return f, f.store.Snapshot()
}

// What was seen: a store came back from a copy some seconds old, and a router saw neither a
// new server nor a newer configuration, reading both tables whole 32 times a second. How: the
// copy's versions were lower than the one that the router went on from. Cause: versions
// were compared across what the copy had undone. Proof: this test.
func TestAStoreThatComesBackOlderIsFollowed(t *testing.T) {
	f, older := inFirstEra(t)
	for range 41 {
		f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	}
	f.put(2)
	edgetest.Until(t, "the second configuration", func() bool { return f.state.Version() == 2 })
	reads := f.store.Calls("/v1/rows-get")
	f.store.Restore(older)
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	f.put(3)
	edgetest.Until(t, "the new server and the newer configuration", func() bool { return f.state.Version() == 3 && f.listed() == 2 })
	assert.Assert(t, f.store.Calls("/v1/rows-get")-reads <= 4, "each table is read once, and once more if a change comes between")
}

// Versions have passed the one that a router goes on from before it asks again: the feed
// would go on from a version that means another change.
func TestVersionsThatAreGivenOutAgainAreNotTakenForThoseBefore(t *testing.T) {
	f, older := inFirstEra(t)
	f.store.Put("servers", "gone", platformtest.ServerEntry("app", "127.0.0.1:9", "ready"))
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "both", func() bool { return f.listed() == 2 })
	f.store.SetFault(func(*http.Request) platformtest.StoreFault { return platformtest.StoreReset })
	f.store.Restore(older)
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	f.store.Put("servers", "c", platformtest.ServerEntry("app", "127.0.0.1:3", "ready"))
	f.store.Put("servers", "d", platformtest.ServerEntry("app", "127.0.0.1:4", "ready"))
	f.store.SetFault(nil)
	edgetest.Until(t, "what was written since", func() bool {
		list, _ := f.state.Servers()
		names := ""
		for _, s := range list {
			names += s.ID
		}
		return names == "abcd" || names == "abcdgone" // the last one until its grace is over
	})
}

// An older configuration that the copy brings back is not put in force, and does not count as
// confirmation that the newer one still stands; the operator's next write does.
func TestAnOlderConfigurationConfirmsNothing(t *testing.T) {
	f := start(t, follow.Everyone)
	f.put(1)
	edgetest.Until(t, "first view", func() bool { return f.state.Version() == 1 })
	older := f.store.Snapshot()
	f.put(2)
	edgetest.Until(t, "the second configuration", func() bool { return f.state.Version() == 2 })
	f.store.Restore(older)
	edgetest.Until(t, "the return", func() bool { return f.state.Era() == 2 })
	const old = 1500 * time.Millisecond // longer than a router settles after it has read a table
	edgetest.Until(t, "the view grows old", func() bool {
		f.store.Put("op", "other", nil) // an answer
		_, age := f.state.Table()
		return age > old
	})
	assert.Equal(t, f.state.Version(), int64(2))
	f.put(2)
	edgetest.Until(t, "it is confirmed", func() bool {
		_, age := f.state.Table()
		return age < old
	})
	assert.Equal(t, f.state.Version(), int64(2))
}

// A server that had left is in the copy and is not used, one that lives is not and stays.
func TestTheListDoesNotGoBackWithTheStore(t *testing.T) {
	f := start(t, follow.Everyone)
	f.put(1)
	entry := func(port string) []byte { return platformtest.ServerEntry("app", "127.0.0.1:"+port, "ready") }
	f.store.Put("servers", "left", entry("1"))
	edgetest.Until(t, "first view", func() bool { return f.listed() == 1 })
	older := f.store.Snapshot()
	f.store.Put("servers", "lives", entry("2"))
	f.store.RemoveServer("left")
	edgetest.Until(t, "the change", func() bool { list, _ := f.state.Servers(); return len(list) == 1 && list[0].ID == "lives" })
	f.store.Restore(older)
	edgetest.Until(t, "the return", func() bool { _, stamp := f.state.Servers(); return stamp.Era == 2 })
	list, _ := f.state.Servers()
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].ID, "lives")
	f.store.Put("servers", "lives", entry("2"))
	f.store.RemoveServer("left")
	f.store.Put("servers", "new", entry("3"))
	edgetest.Until(t, "what is written again", func() bool { return f.listed() == 2 })
	assert.Equal(t, strings.Count(f.log.String(), "came back from an older copy"), 1)
}

// An answer of an earlier era, that comes late by an old connection, changes nothing.
func TestALateAnswerOfAnEarlierEraChangesNothing(t *testing.T) {
	f := start(t, follow.Everyone)
	f.store.SetEra(5)
	f.put(3)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "first view", func() bool { return f.listed() == 1 })
	f.store.SetEra(4)
	f.store.Put("servers", "b", platformtest.ServerEntry("app", "127.0.0.1:2", "ready"))
	calls := f.store.Calls("/v1/rows-get")
	edgetest.Until(t, "some answers", func() bool { return f.store.Calls("/v1/rows-get") > calls+2 })
	assert.Equal(t, f.listed(), 1)
	f.store.SetEra(9) // a jump of more than one is a return too
	edgetest.Until(t, "the later era", func() bool { return f.listed() == 2 })
	assert.Equal(t, f.state.Era(), uint64(9))
}
