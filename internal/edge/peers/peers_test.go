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

// router is the part of a router that talks to others.
type router struct {
	state *state.State
	peers *Peers
}

// start starts a router on a loopback address of its own, with the given ports.
func start(t *testing.T, ip string, control, udp int, seeds ...string) *router {
	t.Helper()
	return run(t, ip, control, udp, func(p *Peers) { p.Add(true, seeds...) })
}

// starting starts one that seeks its first view.
func starting(t *testing.T, ip string, control, udp int, firstStart bool, seeds ...string) *router {
	t.Helper()
	return run(t, ip, control, udp, func(p *Peers) { p.Join(seeds, firstStart) })
}

// run runs a router that begins so.
func run(t *testing.T, ip string, control, udp int, begin func(*Peers)) *router {
	t.Helper()
	addr := net.TCPAddr{IP: net.ParseIP(ip), Port: control}
	ln, err := net.ListenTCP("tcp4", &addr)
	assert.NilError(t, err)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: udp})
	assert.NilError(t, err)
	s := state.New("dc", 0.2, 80, time.Now)
	p := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), spread.Member{Addr: ln.Addr().String(), DataCentre: "dc"}, conn, platform.DecodeConfig, noWait, time.Now)
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
	return &router{state: s, peers: p}
}

// noWait is the wait for the processor of a host that has time.
func noWait() time.Duration { return 0 }

// ports reserves a control port and a UDP port on 127.0.0.31.
func ports(t *testing.T) (control, udp int) {
	t.Helper()
	control, err := loopback.ReservePort("127.0.0.31")
	assert.NilError(t, err)
	udp, err = loopback.ReservePort("127.0.0.31")
	assert.NilError(t, err)
	return control, udp
}

// A router that the store turns away takes the view of one that it serves, and
// knows what the other sends.
func TestViewAndLoadReachARouterWithoutTheStore(t *testing.T) {
	control, udp := ports(t)
	a := start(t, "127.0.0.31", control, udp)
	b := start(t, "127.0.0.32", control, udp, a.peers.Self.Addr)
	text := platformtest.Config(5, nil, nil, []string{"app"}, nil)
	c, err := platform.DecodeConfig(text)
	assert.NilError(t, err)
	a.state.ApplyConfig(c, text)
	list := []routing.Server{{ID: "x", Service: "app", Slots: 2, State: routing.ServerReady}}
	a.state.ReplaceServers(list, roster.Stamp{Version: 9}, false)
	a.state.ConfirmConfig(0)
	edgetest.Until(t, "the view", func() bool { return b.state.Ready() && b.state.Version() == 5 })
	assert.Equal(t, b.state.Stamp(), roster.Stamp{Version: 9})
	edgetest.Until(t, "each other", func() bool { return a.peers.Live() == 1 && b.peers.Live() == 1 })
	assert.Equal(t, a.peers.Role(), follow.Direct)
}

// A datagram that is no report changes nothing.
func TestMalformedHeartbeatIsLeftOut(t *testing.T) {
	control, udp := ports(t)
	a := start(t, "127.0.0.33", control, udp)
	c, err := net.Dial("udp4", (&net.UDPAddr{IP: net.ParseIP("127.0.0.33"), Port: udp}).String())
	assert.NilError(t, err)
	for _, text := range []string{"", "\x00", "not cbor", "\xa1\x01\x60"} {
		_, err = c.Write([]byte(text))
		assert.NilError(t, err)
	}
	a.peers.take(heartbeat{}, time.Now())
	assert.Equal(t, a.peers.Live(), 0)
}

// Loads are counted once, whatever kind of report tells them.
func TestNoLoadCountsTwice(t *testing.T) {
	control, udp := ports(t)
	a := start(t, "127.0.0.34", control, udp)
	for _, k := range []kind{kindSum, kindTotal} {
		assert.Equal(t, a.peers.use(heartbeat{Kind: k, DataCentre: "other"}), useNone, "a mesh goes by each router's own heartbeat")
	}
	assert.Equal(t, a.peers.use(heartbeat{Kind: kindOwn, DataCentre: "other"}), useOther)
}

// A peer that told once of a newer configuration and tells no more is not asked
// for it again and again once it has come from elsewhere (one configuration a
// host each 20 ms, 0.6 GB between data centres).
func TestConfigurationThatHasComeIsNotFetchedAgain(t *testing.T) {
	control, udp := ports(t)
	a := start(t, "127.0.0.35", control, udp)
	now := time.Now()
	a.peers.mu.Lock()
	a.peers.view(heartbeat{Control: "127.0.0.36:1", Version: 5}, 4, true, now)
	a.peers.mu.Unlock()
	later := now.Add(2 * pullAfter)
	assert.Assert(t, a.state.ApplyConfig(&routing.Config{Version: 5}, nil))
	assert.Equal(t, a.peers.ahead(later), "")
	a.peers.mu.Lock()
	defer a.peers.mu.Unlock()
	assert.Assert(t, a.peers.views["127.0.0.36:1"].newer.IsZero())
}

// Ages of the store's last answer don't grow younger by going round
// (all readers were turned away, and the fleet took 4.2 s for an age of 2.2 s), and only those are taken over that a
// follower or one's own reporter tells.
func TestAgesDoNotGoRound(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return clock }, noWait)
	s := p.State
	assert.Assert(t, s.ApplyConfig(&routing.Config{Version: 5}, nil))
	s.ConfirmConfig(0)
	age := func() time.Duration {
		_, age := s.Table()
		return age
	}
	told := heartbeat{Control: "127.0.0.38:1", DataCentre: "dc", Version: 5, FollowedMs: 9000}
	for range 100 {
		clock = clock.Add(20 * time.Millisecond)
		told.AgeMs = age().Milliseconds() - 2
		p.take(told, clock)
	}
	assert.Equal(t, age(), 2*time.Second)
	told.AgeMs = 100
	told.FollowedMs = 0
	p.take(told, clock)
	assert.Equal(t, age(), 2*time.Second, "it does not follow the store")
	told.FollowedMs = 9000
	p.take(told, clock)
	assert.Equal(t, age(), 100*time.Millisecond)
}

// lone returns the peers of a router that talks to nobody, by the given clock.
func lone(t testing.TB, now func() time.Time, wait func() time.Duration) *Peers {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP("127.0.0.39")})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s := state.New("dc", 0.2, 80, now)
	return New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), spread.Member{Addr: "127.0.0.39:1", DataCentre: "dc"}, conn, platform.DecodeConfig, wait, now)
}

// A view is fetched from a peer that is there, not from one that fell silent
// with the youngest report of the store.
func TestSilentPeerIsNotAskedFirst(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return clock }, noWait)
	gone := heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Version: 5, List: 9, AgeMs: 1}
	there := heartbeat{Control: "127.0.0.41:1", DataCentre: "dc", Version: 5, List: 9, AgeMs: 200}
	p.take(gone, clock)
	p.take(there, clock)
	assert.Equal(t, p.newerServers(clock), gone.Control)
	clock = clock.Add(time.Second)
	p.take(there, clock)
	assert.Equal(t, p.newerServers(clock), there.Control)
	for range 20 { // the order of a map is another each time
		assert.Equal(t, p.ahead(clock.Add(2*pullAfter)), there.Control)
		p.views[gone.Control].newer = time.Unix(1000, 0)
		p.views[there.Control].newer = time.Unix(1000, 0)
	}
}

// On a host that is behind its work a report has waited before it is read: at a host
// that a flood had overloaded, for seconds.
func TestTheWaitForTheProcessorAges(t *testing.T) {
	clock := time.Unix(1000, 0)
	p := lone(t, func() time.Time { return clock }, func() time.Duration { return 300 * time.Millisecond })
	assert.Assert(t, p.State.ApplyConfig(&routing.Config{Version: 5}, nil))
	p.take(heartbeat{Control: "127.0.0.40:1", DataCentre: "dc", Version: 5, FollowedMs: 9000, AgeMs: 100}, clock)
	_, age := p.State.Table()
	assert.Equal(t, age, 400*time.Millisecond)
}

// A peer that does not answer with its configuration does not hold up the list
// of servers.
func TestFetchesDoNotWaitForEachOther(t *testing.T) {
	control, udp := ports(t)
	a := start(t, "127.0.0.42", control, udp)
	a.peers.Net.(*network).http.Timeout = time.Hour
	asked := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc(pathConfig, func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
	})
	mux.HandleFunc(pathChanges, func(w http.ResponseWriter, _ *http.Request) {
		text, err := cbor.Marshal(packWhole(roster.Snapshot{Servers: []routing.Server{{ID: "x", Service: "app"}}}, roster.Stamp{Version: 9}))
		assert.Check(t, err)
		_, _ = w.Write(text)
	})
	ln, err := net.Listen("tcp4", "127.0.0.43:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	w := heartbeat{Control: ln.Addr().String(), DataCentre: "dc", Version: 5}
	for len(asked) == 0 {
		a.peers.take(w, time.Now())
		time.Sleep(time.Millisecond) // the test's own time limit bounds it
	}
	w.List = 9
	edgetest.Until(t, "the servers", func() bool {
		a.peers.take(w, time.Now())
		return a.state.Stamp().Version == 9
	})
}

// What is told in some ticks only reaches the other data centres too, which are
// told in some ticks only.
func TestOtherDataCentresHearAllKinds(t *testing.T) {
	assert.Equal(t, sumEvery%ratesEvery, 0)
	assert.Equal(t, headsEvery%sumEvery, 0)
}
