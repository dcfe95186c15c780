// Package peers is how routers know each other: small datagrams with each
// router's load, its customers' rates and the version of its view, and a call
// by which a router whose view is behind fetches a peer's. Nothing of it is
// needed to serve: a router that hears no other decides by its own counts.
package peers

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

const (
	// reportEvery is how often a router tells its peers its load. Bytes between
	// data centres are priced.
	reportEvery = 150 * time.Millisecond
	// liveFor is how long a peer counts as live after its last word.
	liveFor = 2 * time.Second
	// knockEvery is how often a silent peer is told: it may be back.
	knockEvery = 2 * time.Second
	// forgetAfter is when a silent peer is forgotten, unless it is a seed.
	forgetAfter = 90 * time.Second
	// pullAfter is how long a newer configuration may be on its way from the
	// store before it is fetched from the peer that has it.
	pullAfter = 250 * time.Millisecond
	// serversEvery is how often the servers are fetched from a peer while the
	// store can't be reached.
	serversEvery = time.Second
	// viewOld is the age of the last word of the store above which a peer's
	// view is asked for.
	viewOld = 3 * time.Second
	// pullTimeout bounds a fetch.
	pullTimeout = 700 * time.Millisecond
	maxDatagram = 60 << 10
	maxView     = 8 << 20

	pathConfig  = "/fleet/configuration"
	pathServers = "/fleet/servers"
)

// word is a datagram.
type word struct {
	Control string              `cbor:"1,keyasint"` // the sender's control address
	Version int64               `cbor:"2,keyasint"` // of its configuration
	AgeMs   int64               `cbor:"3,keyasint"` // of its last word of the store
	Loads   map[string][3]int64 `cbor:"4,keyasint"` // server: waiting, memory, running
	Rates   map[string][2]int64 `cbor:"5,keyasint"` // customer: asked, served, tokens/s
	Known   []string            `cbor:"6,keyasint"` // control addresses of live routers
}

// peer is another router.
type peer struct {
	control string // IP:port
	udp     netip.AddrPort
	heard   time.Time
	told    time.Time
	version int64
	newer   time.Time // since when its configuration is newer; zero: it is not
	age     time.Duration
	seed    bool
	live    bool
}

// Peers is a router's knowledge of the others.
type Peers struct {
	State   *state.State
	Log     *slog.Logger
	Control string // this router's control address
	UDPPort uint16 // the same at all routers

	Decode func([]byte) (*routing.Config, error) // a configuration as the operator wrote it

	mu   sync.Mutex
	all  map[string]*peer // by control address
	conn *net.UDPConn
	http *http.Client
}

// New returns the peers of a router. conn is its datagram socket.
func New(s *state.State, log *slog.Logger, control string, conn *net.UDPConn, decode func([]byte) (*routing.Config, error)) *Peers {
	return &Peers{
		State:   s,
		Log:     log,
		Control: control,
		UDPPort: conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(),
		Decode:  decode,
		all:     map[string]*peer{},
		conn:    conn,
		http: &http.Client{
			Timeout:   pullTimeout,
			Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: pullTimeout / 2}).DialContext},
		},
	}
}

// Add makes routers known by their control addresses.
func (p *Peers) Add(seed bool, controls ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range controls {
		p.add(c, seed)
	}
}

// add makes one router known; the lock is held.
func (p *Peers) add(control string, seed bool) *peer {
	if control == p.Control {
		return nil
	}
	q := p.all[control]
	if q == nil {
		addr, err := netip.ParseAddrPort(control)
		if err != nil {
			events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", control, "err", err)
			return nil
		}
		q = &peer{control: control, udp: netip.AddrPortFrom(addr.Addr(), p.UDPPort), heard: time.Now(), age: time.Hour}
		p.all[control] = q
	}
	q.seed = q.seed || seed
	return q
}

// Live returns how many other routers were heard lately.
func (p *Peers) Live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, q := range p.all {
		if q.live {
			n++
		}
	}
	return n
}

// Send tells the peers of this router until ctx ends.
func (p *Peers) Send(ctx context.Context) error {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			p.tell()
		}
	}
}

// tell sends one datagram to each live peer, and now and then to silent ones.
func (p *Peers) tell() {
	now := time.Now()
	to, known := p.due(now)
	if len(to) == 0 {
		return
	}
	text, err := cbor.Marshal(p.word(known))
	if err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelError, "err", err)
		return
	}
	for _, addr := range to {
		// A datagram that can't be sent is one that is lost: the next follows.
		_, _ = p.conn.WriteToUDPAddrPort(text, addr)
	}
}

// due returns whom to tell, and whom this router hears.
func (p *Peers) due(now time.Time) (to []netip.AddrPort, known []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	routers := 1
	for control, q := range p.all {
		silent := now.Sub(q.heard)
		if q.live && silent > liveFor {
			q.live = false
			events.PeerLost.Log(context.Background(), p.Log, slog.LevelWarn, "peer", control, "silentMs", silent.Milliseconds())
		}
		if silent > forgetAfter && !q.seed {
			delete(p.all, control)
			continue
		}
		if silent < forgetAfter {
			routers++
		}
		if q.live {
			known = append(known, control)
		}
		if q.live || now.Sub(q.told) > knockEvery {
			q.told = now
			to = append(to, q.udp)
		}
	}
	p.State.SetRouters(routers)
	return to, known
}

// word is what this router says.
func (p *Peers) word(known []string) word {
	report := p.State.Report()
	_, age := p.State.Table()
	w := word{
		Control: p.Control,
		Version: p.State.Version(),
		AgeMs:   min(age, time.Hour).Milliseconds(),
		Loads:   make(map[string][3]int64, len(report.Loads)),
		Rates:   make(map[string][2]int64, len(report.Rates)),
		Known:   known,
	}
	for id, l := range report.Loads {
		w.Loads[id] = [3]int64{l.Waiting, l.Memory, int64(l.Running)}
	}
	for name, r := range report.Rates {
		w.Rates[name] = [2]int64{int64(r.Asked), int64(r.Served)}
	}
	return w
}

// Receive takes the peers' datagrams until the socket is closed.
func (p *Peers) Receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			events.PeerMalformed.Log(ctx, p.Log, slog.LevelWarn, "err", err)
			continue
		}
		var w word
		if err := cbor.Unmarshal(buf[:n], &w); err != nil {
			events.PeerMalformed.Log(ctx, p.Log, slog.LevelWarn, "err", err)
			continue
		}
		p.take(w)
	}
}

// take takes a peer's word.
func (p *Peers) take(w word) {
	now := time.Now()
	if !p.heard(w, now) {
		return
	}
	r := state.Report{
		Loads: make(map[string]pick.Load, len(w.Loads)),
		Rates: make(map[string]fair.Rates, len(w.Rates)),
	}
	for id, l := range w.Loads {
		r.Loads[id] = pick.Load{Waiting: l[0], Memory: l[1], Running: int(l[2])}
	}
	for name, v := range w.Rates {
		r.Rates[name] = fair.Rates{Asked: float64(v[0]), Served: float64(v[1])}
	}
	p.State.PeerReport(w.Control, r)
	if w.Version != 0 && w.Version == p.State.Version() {
		p.State.Confirm(time.Duration(w.AgeMs) * time.Millisecond)
	}
}

// heard notes a peer's word, and reports whether it is a peer's.
func (p *Peers) heard(w word, now time.Time) bool {
	version := p.State.Version()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.add(w.Control, false)
	if q == nil {
		return false
	}
	if !q.live {
		q.live = true
		events.PeerFound.Log(context.Background(), p.Log, slog.LevelInfo, "peer", w.Control, "version", w.Version)
	}
	q.heard = now
	q.version = w.Version
	q.age = time.Duration(w.AgeMs) * time.Millisecond
	switch {
	case w.Version <= version:
		q.newer = time.Time{}
	case q.newer.IsZero():
		q.newer = now
	}
	for _, c := range w.Known {
		p.add(c, false)
	}
	return true
}

// Pull fetches the view of peers that are ahead, until ctx ends.
func (p *Peers) Pull(ctx context.Context) error {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	var servers time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		if from := p.ahead(now); from != "" {
			p.pullConfig(ctx, from)
		}
		_, age := p.State.Table()
		if (age > viewOld || !p.State.Ready()) && now.Sub(servers) > serversEvery {
			if from := p.freshest(age); from != "" {
				servers = now
				p.pullServers(ctx, from)
			}
		}
	}
}

// ahead returns a peer whose configuration has been newer for a while.
func (p *Peers) ahead(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for control, q := range p.all {
		if q.live && !q.newer.IsZero() && now.Sub(q.newer) > pullAfter {
			q.newer = now // not again at once
			return control
		}
	}
	return ""
}

// freshest returns the peer with the newest word of the store, if it is newer
// than age.
func (p *Peers) freshest(age time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	for control, q := range p.all {
		if q.live && q.age < age {
			best, age = control, q.age
		}
	}
	return best
}

// pullConfig fetches a peer's configuration.
func (p *Peers) pullConfig(ctx context.Context, from string) {
	raw, err := p.get(ctx, from, pathConfig)
	if err != nil {
		events.PeerPullFailed.Log(ctx, p.Log, slog.LevelWarn, "peer", from, "what", "configuration", "err", err)
		return
	}
	c, err := p.Decode(raw)
	if err != nil {
		events.ConfigRefused.Log(ctx, p.Log, slog.LevelError, "peer", from, "err", err)
		return
	}
	if p.State.TakeConfig(c, raw) {
		events.ConfigInForce.Log(ctx, p.Log, slog.LevelInfo, "version", c.Version, "from", from)
	}
}

// view is a peer's list of servers.
type view struct {
	Version uint64
	Servers []routing.Server
}

// pullServers fetches a peer's list of servers.
func (p *Peers) pullServers(ctx context.Context, from string) {
	text, err := p.get(ctx, from, pathServers)
	if err != nil {
		events.PeerPullFailed.Log(ctx, p.Log, slog.LevelWarn, "peer", from, "what", "servers", "err", err)
		return
	}
	var v view
	if err := json.Unmarshal(text, &v); err != nil {
		events.PeerMalformed.Log(ctx, p.Log, slog.LevelWarn, "peer", from, "err", err)
		return
	}
	if len(v.Servers) > 0 {
		p.State.ServersReplaced(v.Servers, v.Version, true)
	}
}

// StatusError is a peer's refusal.
type StatusError struct{ Status string }

// Error implements error.
func (e *StatusError) Error() string { return "peer answered " + e.Status }

// get fetches one thing from a peer.
func (p *Peers) get(ctx context.Context, from, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.Status}
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxView))
}

// Handler serves this router's view to its peers.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, _ *http.Request) {
		raw := p.State.Raw()
		if raw == nil {
			http.Error(w, "none yet", http.StatusServiceUnavailable)
			return
		}
		// A peer that has gone asks another router.
		_, _ = w.Write(raw)
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, _ *http.Request) {
		servers, version := p.State.Servers()
		text, err := json.Marshal(view{Version: version, Servers: servers})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(text)
	})
	return mux
}
