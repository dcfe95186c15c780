// Package router puts the parts of a router process together: it builds them
// from the configuration, connects them, and names the actors of the run
// group. What the parts decide is theirs.
package router

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/certwatch"
	"github.com/windscale/windscale/internal/claims"
	"github.com/windscale/windscale/internal/config"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/core/share"
	"github.com/windscale/windscale/internal/entry"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/fleetcert"
	"github.com/windscale/windscale/internal/hosts"
	"github.com/windscale/windscale/internal/link"
	"github.com/windscale/windscale/internal/members"
	"github.com/windscale/windscale/internal/metrics"
	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/probe"
	"github.com/windscale/windscale/internal/proxy"
	"github.com/windscale/windscale/internal/settingsstore"
	"github.com/windscale/windscale/internal/sharing"
)

// Router is one process of the fleet.
type Router struct {
	cfg         *config.Router
	log         *slog.Logger
	incarnation uint64
	started     time.Time
	ctx         context.Context // ends with the process's work
	stop        context.CancelFunc

	metrics  *metrics.Registry
	platform *httpplatform.Client
	hosts    *hosts.Follower
	identity *certwatch.Watch
	link     *link.Link
	follower *settingsstore.Follower
	sharer   *sharing.Sharer
	prober   *probe.Prober
	proxy    *proxy.Proxy
	members  *members.Members
	claims   *claims.Claims
	sweeper  *claims.Sweeper
	drain    *drain
	servers  *serverWatch
	served   *served
	signals  chan os.Signal // to end; a second one cuts

	settingsAt atomic.Int64 // when the version in force was taken, Unix nanoseconds

	entryLn net.Listener
	adminLn net.Listener
}

// maxPlatformHead bounds the head of a response of the platform.
const maxPlatformHead = 64 << 10

// platformClient returns the HTTP client for the platform.
func platformClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxPlatformHead
	return &http.Client{Transport: transport}
}

// New builds the parts and opens the listeners, so that a taken address is
// found before anything starts.
func New(cfg *config.Router, log *slog.Logger) (*Router, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &Router{
		cfg:         cfg,
		log:         log.With("router", cfg.ID),
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		ctx:         ctx,
		stop:        stop,
		metrics:     metrics.New(),
		platform:    httpplatform.New(cfg.PlatformURL, platformClient()),
		drain:       newDrain(),
	}
	r.servers = newServerWatch(r.log)
	r.served = newServed()
	r.signals = make(chan os.Signal, 2)
	r.hosts = hosts.NewFollower(r.platform, hosts.NewList(seedHosts(cfg)), r.log, r.hostsChanged)
	r.prober = probe.New(r.loadReported)
	r.sharer = r.newSharer()
	r.members = r.newMembers()
	r.follower = r.newFollower()
	writer := claim.Writer{Router: cfg.ID, Incarnation: r.incarnation}
	r.claims = claims.New(r.platform, writer, time.Now, r.log)
	r.claims.Observe(r.metrics.Claims)
	r.sweeper = claims.NewSweeper(r.platform, cfg.ID, r.liveRouters, time.Now, r.log)
	r.sweeper.Observe(r.metrics.Claims)
	r.proxy = r.newProxy()
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.mirror()
	return r, nil
}

// seedHosts are the routers known before the host list is read.
func seedHosts(cfg *config.Router) []platform.Host {
	var all []platform.Host
	for _, s := range cfg.Seeds {
		h := platform.Host{
			ID:    string(s.ID),
			Role:  platform.RoleRouter,
			Addr:  s.Addr,
			State: platform.HostLive,
		}
		all = append(all, h)
	}
	return all
}

// newSharer connects the sharing with the link, the probes and the settings.
func (r *Router) newSharer() *sharing.Sharer {
	cfg := share.Config{
		ID:          r.cfg.ID,
		Incarnation: r.incarnation,
		DataCentre:  r.cfg.DataCentre,
	}
	effects := sharing.Effects{
		Send:  r.sendShare,
		Probe: r.probe,
		Newer: r.newerSettings,
		Addr:  r.serverAddr,
	}
	return sharing.New(cfg, effects)
}

// newProxy connects the proxy with the sharing, the claims and the metrics.
func (r *Router) newProxy() *proxy.Proxy {
	return &proxy.Proxy{
		Picker:   r.sharer,
		Snapshot: r.follower.Current,
		Backend:  backend.New(),
		Claims:   r.claims,
		Now:      time.Now,
		Log:      r.log,
		Observer: &observer{metrics: r.metrics, served: r.served, snapshot: r.follower.Current},
	}
}

// listen loads the fleet identity and opens the three listeners.
func (r *Router) listen() error {
	var err error
	r.identity, err = certwatch.Fleet(r.cfg.ID, r.cfg.CA, r.cfg.Cert, r.cfg.Key, r.log)
	if err != nil {
		return errors.Annotate(err, "fleet identity")
	}
	r.link, err = link.New(link.Config{
		ID:           r.cfg.ID,
		Listen:       r.cfg.Link,
		TLS:          r.identity,
		Resolve:      r.resolve,
		Handler:      r.receive,
		FetchHandler: r.answer,
		Up:           r.sharer.Reconnected,
		Log:          r.log,
	})
	if err != nil {
		return errors.Annotate(err, "link")
	}
	if r.entryLn, err = net.Listen("tcp", r.cfg.Entry); err != nil {
		return errors.Annotate(err, "entry listener")
	}
	if r.adminLn, err = net.Listen("tcp", r.cfg.Admin); err != nil {
		return errors.Annotate(err, "admin listener")
	}
	if r.cfg.AdminTLS {
		r.adminLn = tls.NewListener(r.adminLn, fleetcert.AdminListener(r.identity))
	}
	return nil
}

// Actors adds the router's parts to the group. The group ends when the drain
// has ended or a part fails.
func (r *Router) Actors(g *run.Group) error {
	conf, err := r.entryTLS(g)
	if err != nil {
		return err
	}
	callers := entry.New(r.follower.Current, r.proxy, r.metrics.Entry)
	srv := entry.NewServer(r.entryLn, conf, callers.Handler(), settings.DefaultFleet(), r.log)
	r.follower.Notify(func(s *settings.Snapshot) { r.settingsTaken(s, srv) })
	for _, work := range []func(context.Context) error{
		r.link.Run, r.sharer.Run, r.members.Run, r.hosts.Run,
		r.follower.Run, r.claims.Run, r.sweeper.Run, r.identity.Run,
	} {
		g.Add(func() error { return work(r.ctx) }, func(error) { r.stop() })
	}
	g.Add(func() error { return r.accept(srv) }, func(error) { _ = r.entryLn.Close() })
	adm := r.adminServer()
	g.Add(func() error { return closed(adm.Serve(r.adminLn)) }, func(error) { _ = adm.Close() })
	r.addDrain(g, srv)
	events.ProcessStarted.Log(r.ctx, r.log, slog.LevelInfo, "incarnation", r.incarnation, "dataCentre", r.cfg.DataCentre)
	for name, addr := range map[string]net.Addr{"entry": r.entryLn.Addr(), "admin": r.adminLn.Addr(), "link": r.link.Addr()} {
		events.ListenerStarted.Log(r.ctx, r.log, slog.LevelInfo, "listener", name, "addr", addr.String())
	}
	return nil
}

// accept serves callers until the process ends. A drain closes the listener
// first, and everything else must go on for the requests that still wait: so
// the end of accepting alone must not end the group.
func (r *Router) accept(srv *entry.Server) error {
	if err := srv.Run(); err != nil {
		return err
	}
	<-r.ctx.Done()
	return nil
}

// adminTimeout bounds the time an operator's request takes to arrive.
const adminTimeout = 5 * time.Second

// closed makes the regular end of a server no failure.
func closed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// adminServer returns the server of the operators' API.
func (r *Router) adminServer() *http.Server {
	auth := admin.Auth{Token: r.cfg.AdminToken, TLS: r.identity, Log: r.log}
	return &http.Server{
		Handler:           admin.Handler(r, auth),
		ReadHeaderTimeout: adminTimeout,
		ErrorLog:          slog.NewLogLogger(r.log.Handler(), slog.LevelDebug),
	}
}

// entryTLS returns nil when callers are served without TLS. The watch of the
// certificate's files is added to the group.
func (r *Router) entryTLS(g *run.Group) (*tls.Config, error) {
	if r.cfg.EntryCert == "" {
		return nil, nil
	}
	pair, err := certwatch.Entry(r.cfg.EntryCert, r.cfg.EntryKey, r.log)
	if err != nil {
		return nil, errors.Annotate(err, "callers' certificate")
	}
	g.Add(func() error { return pair.Run(r.ctx) }, func(error) { r.stop() })
	return &tls.Config{GetCertificate: pair.Certificate, MinVersion: tls.VersionTLS12}, nil
}

// settingsTaken puts a new version in force in the parts that keep a copy.
func (r *Router) settingsTaken(s *settings.Snapshot, srv *entry.Server) {
	first := r.settingsAt.Swap(time.Now().UnixNano()) == 0
	srv.Apply(s.Fleet)
	r.members.SetSettings(s.Version)
	r.sharer.SetSettings(s.Version)
	r.sharer.SetQueueLimits(s.Fleet.QueueBytes, s.Fleet.QueueRequests)
	ids := make([]msg.CustomerID, 0, len(s.Customers))
	for id := range s.Customers {
		ids = append(ids, id)
	}
	r.metrics.Entry.SetCustomers(ids)
	if first {
		events.ProcessReady.Log(r.ctx, r.log, slog.LevelInfo, "version", s.Version)
	}
}
