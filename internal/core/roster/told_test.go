package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// A router that starts just after an outage of the store has from another one the servers whose
// entries lapsed, for as long as that one waits for them, and gives them up by itself.
func TestWhatIsDoubtedIsToldWithItsEnd(t *testing.T) {
	teller := New()
	teller.Replace([]routing.Server{ready("a"), ready("b")}, false, start)
	teller.StoreDown(at(100))
	teller.StoreBack(at(3000))
	teller.Apply(nil, []string{"b"}, at(3000))
	told := teller.Told(at(3100))
	assert.Equal(t, len(told.Servers), 1)
	fresh := New()
	fresh.ReplaceTold(told, at(3100))
	assert.Equal(t, ids(fresh), "ab")
	again := fresh.Told(at(3200))
	assert.Equal(t, len(again.Servers), 1, "it is in doubt there too")
	fresh.Tick(at(4590))
	assert.Equal(t, ids(fresh), "ab")
	fresh.Tick(at(4610))
	assert.Equal(t, ids(fresh), "a")
}

// What one holds back after the store's return from a copy, one that has just started does too.
func TestWhatIsHeldBackIsToldWithItsEnd(t *testing.T) {
	teller := returnedAt(1000)
	teller.Replace([]routing.Server{ready("a"), ready("b"), ready("c")}, false, at(1100))
	assert.Equal(t, ids(teller), "ab")
	fresh := New()
	fresh.ReplaceTold(teller.Told(at(2000)), at(2000))
	assert.Equal(t, ids(fresh), "ab")
	fresh.Tick(at(5900))
	assert.Equal(t, ids(fresh), "ab")
	fresh.Tick(at(6000))
	assert.Equal(t, ids(fresh), "abc")
}

// A list told without a server is sure that it has left, whatever a doubt was told before.
func TestANewerListEndsADoubt(t *testing.T) {
	r := New()
	r.ReplaceTold(Told{Servers: []routing.Server{ready("a")}, Doubtful: []Doubtful{{ready("b"), time.Second}}}, at(0))
	assert.Equal(t, ids(r), "ab")
	r.ReplaceTold(Told{Servers: []routing.Server{ready("a")}}, at(100))
	assert.Equal(t, ids(r), "a")
}
