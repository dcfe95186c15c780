package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/fair"
)

// Each request is counted once under its outcome, and a placed request that never starts is
// reverted.
func TestAccountsCountRequestsByOutcome(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newLoadedState(func() time.Time { return now }, 3_000, aboveCapacity)
	const tokens = 340 // cost of each request; output tokens count twice
	started := s.Place(newRequest("c"))
	s.NoteFirstEvent(&started)
	s.RecordHostOverload(newRequest("c"))
	s.Place(newRequest("c"))                                          // never started
	assert.Equal(t, s.Place(newRequest("b")).Reason, ReasonOverShare) // above its share
	assert.Equal(t, s.Place(newRequest("a")).Reason, ReasonNone)      // not reported, since none of its requests is refused
	now = now.Add(2 * time.Second)
	s.Tick()
	list := s.TakeAccounts(9)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Customer, "b")
	assert.DeepEqual(t, list[0].Account, fair.Account{Requested: tokens, OverShare: tokens})
	assert.Equal(t, list[1].Customer, "c")
	assert.DeepEqual(t, list[1].Account, fair.Account{Requested: 3 * tokens, HostOverload: tokens, Placed: 2 * tokens, Started: tokens, Reverted: tokens})
	assert.Equal(t, len(s.TakeAccounts(9)), 0)
}
