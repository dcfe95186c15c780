package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// full returns a roster of two servers.
func full() *Roster {
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

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	r := full()
	r.Apply(nil, []string{"a"}, at(10))
	assert.Equal(t, ids(r), "b")
}

func TestEntryThatLapsedInAnOutageStaysUntilItIsBack(t *testing.T) {
	r := full()
	r.StoreDown(at(100))
	r.StoreBack(at(5000))
	r.Apply(nil, []string{"a"}, at(5000))
	assert.Equal(t, ids(r), "ab")
	assert.Assert(t, r.Doubtful("a"))
	r.Apply([]routing.Server{{ID: "a"}}, nil, at(6000))
	assert.Assert(t, !r.Tick(at(9000)))
	assert.Equal(t, ids(r), "ab")
}

// A server that left a second after a router had found the store again got a
// request 2,059 ms after its entry had gone; the bound is 2 s.
func TestServerThatLeavesSoonAfterAnOutageIsForgottenWithinTheBound(t *testing.T) {
	r := full()
	r.StoreDown(at(100))
	r.StoreBack(at(5000))
	r.Apply(nil, []string{"a"}, at(6000))
	r.Tick(at(7250))
	assert.Equal(t, ids(r), "b", "the grace after the return is over")

	r = full()
	r.StoreDown(at(100))
	r.StoreBack(at(5000))
	r.Apply(nil, []string{"a"}, at(5100))
	r.Tick(at(6750))
	assert.Equal(t, ids(r), "b", "1,650 ms after its removal")
}

func TestNothingIsForgottenWhileTheStoreIsDown(t *testing.T) {
	r := full()
	r.StoreDown(at(100))
	r.Apply(nil, []string{"a"}, at(200))
	assert.Assert(t, !r.Tick(at(60000)))
	assert.Equal(t, ids(r), "ab")
}

// A router that the store turns away takes the list of one that it serves.
func TestListOfARouterThatFollowsTheStoreIsSure(t *testing.T) {
	r := full()
	r.StoreDown(at(100))
	r.Replace([]routing.Server{{ID: "b"}}, true, at(3000))
	assert.Equal(t, ids(r), "b")
}

// A router that was cut off alone doubts no entry that one which has followed the
// store all the while has seen removed (two of three readers were
// cut off, and brought back servers that had left). A router that
// has begun to follow it since does not know.
func TestDoubtEndsAtTheReportOfOneThatFollowedAllTheWhile(t *testing.T) {
	now := time.Unix(100, 0)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	r := New()
	r.Replace([]routing.Server{{ID: "a"}, {ID: "gone"}}, false, now)
	r.StoreBack(now)
	assert.Equal(t, r.Followed(after(time.Second)), time.Second)
	r.StoreDown(after(time.Second))
	assert.Equal(t, r.Followed(after(2*time.Second)), time.Duration(0))
	r.StoreBack(after(5 * time.Second))
	r.Replace([]routing.Server{{ID: "a"}}, false, after(5*time.Second))
	assert.Equal(t, len(r.List()), 2)
	assert.Assert(t, !r.Settle(4*time.Second, after(5*time.Second)), "as blind as this one")
	assert.Equal(t, len(r.List()), 2)
	assert.Assert(t, r.Settle(20*time.Second, after(5*time.Second)))
	assert.Equal(t, len(r.List()), 1)
	assert.Equal(t, r.Stamp().Edits, uint32(1))
	r.NotFollowed()
	assert.Equal(t, r.Followed(after(9*time.Second)), time.Duration(0))
}

// A server that was known to be leaving before an outage of the store stays so while
// its entry is missing and in doubt: it gets no request, however long the outage.
func TestALeavingServerStaysSoThroughAnOutage(t *testing.T) {
	r := New()
	now := time.Unix(1000, 0)
	r.StoreBack(now)
	r.Apply([]routing.Server{{ID: "a", State: routing.ServerDraining}}, nil, now)
	r.StoreDown(now.Add(time.Second))
	r.StoreBack(now.Add(4 * time.Second))
	r.Replace(nil, false, now.Add(4*time.Second))
	for _, s := range r.List() {
		assert.Assert(t, !s.Takes(), "%s", s.ID)
	}
}

// An entry that has become unusable takes its server off the list also while the store
// can't be asked, and other routers learn of it by the list's stamp.
func TestUnusableEntryIsGoneWithoutDoubt(t *testing.T) {
	r := full()
	r.SetStamp(Stamp{Version: 7})
	r.StoreDown(at(100))
	assert.Assert(t, r.Forget("a", Stamp{Version: 7}, at(150)))
	assert.Equal(t, ids(r), "b")
	assert.Assert(t, r.Stamp().After(Stamp{Version: 7}))
	assert.Assert(t, !r.Forget("a", Stamp{Version: 7}, at(150)))
	assert.Assert(t, r.Forget("b", Stamp{Version: 9}, at(150)))
	assert.Equal(t, r.Stamp(), Stamp{Version: 9})
	r.Apply([]routing.Server{{ID: "a", Born: 2}}, nil, at(200))
	assert.Equal(t, ids(r), "a")
}

// A server that starts again under its ID replaces the life before, doubtful or not.
func TestNewLifeReplacesTheOldOne(t *testing.T) {
	r := full()
	r.StoreDown(at(100))
	r.Replace([]routing.Server{{ID: "b"}}, false, at(200))
	assert.Assert(t, r.Doubtful("a"))
	r.Apply([]routing.Server{{ID: "a", Born: 2}}, nil, at(300))
	assert.Assert(t, !r.Doubtful("a"))
	assert.Equal(t, r.List()[0].Identity(), routing.Identity{ID: "a", Born: 2})
}
