package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
)

// splitFleet is a fleet of engines of which every other one stands in the data centre west.
func splitFleet(t testing.TB, network int) *fleet {
	f := newFleet(t, network)
	f.prompts = 16
	for i, s := range f.servers {
		if i%2 == 1 {
			s.DataCentre = "west"
			f.store.PutServer(s, "ready")
		}
	}
	return f
}

// ran is how many requests the servers of a data centre have run.
func (f *fleet) ran(dataCentre string) (n int) {
	for _, s := range f.servers {
		if s.DataCentre == dataCentre {
			n += len(s.Runs())
		}
	}
	return n
}

// Soon after a data centre's evacuation nothing is sent to its servers, by routers that follow
// the store and by one that starts meanwhile, until it is taken back.
func TestAnEvacuatedDataCentreGetsNothing(t *testing.T) {
	const soon = time.Second // the fleet's own aim; the platform's bound is 5 s
	f := splitFleet(t, 47)
	a := f.start("127.0.47.1")
	b := f.start("127.0.47.2", a)
	send := func(by ...*member) {
		for _, m := range by {
			for range 30 {
				assert.Equal(t, m.send("/s/x", "e", ""), http.StatusOK)
			}
		}
	}
	send(a, b)
	assert.Assert(t, f.ran("west") > 0)
	f.store.Evacuate("west")
	time.Sleep(soon)
	before := f.ran("west")
	late := f.start("127.0.47.3", a, b)
	send(a, b, late)
	assert.Equal(t, f.ran("west"), before)
	f.store.EndEvacuation("west")
	edgetest.Until(t, "it is served again", func() bool {
		send(a)
		return f.ran("west") > before
	})
}

// While all data centres are evacuated requests are refused at once.
func TestNothingIsServedWhileAllIsEvacuated(t *testing.T) {
	f := splitFleet(t, 48)
	a := f.start("127.0.48.1")
	f.store.Evacuate("dc")
	f.store.Evacuate("west")
	edgetest.Until(t, "all is evacuated", func() bool { return a.send("/s/x", "e", "") == http.StatusServiceUnavailable })
	before := f.ran("dc") + f.ran("west")
	for range 10 {
		began := time.Now()
		assert.Equal(t, a.send("/o/x", "e", ""), http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < 2*time.Second)
	}
	assert.Equal(t, f.ran("dc")+f.ran("west"), before)
	f.store.EndEvacuation("dc")
	edgetest.Until(t, "one is back", func() bool { return a.send("/s/x", "e", "") == http.StatusOK })
}

// The same data centre set and taken back and set again within one read is evacuated.
func TestTheLastWordOnAnEvacuationCounts(t *testing.T) {
	f := splitFleet(t, 49)
	a := f.start("127.0.49.1")
	for range 3 {
		f.store.Evacuate("west")
		f.store.EndEvacuation("west")
	}
	f.store.Put("op", "evacuate/west", []byte(`["a body that is not empty"]`))
	f.store.Evacuate("nowhere")
	time.Sleep(time.Second)
	before := f.ran("west")
	for range 40 {
		assert.Equal(t, a.send("/s/x", "e", ""), http.StatusOK)
	}
	assert.Equal(t, f.ran("west"), before)
}
