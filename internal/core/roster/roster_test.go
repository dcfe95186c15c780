package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// twoServers returns a roster of two servers.
func twoServers() *Roster {
	r := New()
	r.Replace([]routing.Server{{ID: "a"}, {ID: "b"}}, false, start)
	return r
}

func ids(r *Roster) string {
	s := ""
	for _, server := range r.List() {
		s += server.ID
	}
	return s
}

func TestRemovedEntryIsDroppedAtOnce(t *testing.T) {
	r := twoServers()
	r.Apply(nil, []string{"a"}, at(10))
	assert.Equal(t, ids(r), "b")
}

func TestEntryThatLapsedDuringAnOutageIsKeptUntilRewritten(t *testing.T) {
	r := twoServers()
	r.StoreDown(at(100))
	r.StoreUp(at(5000))
	r.Apply(nil, []string{"a"}, at(5000))
	assert.Equal(t, ids(r), "ab")
	assert.Assert(t, r.IsDoubtful("a"))
	r.Apply([]routing.Server{{ID: "a"}}, nil, at(6000))
	assert.Assert(t, !r.Tick(at(9000)))
	assert.Equal(t, ids(r), "ab")
}

// Regression: a server left a second after a router had reached the store again and got a request
// 2,059 ms after its entry was removed; the bound is 2 s.
func TestServerRemovedSoonAfterAnOutageIsDroppedWithinTheBound(t *testing.T) {
	r := twoServers()
	r.StoreDown(at(100))
	r.StoreUp(at(5000))
	r.Apply(nil, []string{"a"}, at(6000))
	r.Tick(at(7250))
	assert.Equal(t, ids(r), "b", "the grace period after the outage is over")

	r = twoServers()
	r.StoreDown(at(100))
	r.StoreUp(at(5000))
	r.Apply(nil, []string{"a"}, at(5100))
	r.Tick(at(6750))
	assert.Equal(t, ids(r), "b", "1,650 ms after its removal")
}

func TestNothingIsDroppedWhileTheStoreIsDown(t *testing.T) {
	r := twoServers()
	r.StoreDown(at(100))
	r.Apply(nil, []string{"a"}, at(200))
	assert.Assert(t, !r.Tick(at(60000)))
	assert.Equal(t, ids(r), "ab")
}

// A router that the store rejects takes the list of a peer that the store serves.
func TestListFromAFollowingRouterIsAuthoritative(t *testing.T) {
	r := twoServers()
	r.StoreDown(at(100))
	r.Replace([]routing.Server{{ID: "b"}}, true, at(3000))
	assert.Equal(t, ids(r), "b")
}

// Regression: two of three readers were cut off and brought back servers that had left. A router
// that alone was cut off accepts removals seen by a peer that followed the store throughout. A
// peer that began to follow the store only later does not know.
func TestDoubtEndsAtTheReportOfAContinuousFollower(t *testing.T) {
	now := time.Unix(100, 0)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	r := New()
	r.Replace([]routing.Server{{ID: "a"}, {ID: "gone"}}, false, now)
	r.StoreUp(now)
	assert.Equal(t, r.FollowedFor(after(time.Second)), time.Second)
	r.StoreDown(after(time.Second))
	assert.Equal(t, r.FollowedFor(after(2*time.Second)), time.Duration(0))
	r.StoreUp(after(5 * time.Second))
	r.Replace([]routing.Server{{ID: "a"}}, false, after(5*time.Second))
	assert.Equal(t, len(r.List()), 2)
	assert.Assert(t, !r.ResolveDoubt(4*time.Second, after(5*time.Second)), "the peer was cut off too")
	assert.Equal(t, len(r.List()), 2)
	assert.Assert(t, r.ResolveDoubt(20*time.Second, after(5*time.Second)))
	assert.Equal(t, len(r.List()), 1)
	assert.Equal(t, r.Stamp().Edits, uint32(1))
	r.StopFollowing()
	assert.Equal(t, r.FollowedFor(after(9*time.Second)), time.Duration(0))
}

// A server that was draining before an outage of the store stays draining while its entry is
// missing and doubtful: it gets no request, however long the outage.
func TestDrainingServerStaysDrainingThroughAnOutage(t *testing.T) {
	r := New()
	now := time.Unix(1000, 0)
	r.StoreUp(now)
	r.Apply([]routing.Server{{ID: "a", State: routing.ServerDraining}}, nil, now)
	r.StoreDown(now.Add(time.Second))
	r.StoreUp(now.Add(4 * time.Second))
	r.Replace(nil, false, now.Add(4*time.Second))
	for _, s := range r.List() {
		assert.Assert(t, !s.AcceptsRequests(), "%s", s.ID)
	}
}

// An entry that has become unusable removes its server even while the store is unreachable, and
// peers learn of it through the list's stamp.
func TestUnusableEntryIsDroppedWithoutDoubt(t *testing.T) {
	r := twoServers()
	r.SetStamp(Stamp{Version: 7})
	r.StoreDown(at(100))
	assert.Assert(t, r.Remove("a", Stamp{Version: 7}, at(150)))
	assert.Equal(t, ids(r), "b")
	assert.Assert(t, r.Stamp().After(Stamp{Version: 7}))
	assert.Assert(t, !r.Remove("a", Stamp{Version: 7}, at(150)))
	assert.Assert(t, r.Remove("b", Stamp{Version: 9}, at(150)))
	assert.Equal(t, r.Stamp(), Stamp{Version: 9})
	r.Apply([]routing.Server{{ID: "a", Born: 2}}, nil, at(200))
	assert.Equal(t, ids(r), "a")
}

// A server that restarts under its ID replaces its previous entry, doubtful or not.
func TestRestartedServerReplacesItsPreviousEntry(t *testing.T) {
	r := twoServers()
	r.StoreDown(at(100))
	r.Replace([]routing.Server{{ID: "b"}}, false, at(200))
	assert.Assert(t, r.IsDoubtful("a"))
	r.Apply([]routing.Server{{ID: "a", Born: 2}}, nil, at(300))
	assert.Assert(t, !r.IsDoubtful("a"))
	assert.Equal(t, r.List()[0].Identity(), routing.Identity{ID: "a", Born: 2})
}
