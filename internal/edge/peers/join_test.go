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

// know gives a router a view, as if it had read the store just now.
func (r *router) know(t *testing.T, version int) {
	t.Helper()
	text := platformtest.Config(version, nil, nil, []string{"app"}, nil)
	c, err := platform.DecodeConfig(text)
	assert.NilError(t, err)
	r.state.ApplyConfig(c, text)
	r.state.ReplaceServers([]routing.Server{{ID: "x", Service: "app", Slots: 2, State: routing.ServerReady}}, roster.Stamp{Version: 9}, false)
	r.state.ConfirmConfig(0)
}

// The pattern: one of 295 routers starts again. Each start cost the store six calls,
// 0.034 of what a quiet day earned. It has its view from a seed, and with it the
// routers by which it knows that others follow the store.
func TestARouterThatStartsHasItsViewFromASeed(t *testing.T) {
	control, udp := ports(t)
	a := start(t, "127.0.0.44", control, udp)
	a.know(t, 5)
	a.peers.mu.Lock()
	for i := range 20 {
		a.peers.spread.Observe(spread.Member{Addr: fmt.Sprintf("127.0.1.%d:1", i), DataCentre: "dc", Cores: 0.8}, 0, time.Now())
	}
	a.peers.mu.Unlock()
	b := starting(t, "127.0.0.45", control, udp, false, "127.0.0.45:1", a.peers.Self.Addr)
	b.peers.Joined(context.Background())
	assert.Assert(t, b.state.Ready())
	assert.Equal(t, b.state.Version(), int64(5))
	_, age := b.state.Table()
	assert.Assert(t, age < reportOld, "%s", age)
	assert.Equal(t, b.peers.Role(), follow.Indirect)
	assert.Assert(t, !b.peers.Registers(), "others are told of it by the reporters")
}

// The only seed lives and has no view: it reads the store, and the others wait for that for a
// bounded time before they do so too.
func TestASeedWithoutAViewIsWaitedForNotForEver(t *testing.T) {
	control, udp := ports(t)
	a := start(t, "127.0.0.46", control, udp)
	b := starting(t, "127.0.0.47", control, udp, false, a.peers.Self.Addr, "127.0.0.48:1")
	b.peers.Joined(context.Background())
	assert.Assert(t, !b.state.Ready())
	assert.Equal(t, b.peers.Role(), follow.Direct)
}

// At the first start of all a seed has no view yet; who waits for it has it as soon as it does.
func TestAtTheFirstStartASeedIsWaitedFor(t *testing.T) {
	control, udp := ports(t)
	a := starting(t, "127.0.0.49", control, udp, true, "127.0.0.49:"+strconv.Itoa(control))
	b := starting(t, "127.0.0.50", control, udp, true, a.peers.Self.Addr)
	a.peers.Joined(context.Background()) // a seed reads the store itself
	edgetest.Until(t, "the other one asks", func() bool { return a.peers.Live() == 1 })
	a.know(t, 5)
	b.peers.Joined(context.Background())
	assert.Equal(t, b.state.Version(), int64(5))
}

// A view that rests on an old answer of the store is not given.
func TestAnOldViewIsNotGiven(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return clock }, noWait)
	p.State.ApplyConfig(&routing.Config{Version: 5}, []byte("{}"))
	p.State.ReplaceServers(nil, roster.Stamp{Version: 9}, true)
	p.State.ConfirmConfig(0)
	assert.NilError(t, p.hasView())
	_, err := p.Give(pathJoin + "?dc=dc&addr=127.0.0.40:1")
	assert.NilError(t, err)
	clock = clock.Add(viewOld + time.Millisecond)
	assert.ErrorType(t, p.hasView(), &NoViewError{})
	for _, path := range []string{pathJoin, pathView} {
		_, err = p.Give(path)
		assert.ErrorType(t, err, &StatusError{})
	}
}
