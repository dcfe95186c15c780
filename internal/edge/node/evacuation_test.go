package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
)

// splitFleet returns a fleet in which every other server is in the data centre west.
func splitFleet(t testing.TB, network int) *fleet {
	f := newFleet(t, network)
	f.promptPrefixes = 16
	for i, s := range f.servers {
		if i%2 == 1 {
			s.DataCentre = "west"
			f.store.PutServer(s, "ready")
		}
	}
	return f
}

// runCount returns how many requests the servers of a data centre have run.
func (f *fleet) runCount(dataCentre string) (n int) {
	for _, s := range f.servers {
		if s.DataCentre == dataCentre {
			n += len(s.Runs())
		}
	}
	return n
}

// Soon after a data centre is evacuated its servers receive nothing, neither from routers that
// follow the store nor from one that starts meanwhile, until the evacuation is cancelled.
func TestEvacuatedDataCentreReceivesNothing(t *testing.T) {
	const takesEffectWithin = time.Second // the fleet's own target; the platform's bound is 5 s
	f := splitFleet(t, 47)
	a := f.start("127.0.47.1")
	b := f.start("127.0.47.2", a)
	send := func(members ...*member) {
		for _, m := range members {
			for range 30 {
				assert.Equal(t, m.send("/s/x", "e", ""), http.StatusOK)
			}
		}
	}
	send(a, b)
	assert.Assert(t, f.runCount("west") > 0)
	f.store.Evacuate("west")
	time.Sleep(takesEffectWithin)
	before := f.runCount("west")
	newcomer := f.start("127.0.47.3", a, b)
	send(a, b, newcomer)
	assert.Equal(t, f.runCount("west"), before)
	f.store.EndEvacuation("west")
	edgetest.Until(t, "the data centre receives requests again", func() bool {
		send(a)
		return f.runCount("west") > before
	})
}

// While all data centres are evacuated, requests are refused without delay.
func TestRequestsAreRefusedWhileAllDataCentresAreEvacuated(t *testing.T) {
	f := splitFleet(t, 48)
	a := f.start("127.0.48.1")
	f.store.Evacuate("dc")
	f.store.Evacuate("west")
	edgetest.Until(t, "all data centres are evacuated", func() bool { return a.send("/s/x", "e", "") == http.StatusServiceUnavailable })
	before := f.runCount("dc") + f.runCount("west")
	for range 10 {
		start := time.Now()
		assert.Equal(t, a.send("/o/x", "e", ""), http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(start) < 2*time.Second)
	}
	assert.Equal(t, f.runCount("dc")+f.runCount("west"), before)
	f.store.EndEvacuation("dc")
	edgetest.Until(t, "requests are served again", func() bool { return a.send("/s/x", "e", "") == http.StatusOK })
}

// A data centre that is evacuated, restored and evacuated again between two reads of the store
// counts as evacuated.
func TestLatestEvacuationOrderApplies(t *testing.T) {
	f := splitFleet(t, 49)
	a := f.start("127.0.49.1")
	for range 3 {
		f.store.Evacuate("west")
		f.store.EndEvacuation("west")
	}
	f.store.Put("op", "evacuate/west", []byte(`["a body that is not empty"]`))
	f.store.Evacuate("nowhere")
	time.Sleep(time.Second)
	before := f.runCount("west")
	for range 40 {
		assert.Equal(t, a.send("/s/x", "e", ""), http.StatusOK)
	}
	assert.Equal(t, f.runCount("west"), before)
}
