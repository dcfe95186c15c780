package peers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/spread"
)

// What a router sent where reaches all routers of a large fleet in three reports: its
// reporter's, that of the other data centre's reporter, and on to its routers.
// Grounds of the sizes: above 12 routers there are reporters.
func TestNewsReachTheOtherDataCentreOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return now }, noWait)
	p.Self.Cores = 9
	p.spread = spread.New(p.Self)
	for i := range 20 {
		p.take(heartbeat{Control: fmt.Sprintf("127.0.0.%d:1", 60+i), DataCentre: []string{"dc", "far"}[i%2], Version: 1}, now)
	}
	assert.Assert(t, !p.spread.Mesh() && p.spread.Reporter())
	near := pick.Sent{"i-1": {1, 2}}
	far := pick.Sent{"i-2": {3}}
	p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Sent: near}, now)
	p.take(heartbeat{Control: "127.0.0.61:1", DataCentre: "far", Kind: kindSum, Sent: far}, now)
	p.take(heartbeat{Control: "127.0.0.62:1", DataCentre: "dc", Kind: kindTotal, Sent: pick.Sent{"i-3": {9}}}, now)
	out, in := p.takePending(pick.Sent{"i-1": {4}}, true, false)
	assert.DeepEqual(t, out, pick.Sent{"i-1": {1, 2, 4}})
	assert.Equal(t, len(in), 0, "it is not told yet")
	out, in = p.takePending(nil, true, true)
	assert.Equal(t, len(out), 0, "it was told")
	assert.DeepEqual(t, in, pick.Sent{"i-1": {1, 2, 4}, "i-2": {3}})
}

// In a small fleet each tells each: nothing is kept to be told on, or it would grow.
func TestAMeshTellsNothingOn(t *testing.T) {
	now := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return now }, noWait)
	p.take(heartbeat{Control: "127.0.0.60:1", DataCentre: "dc", Kind: kindOwn, Sent: pick.Sent{"i-1": {1}}}, now)
	_, in := p.takePending(nil, true, true)
	assert.Equal(t, len(in), 0)
}

func TestWhatIsKeptToBeToldIsBounded(t *testing.T) {
	n := newPending()
	for range 10 * sentMost {
		n.keep(kindOwn, pick.Sent{"i-1": {1}})
	}
	assert.Equal(t, len(n.outward["i-1"]), sentMost)
	assert.Equal(t, len(n.inward["i-1"]), sentMost)
}
