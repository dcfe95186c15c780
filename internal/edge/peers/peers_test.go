package peers

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
	"github.com/windscale/windscale/test/loopback"
)

// testRouter is the part of a router that communicates with others.
type testRouter struct {
	state *state.State
	peers *Peers
}

// startRouter starts a router on its own loopback address with the given ports.
func startRouter(t *testing.T, ip string, control, udp int, seeds ...string) *testRouter {
	t.Helper()
	return runRouter(t, ip, control, udp, func(p *Peers) { p.Add(true, seeds...) })
}

// startJoiningRouter starts a router that looks for its first view.
func startJoiningRouter(t *testing.T, ip string, control, udp int, firstStart bool, seeds ...string) *testRouter {
	t.Helper()
	return runRouter(t, ip, control, udp, func(p *Peers) { p.Join(seeds, firstStart) })
}

// runRouter runs a router after calling begin.
func runRouter(t *testing.T, ip string, control, udp int, begin func(*Peers)) *testRouter {
	t.Helper()
	addr := net.TCPAddr{IP: net.ParseIP(ip), Port: control}
	ln, err := net.ListenTCP("tcp4", &addr)
	assert.NilError(t, err)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: udp})
	assert.NilError(t, err)
	s := state.New("dc", 0.2, 80, time.Now)
	p := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), spread.Member{Addr: ln.Addr().String(), DataCentre: "dc"}, conn, nil, platform.DecodeConfig, noWait, time.Now)
	begin(p)
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ln) }()
	go func() { _ = p.Run(ctx) }()
	go func() { _ = p.Receive(ctx) }()
	t.Cleanup(func() {
		cancel()
		_ = conn.Close()
		_ = server.Close()
	})
	return &testRouter{state: s, peers: p}
}

// noWait is the processor wait of an idle host.
func noWait() time.Duration { return 0 }

// reservePorts reserves a control port and a UDP port on 127.0.0.31.
func reservePorts(t *testing.T) (control, udp int) {
	t.Helper()
	control, err := loopback.ReservePort("127.0.0.31")
	assert.NilError(t, err)
	udp, err = loopback.ReservePort("127.0.0.31")
	assert.NilError(t, err)
	return control, udp
}

// A router whose calls the store refuses gets the view from a router that the store serves, and
// both hear each other.
func TestViewReachesRouterWithoutStore(t *testing.T) {
	control, udp := reservePorts(t)
	a := startRouter(t, "127.0.0.31", control, udp)
	b := startRouter(t, "127.0.0.32", control, udp, a.peers.Self.Addr)
	data := platformtest.Config(5, nil, nil, []string{"app"}, nil)
	c, err := platform.DecodeConfig(data)
	assert.NilError(t, err)
	a.state.ApplyConfig(c, data)
	list := []routing.Server{{ID: "x", Service: "app", Slots: 2, State: routing.ServerReady}}
	a.state.ReplaceServers(list, roster.Stamp{Version: 9}, false)
	a.state.ConfirmConfig(0)
	edgetest.Until(t, "the view", func() bool { return b.state.Ready() && b.state.Version() == 5 })
	assert.Equal(t, b.state.Stamp(), roster.Stamp{Version: 9})
	edgetest.Until(t, "each other", func() bool { return a.peers.Live() == 1 && b.peers.Live() == 1 })
	assert.Equal(t, a.peers.Role(), follow.Direct)
}

// A malformed datagram changes nothing.
func TestMalformedHeartbeatIsIgnored(t *testing.T) {
	control, udp := reservePorts(t)
	a := startRouter(t, "127.0.0.33", control, udp)
	c, err := net.Dial("udp4", (&net.UDPAddr{IP: net.ParseIP("127.0.0.33"), Port: udp}).String())
	assert.NilError(t, err)
	for _, data := range []string{"", "\x00", "not cbor", "\xa1\x01\x60"} {
		_, err = c.Write([]byte(data))
		assert.NilError(t, err)
	}
	a.peers.handleHeartbeat(heartbeat{}, time.Now())
	assert.Equal(t, a.peers.Live(), 0)
}

// A load counts once, whatever kind of report contains it.
func TestLoadIsCountedOnce(t *testing.T) {
	control, udp := reservePorts(t)
	a := startRouter(t, "127.0.0.34", control, udp)
	for _, k := range []kind{kindSum, kindTotal} {
		assert.Equal(t, a.peers.usageOf(heartbeat{Kind: k, DataCentre: "other"}), useNone, "a mesh uses only the routers' own heartbeats")
	}
	assert.Equal(t, a.peers.usageOf(heartbeat{Kind: kindOwn, DataCentre: "other"}), useOther)
}

// A peer that reported a newer configuration once and then fell silent must not be asked for it
// again after it arrived from elsewhere. This used to cause one fetch per host every 20 ms, 0.6 GB
// between data centres.
func TestReceivedConfigurationIsNotFetchedAgain(t *testing.T) {
	control, udp := reservePorts(t)
	a := startRouter(t, "127.0.0.35", control, udp)
	now := time.Now()
	a.peers.mu.Lock()
	a.peers.recordView(heartbeat{ControlAddr: "127.0.0.36:1", ConfigVersion: 5}, 4, true, now)
	a.peers.mu.Unlock()
	later := now.Add(2 * pullDelay)
	assert.Assert(t, a.state.ApplyConfig(&routing.Config{Version: 5}, nil))
	assert.Equal(t, a.peers.newerConfigPeer(later), "")
	a.peers.mu.Lock()
	defer a.peers.mu.Unlock()
	assert.Assert(t, a.peers.views["127.0.0.36:1"].configNewerSince.IsZero())
}

// The age of a store answer must not become younger by being relayed in a circle: when the store
// refused all readers, the fleet believed after 4.2 s that the last answer was 2.2 s old. Only ages
// from a router that follows the store, or from the router's own reporter, are applied.
func TestRelayedViewAgesDoNotShrink(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return clock }, noWait)
	s := p.State
	assert.Assert(t, s.ApplyConfig(&routing.Config{Version: 5}, nil))
	s.ConfirmConfig(0)
	age := func() time.Duration {
		_, age := s.Table()
		return age
	}
	hb := heartbeat{ControlAddr: "127.0.0.38:1", DataCentre: "dc", ConfigVersion: 5, FollowedMs: 9000}
	for range 100 {
		clock = clock.Add(20 * time.Millisecond)
		hb.ViewAgeMs = age().Milliseconds() - 2
		p.handleHeartbeat(hb, clock)
	}
	assert.Equal(t, age(), 2*time.Second)
	hb.ViewAgeMs = 100
	hb.FollowedMs = 0
	p.handleHeartbeat(hb, clock)
	assert.Equal(t, age(), 2*time.Second, "it does not follow the store")
	hb.FollowedMs = 9000
	p.handleHeartbeat(hb, clock)
	assert.Equal(t, age(), 100*time.Millisecond)
}

// isolatedPeers returns the peers of a router without contact to others, with the given clock.
func isolatedPeers(t testing.TB, now func() time.Time, wait func() time.Duration) *Peers {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.0.0.39")})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s := state.New("dc", 0.2, 80, now)
	return New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), spread.Member{Addr: "127.0.0.39:1", DataCentre: "dc"}, conn, nil, platform.DecodeConfig, wait, now)
}

// A view is fetched from a live peer, not from a silent one that last reported the most recent
// store answer.
func TestFetchPrefersLivePeer(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return clock }, noWait)
	silent := heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", ConfigVersion: 5, ListVersion: 9, ViewAgeMs: 1}
	live := heartbeat{ControlAddr: "127.0.0.41:1", DataCentre: "dc", ConfigVersion: 5, ListVersion: 9, ViewAgeMs: 200}
	p.handleHeartbeat(silent, clock)
	p.handleHeartbeat(live, clock)
	assert.Equal(t, p.newerServersPeer(clock), silent.ControlAddr)
	clock = clock.Add(time.Second)
	p.handleHeartbeat(live, clock)
	assert.Equal(t, p.newerServersPeer(clock), live.ControlAddr)
	for range 20 { // map iteration order varies
		assert.Equal(t, p.newerConfigPeer(clock.Add(2*pullDelay)), live.ControlAddr)
		p.views[silent.ControlAddr].configNewerSince = time.Unix(1000, 0)
		p.views[live.ControlAddr].configNewerSince = time.Unix(1000, 0)
	}
}

// On an overloaded host a heartbeat waits before it is read, for seconds on a host that was flooded
// with requests. That time adds to the age that it reports.
func TestProcessorWaitAddsToViewAge(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := isolatedPeers(t, func() time.Time { return clock }, func() time.Duration { return 300 * time.Millisecond })
	assert.Assert(t, p.State.ApplyConfig(&routing.Config{Version: 5}, nil))
	p.handleHeartbeat(heartbeat{ControlAddr: "127.0.0.40:1", DataCentre: "dc", ConfigVersion: 5, FollowedMs: 9000, ViewAgeMs: 100}, clock)
	_, age := p.State.Table()
	assert.Equal(t, age, 400*time.Millisecond)
}

// A peer that does not answer a fetch of its configuration must not block the fetch of the server
// list.
func TestConfigurationFetchDoesNotBlockServersFetch(t *testing.T) {
	control, udp := reservePorts(t)
	a := startRouter(t, "127.0.0.42", control, udp)
	a.peers.Net.(*network).http.Timeout = time.Hour
	configAsked := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc(pathConfig, func(_ http.ResponseWriter, r *http.Request) {
		configAsked <- struct{}{}
		<-r.Context().Done()
	})
	mux.HandleFunc(pathChanges, func(w http.ResponseWriter, _ *http.Request) {
		data, err := cbor.Marshal(packFullList(roster.Snapshot{Servers: []routing.Server{{ID: "x", Service: "app"}}}, roster.Stamp{Version: 9}))
		assert.Check(t, err)
		_, _ = w.Write(data)
	})
	ln, err := net.Listen("tcp4", "127.0.0.43:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	w := heartbeat{ControlAddr: ln.Addr().String(), DataCentre: "dc", ConfigVersion: 5}
	for len(configAsked) == 0 {
		a.peers.handleHeartbeat(w, time.Now())
		time.Sleep(time.Millisecond) // bounded by the timeout of the test
	}
	w.ListVersion = 9
	edgetest.Until(t, "the servers", func() bool {
		a.peers.handleHeartbeat(w, time.Now())
		return a.state.Stamp().Version == 9
	})
}

// Other data centres are reported to only in some ticks. These must include the ticks in which
// rates and repeated state are sent.
func TestSumTicksAlignWithRatesAndRepeats(t *testing.T) {
	assert.Equal(t, sumTicks%ratesTicks, 0)
	assert.Equal(t, repeatTicks%sumTicks, 0)
}
