// Package node assembles one router of the platform: its listeners, the store follower, its
// peers, and startup, settings reload and shutdown.
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

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/affinity"
	"github.com/windscale/windscale/internal/core/ask"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/slowstart"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/clock"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/peers"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/relay"
	"github.com/windscale/windscale/internal/edge/settings"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
	"github.com/windscale/windscale/platform"
)

const (
	// maintenanceInterval is how often expired state is removed.
	maintenanceInterval = 200 * time.Millisecond
	// idleSweepInterval is how often idle connections to servers are checked.
	idleSweepInterval = time.Second
	// bodyMemoryFraction is the fraction of the memory that request bodies may use.
	bodyMemoryFraction = 0.25
	// responseMemoryFraction is the fraction of the memory that long heads, events and bodies of
	// responses may use together, whatever servers, routers and the store send. The garbage collector
	// needs as much again.
	responseMemoryFraction = 0.125
	// requestsPerMB is how many requests may be in progress per MB of memory: one takes about
	// 50 KB with its body, buffers and stacks, and the garbage collector as much again. A host
	// with 112 MB ran out of memory at about 900 requests.
	requestsPerMB = 4
	// headerTimeout and idleTimeout bound callers until a configuration is known, and are
	// upper bounds afterwards. The limits of the configuration (3 s and 15 s where they were
	// observed) are enforced by callerTimeouts and, for the size of the header, by the
	// handler.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// registryPollInterval is how often a router that hears no other router reads the list of
	// routers in the store.
	registryPollInterval = 5 * time.Second
	// registryInitialDelay is the minimum delay, and half of the maximum, between the attempt
	// to fetch a first view and the first look at the registry. By then live seeds have
	// answered, and a router of a large fleet need not be found through the store. When all
	// 295 routers wrote their rows at the first start of the fleet, that kept the store busy
	// for two seconds.
	registryInitialDelay = 300 * time.Millisecond
)

// Node is one router.
type Node struct {
	settingsPath    string
	settings        *settings.Settings
	level           *slog.LevelVar
	droppedLogLines func() int64 // count since the start
	log             *slog.Logger

	state *state.State
	store *platform.Store
	meter *meter.Meter
	pool  *upstream.Pool
	// responseMemory is shared by all that reads responses.
	responseMemory *bounded.Budget
	handler        *front.Handler
	peers          *peers.Peers
	probe          *pressure.Probe
	clock          *clock.Clock
	limiter        *connLimiter
	sender         *relay.Sender   // nil: connections are not relayed
	receiver       *relay.Receiver // nil: connections of other hosts are not accepted
	callerServer   *http.Server
	draining       atomic.Bool

	callerListener, readinessListener, controlListener, metricsListener net.Listener
}

// New creates a router and opens its listeners. They are served once Actors is called.
func New(settingsPath string, s *settings.Settings, level *slog.LevelVar, log *slog.Logger, droppedLogLines func() int64) (*Node, error) {
	n := &Node{settingsPath: settingsPath, settings: s, level: level, log: log, droppedLogLines: droppedLogLines}
	n.meter = meter.New()
	n.probe = pressure.New(s.Cores, time.Now)
	n.clock = clock.New()
	n.state = state.New(s.DataCentre, s.RetryRatio, s.RetrySlack, n.clock.Now)
	n.state.SetSelf(s.ControlAddr)
	n.state.SetColdRateBound(slowstart.RateBound{Factor: s.SlowStartFactor, ExtraPerSecond: s.SlowStartSlack})
	n.state.SetRegions(s.Regions)
	n.state.SetRolloutBounds(rolloutBounds(s))
	n.responseMemory = bounded.NewBudget(int64(float64(s.MemoryMB<<20) * responseMemoryFraction))
	n.store = platform.NewStore(s.StoreAddr)
	n.store.Memory = n.responseMemory
	n.pool = upstream.NewPool(n.clock.Now)
	n.pool.Memory = n.responseMemory
	n.handler = front.New(front.Config{
		State:            n.state,
		Pool:             n.pool,
		Headers:          platform.Headers{},
		Streams:          streamDirectory{n},
		Scheduler:        scheduler{n},
		ServersCurrent:   (&follow.Confirmer{State: n.state, Store: n.store}).Current,
		Log:              log,
		Meter:            n.meter,
		Now:              n.clock.Now,
		LogSampling:      s.LogSampling,
		MaxBufferedBytes: int64(float64(s.MemoryMB<<20) * bodyMemoryFraction),

		ProcessorWait: n.probe.Wait,
		ExpectedWait:  n.probe.ExpectedWait,
		NearConnLimit: func() bool { return n.limiter.nearLimit() },
		Relaying:      func() bool { return n.sender != nil && n.sender.Relaying() },
		MaxInFlight:   int64(s.MemoryMB * requestsPerMB),
	})
	n.callerServer = &http.Server{
		Handler:           n.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         newCallerTimeouts(n.state.Limits).connStateChanged,
		ConnContext:       front.WithConn,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	return n, nil
}

// rolloutBounds returns the limits on traffic to a version that is not yet trusted.
func rolloutBounds(s *settings.Settings) rollout.Bounds {
	return rollout.Bounds{Share: s.RolloutShare, Slack: s.RolloutSlack}
}

// listen opens the sockets and creates what depends on them.
func (n *Node) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		addr     string
	}{
		{&n.callerListener, n.settings.CallerAddr},
		{&n.readinessListener, n.settings.ReadyAddr},
		{&n.controlListener, n.settings.ControlAddr},
		{&n.metricsListener, n.settings.MetricsAddr},
	} {
		if l.addr == "" {
			continue
		}
		opened, err := net.Listen("tcp4", l.addr)
		if err != nil {
			return err
		}
		*l.listener = opened
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
	}, conn, n.responseMemory, platform.DecodeConfig, n.probe.Wait, n.clock.Now)
	n.peers.WithoutScheduler = !n.settings.Scheduler
	n.state.SetScheduledRoom(n.settings.SchedulerRoom)
	n.peers.Add(true, n.settings.Seeds...)
	n.limiter = newLimiter(n.callerListener, n.handler, n.settings.MemoryMB)
	n.limiter.onAdmitted = n.probe.Admitted
	n.limiter.onOpenFailed = n.openFailureLogger()
	if n.settings.RelayEnabled {
		n.sender = n.newSender()
		n.receiver = n.newReceiver()
		n.limiter.relay = n.sender
		n.limiter.onRelayed = n.probe.Relayed
	}
	return nil
}

// openFailureLogger returns a function that logs caller connections that could not be opened,
// at most one line per second: a process that has run out of descriptors loses all of them.
func (n *Node) openFailureLogger() func(error) {
	throttle := rate.Sometimes{Interval: time.Second}
	return func(err error) {
		throttle.Do(func() {
			events.CallerLost.Log(context.Background(), n.log, slog.LevelWarn, "err", err,
				"connections", n.limiter.open.Load(), "connectionsClosed", n.limiter.closed.Load())
		})
	}
}

// Actors adds the router's actors to the group. The group ends after the router was told to
// stop and has drained.
func (n *Node) Actors(g *run.Group, hup, term <-chan os.Signal) {
	f := &follow.Follower{
		State: n.state, Store: n.store, Log: n.log, Meter: n.meter, AwaitJoin: n.peers.WaitJoined, Now: n.clock.Now,
		Role: n.peers.Role, WritesForOthers: n.peers.ShouldRegister, HearsTooFew: n.peers.HearsMinority, RolloutBounds: rolloutBounds(n.settings),
	}
	n.peers.Join(n.settings.Seeds, n.settings.FirstStart)
	n.addLoop(g, f.Config)
	n.addLoop(g, f.Servers)
	n.addLoop(g, f.SyncBlocked)
	n.addLoop(g, f.AdvanceRollouts)
	n.addLoop(g, n.peers.Run)
	n.addLoop(g, n.peers.Receive)
	n.addLoop(g, n.peers.RunScheduler)
	n.addLoop(g, n.maintain)
	n.addLoop(g, n.probe.Run)
	n.addLoop(g, func(ctx context.Context) error { return n.clock.Run(ctx, n.log, n.handler.CancelExpired) })
	n.addLoop(g, n.maintainRegistration)
	n.addLoop(g, func(ctx context.Context) error { return n.watchSettings(ctx, hup) })
	n.addLoop(g, func(ctx context.Context) error { return n.drainOnSignal(ctx, term) })
	if n.sender != nil {
		n.addLoop(g, n.sender.Run)
		n.addLoop(g, n.receiver.Run)
	}
	n.addServer(g, n.readinessServer(), n.readinessListener)
	n.addServer(g, &http.Server{Handler: n.controlHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}, n.controlListener)
	if n.metricsListener != nil {
		n.addServer(g, n.metricsServer(), n.metricsListener)
	}
	n.serveCallers(g)
}

// serveCallers serves callers. The listeners are closed before the rest ends, which is not a
// failure. If one ends for another reason the process ends too, so that it is restarted: a
// router that reports ready but accepts no connection is worse than one that restarts.
func (n *Node) serveCallers(g *run.Group) {
	listeners := []net.Listener{n.limiter}
	if n.receiver != nil {
		listeners = append(listeners, relayedListener{n.receiver, n.limiter})
	}
	serveErr := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() {
			err := n.callerServer.Serve(l)
			if n.draining.Load() {
				return
			}
			events.ProcessFailed.Log(context.Background(), n.log, slog.LevelError, "err", err)
			serveErr <- err
		}()
	}
	n.addLoop(g, func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-serveErr:
			return err
		}
	})
}

// addLoop adds a function that runs until its context is cancelled.
func (n *Node) addLoop(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer adds a server that is closed when the group ends.
func (n *Node) addServer(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
}

// readinessServer reports whether this router accepts connections.
func (n *Node) readinessServer() *http.Server {
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

// ready reports whether requests can be served and new connections are accepted.
func (n *Node) ready() bool { return n.state.Ready() && !n.draining.Load() && !n.limiter.full() }

// maintain periodically removes expired state, closes idle connections to servers, and logs
// changes.
func (n *Node) maintain(ctx context.Context) error {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	ready := false
	var lastSweep time.Time
	var refusals refusalLog
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			n.state.Tick().Log(n.log, "this router")
			n.logColdServers(ctx)
			n.logNoLongerLeaving(ctx)
			n.logClassChanges(ctx)
			if now.Sub(lastSweep) > idleSweepInterval {
				lastSweep = now
				n.pool.Prune(n.state.ServerKnown)
			}
			refusals.logIfDue(ctx, n, now)
			if r := n.ready(); r != ready {
				ready = r
				events.ReadyChanged.Log(ctx, n.log, slog.LevelInfo, "ready", ready, "config", n.state.Version())
			}
		}
	}
}

// logColdServers logs the servers that have become cold.
func (n *Node) logColdServers(ctx context.Context) {
	for _, w := range n.state.TakeWarmups() {
		events.ServerCold.Log(ctx, n.log, slog.LevelInfo, "server", w.Server.ID, "service", w.Server.Service,
			"dataCentre", w.Server.DataCentre, "by", w.Source.String(), "forMs", w.Duration.Milliseconds())
	}
}

// logClassChanges logs the speed classes that this router assigned.
func (n *Node) logClassChanges(ctx context.Context) {
	for _, c := range n.state.TakeClassChanges() {
		events.ServerSpeed.Log(ctx, n.log, slog.LevelInfo, "server", c.Server.ID, "service", c.Server.Service,
			"dataCentre", c.Server.DataCentre, "old", c.Old, "new", c.New)
	}
}

// logNoLongerLeaving logs and counts the servers that are no longer marked as leaving.
func (n *Node) logNoLongerLeaving(ctx context.Context) {
	for _, r := range n.state.TakeReturned() {
		n.meter.HealthChange(r.Server.Service, "returned")
		events.ServerReturned.Log(ctx, n.log, slog.LevelInfo, "server", r.Server.ID, "service", r.Server.Service, "why", r.Reason)
	}
}

// maintainRegistration writes this router's address to the store if it is one of the routers
// to be found there, and reads the addresses of the others while it hears no other router.
func (n *Node) maintainRegistration(ctx context.Context) error {
	registered := false
	era := uint64(0) // of the store that holds the address
	n.peers.WaitJoined(ctx)
	t := time.NewTimer(registryInitialDelay + rand.N(registryInitialDelay))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		t.Reset(registryPollInterval)
		if now := n.state.Era(); now != era {
			era = now
			registered = false // the store may have lost the address
		}
		if !registered && n.peers.ShouldRegister() {
			if err := n.store.Register(ctx, n.settings.ControlAddr); err != nil {
				events.StoreRegister.Log(ctx, n.log, slog.LevelWarn, "err", err)
			} else {
				registered = true
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

// streamDirectory is the directory of streams of a node, whose peers are created after its handler.
type streamDirectory struct{ node *Node }

func (d streamDirectory) RecordStream(k affinity.Key, o affinity.Origin, ttl time.Duration) {
	d.node.peers.RecordStream(k, o, ttl)
}

func (d streamDirectory) FindStream(ctx context.Context, k affinity.Key) (affinity.Origin, *affinity.UnknownError) {
	return d.node.peers.FindStream(ctx, k)
}

// scheduler asks the scheduler of a node's data centre through its peers, which are created after its
// handler.
type scheduler struct{ node *Node }

func (s scheduler) Decide(ctx context.Context, a state.Ask, apply func(state.Decision)) ask.Outcome {
	return s.node.peers.Decide(ctx, a, apply)
}
