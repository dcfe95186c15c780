package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// Guards against requests to a server that announced that it is leaving or requested a backoff,
// from a router that has never reached the store and got its server list from another router.
func TestRouterWithoutTheStoreObservesServerNotices(t *testing.T) {
	const network, requests = 53, 100
	f := newFleet(t, network)
	f.promptPrefixes = 2 * fleetServers // spreads requests over all servers
	first := f.start("127.0.53.1")
	edgetest.Until(t, "the first router's server list", func() bool { return first.node.state.ServerCount() == fleetServers })
	f.store.SetFault(func(*http.Request) platformtest.StoreFault { return platformtest.StoreUnavailable })
	second := f.start("127.0.53.2", first)
	edgetest.Until(t, "the second router's server list", func() bool { return second.node.state.ServerCount() == fleetServers })

	leaving, busy := f.servers[0], f.servers[1]
	leaving.SetLeaving(true)
	busy.SetBackoff(time.Minute)
	busy.SetFault(func(string) platformtest.Fault { return platformtest.Overloaded })
	edgetest.Until(t, "both servers have answered", func() bool {
		second.send("/s/x", "a", "")
		return len(leaving.Arrivals()) > 0 && len(busy.Arrivals()) > 0
	})
	for range requests {
		assert.Equal(t, second.send("/s/x", "b", ""), http.StatusOK)
	}
	assert.Equal(t, len(leaving.Arrivals()), 1)
	assert.Equal(t, len(busy.Arrivals()), 1)
}
