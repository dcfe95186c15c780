package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// rolloutFor is how long the orders of these tests last.
const rolloutFor = 6 * time.Second

// upgrade is a fleet of some routers before servers of two versions, with requests at all routers.
type upgrade struct {
	*fleet
	members []*member
	fresh   []*platformtest.Server // they run the new version
	stop    chan struct{}
	ended   sync.WaitGroup
}

// newUpgrade starts it. The new version's servers fail or slow down as wrong says.
func newUpgrade(t *testing.T, network, routers int, gap time.Duration, wrong func(attempt string) platformtest.Fault) *upgrade {
	t.Helper()
	u := &upgrade{fleet: newFleet(t, network), stop: make(chan struct{})}
	u.settings = "[rollout]\nshare = 0.1\nslack = 50"
	for i := range fleetEngines {
		s, err := platformtest.NewServer(fmt.Sprintf("n-%d", i), "llm", "dc", 5, gap)
		assert.NilError(t, err)
		t.Cleanup(s.Close)
		s.Version = "v2"
		s.SetFault(wrong)
		u.fresh = append(u.fresh, s)
	}
	for i := range routers {
		u.members = append(u.members, u.start(fmt.Sprintf("127.0.%d.%d", network, i+1), u.members...))
	}
	return u
}

// order has the operator order the new version, whose servers are there from then on.
func (u *upgrade) order() {
	for _, s := range u.fresh {
		u.store.PutServer(s, "ready")
	}
	u.store.OrderRollout("llm", "v2", rolloutFor)
}

// ask has callers ask all routers until the test ends.
func (u *upgrade) ask(callers int) {
	for _, m := range u.members {
		for range callers {
			u.ended.Go(func() {
				for {
					select {
					case <-u.stop:
						return
					default:
						m.send("/o/x", "u", "")
					}
				}
			})
		}
	}
	u.t.Cleanup(u.end)
}

// end ends the callers.
func (u *upgrade) end() {
	select {
	case <-u.stop:
	default:
		close(u.stop)
	}
	u.ended.Wait()
}

// arrived is how many requests came to the servers.
func arrived(list []*platformtest.Server) (n int) {
	for _, s := range list {
		n += len(s.Runs())
	}
	return n
}

// A good version is completed. From then on nothing goes to the old servers, at any router, also
// one that starts then, and no request ran twice.
func TestAGoodVersionIsCompleted(t *testing.T) {
	u := newUpgrade(t, 70, 3, time.Millisecond, nil)
	u.ask(8)
	u.order()
	edgetest.Until(t, "the order is known", func() bool { return u.store.RolloutState("llm") == "running" })
	edgetest.Until(t, "it ends", func() bool { return u.store.RolloutState("llm") != "running" })
	r, _ := u.members[0].node.state.Rollout("llm")
	assert.Equal(t, u.store.RolloutState("llm"), "completed", "%s", r.Reason)
	old := arrived(u.servers)
	late := u.start("127.0.70.9", u.members...)
	for range 50 {
		assert.Equal(t, late.send("/o/x", "late", ""), http.StatusOK)
	}
	u.end()
	assert.Equal(t, arrived(u.servers), old)
	seen := map[string]bool{}
	for _, s := range append(u.servers, u.fresh...) {
		for _, r := range s.Runs() {
			assert.Assert(t, !seen[r.Attempt], "%s ran twice", r.Attempt)
			seen[r.Attempt] = true
		}
	}
}

// A bad version is rolled back: it gets a tenth of the requests at most and 50 beside, fewer than 50
// of them fail before it gets none any more, and it gets none from a router that starts later.
func TestABadVersionIsRolledBack(t *testing.T) {
	for name, c := range map[string]struct {
		gap   time.Duration
		wrong func(string) platformtest.Fault
	}{
		"it fails": {time.Millisecond, func(attempt string) platformtest.Fault {
			if attempt[len(attempt)-1]%3 == 0 {
				return platformtest.InternalError
			}
			return platformtest.NoFault
		}},
		"it is slow": {60 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpgrade(t, 71+len(name)%2, 3, c.gap, c.wrong)
			u.ask(8)
			u.order()
			edgetest.Until(t, "it is rolled back", func() bool { return u.store.RolloutState("llm") == "rolled_back" })
			edgetest.Until(t, "all routers know", func() bool {
				for _, m := range u.members {
					if r, _ := m.node.state.Rollout("llm"); !r.Phase.Final() {
						return false
					}
				}
				return true
			})
			got, all := arrived(u.fresh), arrived(u.servers)
			t.Logf("%d of %d requests", got, got+all)
			assert.Assert(t, float64(got) <= 0.1*float64(got+all)+50, "%d of %d", got, got+all)
			late := u.start(fmt.Sprintf("127.0.%d.9", 71+len(name)%2), u.members...)
			for range 50 {
				late.send("/o/x", "late", "")
			}
			u.end()
			running := 2 * 8 * len(u.members) // what was on its way then
			assert.Assert(t, arrived(u.fresh) <= got+running, "%d, then %d", got, arrived(u.fresh))
			for _, s := range u.fresh {
				for _, r := range s.Runs() {
					assert.Assert(t, r.Attempt[:4] != "late")
				}
			}
		})
	}
}
