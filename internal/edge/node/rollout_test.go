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

// rolloutDuration is how long a roll-out lasts in these tests.
const rolloutDuration = 6 * time.Second

// rolloutFleet is a fleet with servers of two versions and a load of requests at all routers.
type rolloutFleet struct {
	*fleet
	members    []*member
	newServers []*platformtest.Server // run the new version
	stop       chan struct{}
	callers    sync.WaitGroup
}

// newRolloutFleet starts the routers. The new version's servers answer with the given gap
// between two events and fail as fault says.
func newRolloutFleet(t *testing.T, network, routers int, gap time.Duration, fault func(attempt string) platformtest.Fault) *rolloutFleet {
	t.Helper()
	u := &rolloutFleet{fleet: newFleet(t, network), stop: make(chan struct{})}
	u.extraSettings = "[rollout]\nshare = 0.1\nslack = 50"
	for i := range fleetServers {
		s, err := platformtest.NewServer(fmt.Sprintf("n-%d", i), "llm", "dc", 5, gap)
		assert.NilError(t, err)
		t.Cleanup(s.Close)
		s.Version = "v2"
		s.SetFault(fault)
		u.newServers = append(u.newServers, s)
	}
	for i := range routers {
		u.members = append(u.members, u.start(fmt.Sprintf("127.0.%d.%d", network, i+1), u.members...))
	}
	return u
}

// startRollout adds the new version's servers and orders the roll-out as an operator does.
func (u *rolloutFleet) startRollout() {
	for _, s := range u.newServers {
		u.store.PutServer(s, "ready")
	}
	u.store.OrderRollout("llm", "v2", rolloutDuration)
}

// sendLoad sends requests to all routers, by that many callers each, until the test ends.
func (u *rolloutFleet) sendLoad(perRouter int) {
	for _, m := range u.members {
		for range perRouter {
			u.callers.Go(func() {
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
	u.t.Cleanup(u.stopLoad)
}

// stopLoad stops the callers and waits for them.
func (u *rolloutFleet) stopLoad() {
	select {
	case <-u.stop:
	default:
		close(u.stop)
	}
	u.callers.Wait()
}

// totalRuns returns how many requests the servers have run.
func totalRuns(servers []*platformtest.Server) (n int) {
	for _, s := range servers {
		n += len(s.Runs())
	}
	return n
}

// The roll-out of a good version is completed. From then on the old servers receive nothing
// from any router, including one that starts afterwards, and no request has run twice.
func TestGoodVersionIsRolledOut(t *testing.T) {
	u := newRolloutFleet(t, 70, 3, time.Millisecond, nil)
	u.sendLoad(8)
	u.startRollout()
	edgetest.Until(t, "the roll-out is running", func() bool { return u.store.RolloutState("llm") == "running" })
	edgetest.Until(t, "the roll-out ends", func() bool { return u.store.RolloutState("llm") != "running" })
	r, _ := u.members[0].node.state.Rollout("llm")
	assert.Equal(t, u.store.RolloutState("llm"), "completed", "%s", r.Reason)
	oldRuns := totalRuns(u.servers)
	newcomer := u.start("127.0.70.9", u.members...)
	for range 50 {
		assert.Equal(t, newcomer.send("/o/x", "late", ""), http.StatusOK)
	}
	u.stopLoad()
	assert.Equal(t, totalRuns(u.servers), oldRuns)
	seen := map[string]bool{}
	for _, s := range append(u.servers, u.newServers...) {
		for _, r := range s.Runs() {
			assert.Assert(t, !seen[r.Attempt], "%s ran twice", r.Attempt)
			seen[r.Attempt] = true
		}
	}
}

// A bad version is rolled back. It gets at most a tenth of the requests plus 50 until then,
// and nothing from a router that starts later.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, c := range map[string]struct {
		gap   time.Duration
		fault func(string) platformtest.Fault
	}{
		"failing": {time.Millisecond, func(attempt string) platformtest.Fault {
			if attempt[len(attempt)-1]%3 == 0 {
				return platformtest.InternalError
			}
			return platformtest.NoFault
		}},
		"slow": {60 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			u := newRolloutFleet(t, 71+len(name)%2, 3, c.gap, c.fault)
			u.sendLoad(8)
			u.startRollout()
			edgetest.Until(t, "the version is rolled back", func() bool { return u.store.RolloutState("llm") == "rolled_back" })
			edgetest.Until(t, "all routers know of the rollback", func() bool {
				for _, m := range u.members {
					if r, _ := m.node.state.Rollout("llm"); !r.Phase.Final() {
						return false
					}
				}
				return true
			})
			newRuns, oldRuns := totalRuns(u.newServers), totalRuns(u.servers)
			t.Logf("%d of %d requests", newRuns, newRuns+oldRuns)
			assert.Assert(t, float64(newRuns) <= 0.1*float64(newRuns+oldRuns)+50, "%d of %d", newRuns, newRuns+oldRuns)
			newcomer := u.start(fmt.Sprintf("127.0.%d.9", 71+len(name)%2), u.members...)
			for range 50 {
				newcomer.send("/o/x", "late", "")
			}
			u.stopLoad()
			inFlight := 2 * 8 * len(u.members) // in flight when they were counted
			assert.Assert(t, totalRuns(u.newServers) <= newRuns+inFlight, "%d, then %d", newRuns, totalRuns(u.newServers))
			for _, s := range u.newServers {
				for _, r := range s.Runs() {
					assert.Assert(t, r.Attempt[:4] != "late")
				}
			}
		})
	}
}
