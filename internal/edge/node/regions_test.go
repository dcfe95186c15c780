package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// A route or customer that has home regions is served only there, even if the caller's router
// is in another region. If both have home regions, both restrict the choice.
func TestRequestsStayInHomeRegions(t *testing.T) {
	f := splitFleet(t, 51)
	f.extraSettings = "[regions]\ndc = east\nwest = far\n"
	routes := []platformtest.Route{}
	for _, prefix := range []string{"/any/", "/far/", "/none/"} {
		routes = append(routes, platformtest.Route{Prefix: prefix, Kind: "streaming", Service: "llm", MaxAttempts: 2, Resumable: true, Timeout: 5 * time.Second})
	}
	config := platformtest.Config(2, routes, []string{"llm"}, nil, map[string]string{"k": "ana"})
	config = platformtest.WithHomes(config, 1, []string{"far"}, -1, nil)
	config = platformtest.WithHomes(config, 2, []string{"far"}, -1, nil)
	f.store.PutConfig(config)
	a := f.start("127.0.51.1")
	edgetest.Until(t, "the configuration", func() bool { return a.node.state.Version() == 2 })
	for range 40 {
		assert.Equal(t, a.send("/any/x", "h", ""), http.StatusOK)
	}
	assert.Assert(t, f.runCount("dc") > 0)
	before := f.runCount("dc")
	for range 40 {
		assert.Equal(t, a.send("/far/x", "h", ""), http.StatusOK)
	}
	assert.Equal(t, f.runCount("dc"), before)

	config = platformtest.Config(3, routes, []string{"llm"}, nil, map[string]string{"k": "ana"})
	config = platformtest.WithHomes(config, 2, []string{"far"}, 0, []string{"east"})
	f.store.PutConfig(config)
	edgetest.Until(t, "the next configuration", func() bool { return a.node.state.Version() == 3 })
	west := f.runCount("west")
	for range 40 {
		assert.Equal(t, a.send("/any/x", "h", ""), http.StatusOK)
	}
	start := time.Now()
	assert.Equal(t, a.send("/none/x", "h", ""), http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(start) < 2*time.Second)
	assert.Equal(t, f.runCount("west"), west, "the customer's home regions apply too")
}
