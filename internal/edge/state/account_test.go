package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/fair"
)

// What a customer asked for is accounted once by what became of it, and taken back too.
func TestWhatBecameOfACustomersRequestsIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	s := loaded(func() time.Time { return now }, 3_000, aboveCapacity)
	const tokens = 340 // of each request, its made tokens twice
	begun := s.Place(ask("c"))
	s.First(&begun)
	s.TurnedAway(ask("c"))
	s.Place(ask("c"))                               // begins nowhere
	assert.Equal(t, s.Place(ask("b")).Why, WhyOver) // above its share
	assert.Equal(t, s.Place(ask("a")).Why, WhyNone) // nothing refused: not told
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
