package peers

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// loadView gives a router a view, as if it had just read the store.
func (r *testRouter) loadView(t *testing.T, version int) {
	t.Helper()
	data := platformtest.Config(version, nil, nil, []string{"app"}, nil)
	c, err := platform.DecodeConfig(data)
	assert.NilError(t, err)
	r.state.ApplyConfig(c, data)
	r.state.ReplaceServers([]routing.Server{{ID: "x", Service: "app", Slots: 2, State: routing.ServerReady}}, roster.Stamp{Version: 9}, false)
	r.state.ConfirmConfig(0)
}

// When one of 295 routers restarted, it used to make six calls to the store, which cost 0.034 of
// the earnings of a quiet day. It now gets its view from a seed, including the routers from which
// it concludes that others follow the store.
func TestFirstViewComesFromSeed(t *testing.T) {
	control, udp := reservePorts(t)
	a := startRouter(t, "127.0.0.44", control, udp)
	a.loadView(t, 5)
	a.peers.mu.Lock()
	for i := range 20 {
		a.peers.spread.Observe(spread.Member{Addr: fmt.Sprintf("127.0.1.%d:1", i), DataCentre: "dc", Cores: 0.8}, 0, time.Now())
	}
	a.peers.mu.Unlock()
	b := startJoiningRouter(t, "127.0.0.45", control, udp, false, "127.0.0.45:1", a.peers.Self.Addr)
	b.peers.WaitJoined(context.Background())
	assert.Assert(t, b.state.Ready())
	assert.Equal(t, b.state.Version(), int64(5))
	_, age := b.state.Table()
	assert.Assert(t, age < baseFallbackAge, "%s", age)
	assert.Equal(t, b.peers.Role(), follow.Indirect)
	assert.Assert(t, !b.peers.ShouldRegister(), "the reporters announce it to the others")
}

// The only live seed has no view and reads the store itself. The other routers wait for its view
// for a limited time only, and then follow the store too.
func TestWaitForSeedWithoutViewIsBounded(t *testing.T) {
	control, udp := reservePorts(t)
	a := startRouter(t, "127.0.0.46", control, udp)
	b := startJoiningRouter(t, "127.0.0.47", control, udp, false, a.peers.Self.Addr, "127.0.0.48:1")
	b.peers.WaitJoined(context.Background())
	assert.Assert(t, !b.state.Ready())
	assert.Equal(t, b.peers.Role(), follow.Direct)
}

// At the first start of the fleet a seed has no view yet. A router that waits for it gets the view
// as soon as the seed has it.
func TestFirstStartWaitsForViewOfSeed(t *testing.T) {
	control, udp := reservePorts(t)
	a := startJoiningRouter(t, "127.0.0.49", control, udp, true, "127.0.0.49:"+strconv.Itoa(control))
	b := startJoiningRouter(t, "127.0.0.50", control, udp, true, a.peers.Self.Addr)
	a.peers.WaitJoined(context.Background()) // a seed reads the store itself
	edgetest.Until(t, "the request of the other router", func() bool { return a.peers.Live() == 1 })
	a.loadView(t, 5)
	b.peers.WaitJoined(context.Background())
	assert.Equal(t, b.state.Version(), int64(5))
}

// A view that is based on an old store answer is not served.
func TestStaleViewIsNotServed(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return clock }, noWait)
	p.State.ApplyConfig(&routing.Config{Version: 5}, []byte("{}"))
	p.State.ReplaceServers(nil, roster.Stamp{Version: 9}, true)
	p.State.ConfirmConfig(0)
	assert.NilError(t, p.checkView())
	_, err := p.Respond(pathJoin + "?dc=dc&addr=127.0.0.40:1")
	assert.NilError(t, err)
	clock = clock.Add(maxViewAge + time.Millisecond)
	assert.ErrorType(t, p.checkView(), &NoViewError{})
	for _, path := range []string{pathJoin, pathView} {
		_, err = p.Respond(path)
		assert.ErrorType(t, err, &StatusError{})
	}
}
