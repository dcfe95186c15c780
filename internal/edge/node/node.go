// Package node puts one router of the users' platform together: its listeners,
// what it follows, its peers, and its start, reload and stop.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"golang.org/x/time/rate"

	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/slowstart"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/clock"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/peers"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/settings"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
	"github.com/windscale/windscale/platform"
)

const (
	// tickEvery is how often the state forgets what is old.
	tickEvery = 200 * time.Millisecond
	// retireEvery is how often idle connections to servers are looked through.
	retireEvery = time.Second
	// heldPart is the part of the memory that requests' bodies may take.
	heldPart = 0.25
	// runsPerMB is how many requests may be in progress for each MB of memory:
	// one takes some 50 KB with its body, buffers and stacks, and the collector
	// as much again. 112 MB were used up by some 900.
	runsPerMB = 4
	// headerTimeout and idleTimeout bound callers until a configuration is known,
	// and from above: its own limits, 3 s and 15 s where they were seen, are kept
	// by silence and, for the header's size, by the handler.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// registerEvery is how often a router that hears no other reads the store's
	// list of routers.
	registerEvery = 5 * time.Second
	// registerAfter is how long after it has sought its first view a router looks first,
	// to twice that: by then seeds that live have answered, and a router of a large fleet
	// need not be found in the store. All 295 routers that wrote their rows at the first
	// start of all took the store two seconds.
	registerAfter = 300 * time.Millisecond
)

// Node is one router.
type Node struct {
	path     string // of the settings file
	settings *settings.Settings
	level    *slog.LevelVar
	dropped  func() int64 // log lines
	log      *slog.Logger

	state    *state.State
	store    *platform.Store
	meter    *meter.Meter
	pool     *upstream.Pool
	handler  *front.Handler
	peers    *peers.Peers
	probe    *pressure.Probe
	clock    *clock.Clock
	limiter  *connLimiter
	callers  *http.Server
	draining atomic.Bool

	callersL, readyL, controlL, metricsL net.Listener
}

// New opens a router's listeners. What it serves begins with Actors.
func New(path string, s *settings.Settings, level *slog.LevelVar, log *slog.Logger, dropped func() int64) (*Node, error) {
	n := &Node{path: path, settings: s, level: level, log: log, dropped: dropped}
	n.meter = meter.New()
	n.probe = pressure.New(s.Cores, time.Now)
	n.clock = clock.New()
	n.state = state.New(s.DataCentre, s.RetryRatio, s.RetrySlack, n.clock.Now)
	n.state.SetSelf(s.ControlAddr)
	n.state.SetSlowStart(slowstart.RateBound{Factor: s.SlowStartFactor, ExtraPerSecond: s.SlowStartSlack})
	n.state.SetRegions(s.Regions)
	n.state.SetRolloutBounds(rolloutBounds(s))
	n.store = platform.NewStore(s.StoreAddr)
	n.pool = upstream.NewPool(n.clock.Now)
	n.handler = front.New(front.Config{
		State:            n.state,
		Pool:             n.pool,
		Headers:          platform.Headers{},
		Log:              log,
		Meter:            n.meter,
		Now:              n.clock.Now,
		LogSampling:      s.LogSampling,
		MaxBufferedBytes: int64(float64(s.MemoryMB<<20) * heldPart),

		ProcessorWait: n.probe.Wait,
		ExpectedWait:  n.probe.ExpectedWait,
		NearConnLimit: func() bool { return n.limiter.near() },
		MaxInFlight:   int64(s.MemoryMB * runsPerMB),
	})
	n.callers = &http.Server{
		Handler:           n.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         newSilence(n.state.Limits).changed,
		ConnContext:       front.WithConn,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	return n, nil
}

// rolloutBounds are what a bad version may get.
func rolloutBounds(s *settings.Settings) rollout.Bounds {
	return rollout.Bounds{Share: s.RolloutShare, Slack: s.RolloutSlack}
}

// listen opens the sockets.
func (n *Node) listen() error {
	for _, l := range []struct {
		to   *net.Listener
		addr string
	}{
		{&n.callersL, n.settings.CallerAddr},
		{&n.readyL, n.settings.ReadyAddr},
		{&n.controlL, n.settings.ControlAddr},
		{&n.metricsL, n.settings.MetricsAddr},
	} {
		if l.addr == "" {
			continue
		}
		opened, err := net.Listen("tcp4", l.addr)
		if err != nil {
			return err
		}
		*l.to = opened
		events.ListenerStarted.Log(context.Background(), n.log, slog.LevelInfo, "addr", l.addr)
	}
	addr, err := net.ResolveUDPAddr("udp4", n.settings.DatagramAddr)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return err
	}
	n.peers = peers.New(n.state, n.log, spread.Member{
		Addr:       n.settings.ControlAddr,
		DataCentre: n.settings.DataCentre,
		Cores:      float32(n.settings.Cores),
	}, conn, platform.DecodeConfig, n.probe.Wait, n.clock.Now)
	n.peers.Add(true, n.settings.Seeds...)
	n.limiter = newLimiter(n.callersL, n.handler, n.settings.MemoryMB)
	n.limiter.admitted = n.probe.Admitted
	n.limiter.lost = n.connectionLost()
	return nil
}

// connectionLost returns what writes of connections of callers that could not be opened, one
// line a second at most: a process without descriptors loses them all.
func (n *Node) connectionLost() func(error) {
	lines := rate.Sometimes{Interval: time.Second}
	return func(err error) {
		lines.Do(func() {
			events.CallerLost.Log(context.Background(), n.log, slog.LevelWarn, "err", err,
				"connections", n.limiter.open.Load(), "connectionsClosed", n.limiter.closed.Load())
		})
	}
}

// Actors adds what the router does to the group. The group ends when the
// router was told to stop and has drained.
func (n *Node) Actors(g *run.Group, hup, term <-chan os.Signal) {
	f := &follow.Follower{
		State: n.state, Store: n.store, Log: n.log, Meter: n.meter, Joined: n.peers.Joined, Now: n.clock.Now,
		Role: n.peers.Role, Registers: n.peers.Registers, MissesMany: n.peers.MissesMany, Bounds: rolloutBounds(n.settings),
	}
	n.peers.Join(n.settings.Seeds, n.settings.FirstStart)
	n.loop(g, f.Config)
	n.loop(g, f.Servers)
	n.loop(g, f.KeepBlocked)
	n.loop(g, f.Rollouts)
	n.loop(g, n.peers.Run)
	n.loop(g, n.peers.Receive)
	n.loop(g, n.tick)
	n.loop(g, n.probe.Run)
	n.loop(g, func(ctx context.Context) error { return n.clock.Run(ctx, n.log, n.handler.CancelExpired) })
	n.loop(g, n.register)
	n.loop(g, func(ctx context.Context) error { return n.reload(ctx, hup) })
	n.loop(g, func(ctx context.Context) error { return n.stop(ctx, term) })
	n.serve(g, n.readyServer(), n.readyL)
	n.serve(g, &http.Server{Handler: n.peers.Handler(), ReadHeaderTimeout: headerTimeout}, n.controlL)
	if n.metricsL != nil {
		n.serve(g, n.metricsServer(), n.metricsL)
	}
	n.accept(g)
}

// accept serves callers. Its listener closes before the rest ends, which is no
// failure; that it ends otherwise is one: a router that says that it is ready and
// takes no connection is worse than one that starts again.
func (n *Node) accept(g *run.Group) {
	failed := make(chan error, 1)
	go func() {
		err := n.callers.Serve(n.limiter)
		if n.draining.Load() {
			return
		}
		events.ProcessFailed.Log(context.Background(), n.log, slog.LevelError, "err", err)
		failed <- err
	}()
	n.loop(g, func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		}
	})
}

// loop adds a function that runs until its context ends.
func (n *Node) loop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// serve adds a server that is closed when the group ends.
func (n *Node) serve(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
}

// readyServer answers whether this router takes connections.
func (n *Node) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// ready reports whether requests can be served and new connections are taken.
func (n *Node) ready() bool { return n.state.Ready() && !n.draining.Load() && !n.limiter.full() }

// tick keeps the state fresh.
func (n *Node) tick(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	ready := false
	var retired time.Time
	var told accountLines
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			n.state.Tick().Log(n.log, "this router")
			n.logWarmups(ctx)
			n.logReturned(ctx)
			if now.Sub(retired) > retireEvery {
				retired = now
				n.pool.Retire(n.state.Known)
			}
			told.log(ctx, n, now)
			if r := n.ready(); r != ready {
				ready = r
				events.ReadyChanged.Log(ctx, n.log, slog.LevelInfo, "ready", ready, "config", n.state.Version())
			}
		}
	}
}

// logWarmups tells which servers have become cold.
func (n *Node) logWarmups(ctx context.Context) {
	for _, w := range n.state.TakeWarmups() {
		events.ServerCold.Log(ctx, n.log, slog.LevelInfo, "server", w.Server.ID, "service", w.Server.Service,
			"dataCentre", w.Server.DataCentre, "by", w.Source.String(), "forMs", w.Duration.Milliseconds())
	}
}

// logReturned logs and counts the servers that are no longer marked as leaving.
func (n *Node) logReturned(ctx context.Context) {
	for _, r := range n.state.TakeReturned() {
		n.meter.HealthChange(r.Server.Service, "returned")
		events.ServerReturned.Log(ctx, n.log, slog.LevelInfo, "server", r.Server.ID, "service", r.Server.Service, "why", r.Reason)
	}
}

// register writes this router's address into the store, if others are to find it there,
// and reads those of the others while it hears none.
func (n *Node) register(ctx context.Context) error {
	written := false
	era := uint64(0) // of the store that has the address
	n.peers.Joined(ctx)
	t := time.NewTimer(registerAfter + rand.N(registerAfter))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		t.Reset(registerEvery)
		if now := n.state.Era(); now != era {
			era = now
			written = false // the store may have lost it
		}
		if !written && n.peers.Registers() {
			if err := n.store.Register(ctx, n.settings.ControlAddr); err != nil {
				events.StoreRegister.Log(ctx, n.log, slog.LevelWarn, "err", err)
			} else {
				written = true
			}
		}
		if n.peers.Live() > 0 {
			continue
		}
		addrs, err := n.store.Routers(ctx)
		if err != nil {
			events.StoreRegister.Log(ctx, n.log, slog.LevelWarn, "err", err)
			continue
		}
		n.peers.Add(false, addrs...)
	}
}
