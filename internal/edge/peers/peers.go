// Package peers is how routers know each other: small datagrams with each
// router's load, its customers' rates and the version of its view, and a call
// by which a router whose view is behind fetches a peer's. Nothing of it is
// needed to serve: a router that hears no other decides by its own counts.
package peers

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/dial"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

const (
	// reportEvery is how often a router tells its peers its load. Every 150, 50
	// and 20 ms: mean worth of eight days of 6 and 8 routers 0.660, 0.682 and
	// 0.686, of a quiet one of 58 routers 0.446, 0.529 and 0.593
	// (docs/MEASUREMENTS.md). Bytes between data centres are priced.
	reportEvery = 20 * time.Millisecond
	// ratesEvery is in how many reports one tells the customers' rates, which
	// change more slowly than loads and are most of a report.
	ratesEvery = 4
	// sumEvery is in how many ticks a reporter tells other data centres, bytes to
	// which are priced. It divides knownEvery and is a multiple of ratesEvery, so that
	// they hear those too. Every 20, 40 and 80 ms: worth 0.764, 0.775 and 0.779 on
	// a quiet day of 58 routers. In a small fleet, where each tells each, 40 or 80 ms gain
	// nothing (docs/MEASUREMENTS.md).
	sumEvery = 4
	// totalEvery is in how many ticks a reporter tells the routers of its data
	// centre: there are two of them, so that a router hears one every 20 ms.
	totalEvery = 2
	// knownEvery is in how many reports one tells which routers this one hears.
	knownEvery = 20
	// reportOld is the age of the last answer of the store at which a router that is
	// told by others follows the store itself: a reader's report is at most
	// follow's wait and two ticks old.
	reportOld = 2200 * time.Millisecond
	// pullAfter is how long a newer configuration may be on its way from the
	// store before it is fetched from the peer that has it.
	pullAfter = 250 * time.Millisecond
	// serversEvery is how often the servers are fetched from a peer while the
	// store can't be reached.
	serversEvery = time.Second
	// viewOld is the age of the last answer of the store above which a peer's
	// view is asked for.
	viewOld = 3 * time.Second
	// pullTimeout bounds a fetch.
	pullTimeout = 700 * time.Millisecond
	// sameReport is how much younger an age has to be than the one known to be that
	// of a newer answer of the store: more than a datagram's delay and the
	// millisecond that ages are rounded to, less than the pause between two reports.
	sameReport  = 50 * time.Millisecond
	maxDatagram = 60 << 10
	maxView     = 8 << 20

	pathConfig  = "/fleet/configuration"
	pathServers = "/fleet/servers"
)

// peer is what another router said of its view.
type peer struct {
	version int64        // of its configuration
	stamp   roster.Stamp // of its list of servers
	heard   time.Time    // when it said so
	asOf    time.Time    // when the store's answer was, on which its view rests
	newer   time.Time    // since when its configuration is newer; zero: it is not
}

// Peers is a router's knowledge of the others.
type Peers struct {
	State *state.State
	Log   *slog.Logger
	Self  spread.Member // this router

	Decode func([]byte) (*routing.Config, error) // a configuration as the operator wrote it
	// Wait is for how long what could run on this host waits for its processor.
	Wait func() time.Duration

	port uint16 // of datagrams, the same at all routers
	conn *net.UDPConn
	http *http.Client

	mu      sync.Mutex
	spread  *spread.Spread
	views   map[string]*peer
	reports map[string]heardReport // by sender: loads of this data centre's routers, sums of others
	ticks   int
	pending pending // what a reporter has yet to tell on

	// What is being fetched. The servers are fetched apart from the configuration:
	// a peer that does not answer must not hold up both.
	configs, servers fetch
}

// New returns the peers of a router. conn is its datagram socket.
func New(s *state.State, log *slog.Logger, self spread.Member, conn *net.UDPConn, decode func([]byte) (*routing.Config, error), wait func() time.Duration) *Peers {
	return &Peers{
		State:   s,
		Log:     log,
		Self:    self,
		Decode:  decode,
		Wait:    wait,
		port:    conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(),
		conn:    conn,
		spread:  spread.New(self),
		views:   map[string]*peer{},
		reports: map[string]heardReport{},
		pending: newPending(),
		http: &http.Client{
			Timeout:   pullTimeout,
			Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial.Dialer(pullTimeout / 2).DialContext},
		},
	}
}

// Add makes routers known by their control addresses.
func (p *Peers) Add(seed bool, controls ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range controls {
		p.spread.Add(spread.Member{Addr: c}, seed, time.Now())
	}
}

// Live returns how many other routers were heard of lately.
func (p *Peers) Live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.spread.Live())
}

// Role says how this router follows the store. One that is told by others does
// so itself when their report is old.
func (p *Peers) Role() follow.Role {
	_, age := p.State.Table()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.spread.Mesh():
		return follow.Everyone
	case p.spread.Reader() || age > reportOld:
		return follow.Reader
	}
	return follow.Informed
}

// Run tells the peers of this router and fetches what they have newer, until ctx
// ends. One ticker does for both: a small host pays for each time it wakes.
func (p *Peers) Run(ctx context.Context) error {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			now := time.Now()
			p.publish(now)
			p.pullNewer(ctx, now)
			p.pullList(ctx, now)
		}
	}
}

// tell sends this router's reports, if it is time for them.
func (p *Peers) publish(now time.Time) {
	p.mu.Lock()
	p.ticks++
	if p.ticks%p.spread.Pace() != 0 {
		p.mu.Unlock()
		return
	}
	lost := p.spread.Tick(now)
	for _, addr := range lost {
		delete(p.views, addr)
	}
	to := p.spread.Targets(now)
	known := p.known(now)
	sum := p.sum(now)
	count := p.spread.Count()
	rates := p.ticks%ratesEvery == 0
	if p.ticks%sumEvery != 0 {
		to.Sum = nil
	}
	if p.ticks%totalEvery != 0 {
		to.Total = nil
	}
	p.mu.Unlock()
	for _, addr := range lost {
		events.PeerLost.Log(context.Background(), p.Log, slog.LevelWarn, "peer", addr)
	}
	p.State.SetRouters(count)
	own := p.State.Report()
	if !rates {
		own.Rates = nil
	}
	p.send(to.Own, p.heartbeat(kindOwn, own, known))
	if len(to.Sum)+len(to.Total) == 0 {
		p.keepPending(kindOwn, own.Sent)
		return
	}
	sum.centre.Sent, sum.others.Sent = p.takePending(own.Sent, len(to.Sum) > 0, len(to.Total) > 0)
	add(sum.centre, own)
	if !rates {
		sum.centre.Rates = nil
		sum.others.Rates = nil
	}
	p.send(to.Sum, p.heartbeat(kindSum, sum.centre, known))
	add(sum.others, sum.centre)
	p.send(to.Total, p.heartbeat(kindTotal, sum.others, known))
}

// sums are what a reporter has heard.
type sums struct {
	centre state.Report // of the other routers of this data centre
	others state.Report // of the other data centres
}

// sum adds up the reports heard lately; the lock is held.
func (p *Peers) sum(now time.Time) sums {
	s := sums{centre: newReport(), others: newReport()}
	for key, w := range p.reports {
		switch {
		case now.Sub(w.at) >= spread.LiveFor:
			delete(p.reports, key)
		case w.kind == kindOwn:
			add(s.centre, w.report)
		default:
			add(s.others, w.report)
		}
	}
	return s
}

// known are the routers that this one hears, told every few ticks; the lock is
// held.
func (p *Peers) known(now time.Time) []knownRouter {
	if p.ticks%knownEvery != 0 {
		return nil
	}
	var list []knownRouter
	for _, m := range p.spread.Live() {
		list = append(list, knownRouter{Addr: m.Addr, DataCentre: m.DataCentre, Cores: m.Cores, AgeMs: p.spread.Age(m.Addr, now).Milliseconds()})
	}
	return list
}

// send sends one report to each address.
func (p *Peers) send(to []string, w heartbeat) {
	if len(to) == 0 {
		return
	}
	text, err := cbor.Marshal(w)
	if err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelError, "err", err)
		return
	}
	for _, control := range to {
		addr, err := netip.ParseAddrPort(control)
		if err != nil {
			events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", control, "err", err)
			continue
		}
		// A datagram that can't be sent is one that is lost: the next follows.
		_, _ = p.conn.WriteToUDPAddrPort(text, netip.AddrPortFrom(addr.Addr(), p.port))
	}
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
		var w heartbeat
		if err := cbor.Unmarshal(buf[:n], &w); err != nil {
			events.PeerMalformed.Log(ctx, p.Log, slog.LevelWarn, "err", err)
			continue
		}
		p.take(w, time.Now())
	}
}

// take takes a peer's report.
func (p *Peers) take(w heartbeat, now time.Time) {
	if w.Control == p.Self.Addr || w.Control == "" {
		return
	}
	version := p.State.Version()
	p.mu.Lock()
	found := p.spread.Heard(spread.Member{Addr: w.Control, DataCentre: w.DataCentre, Cores: w.Cores}, 0, now)
	for _, k := range w.Known {
		p.spread.Heard(spread.Member{Addr: k.Addr, DataCentre: k.DataCentre, Cores: k.Cores}, time.Duration(k.AgeMs)*time.Millisecond, now)
	}
	p.view(w, version, now)
	use := p.use(w)
	vouches := p.vouches(w)
	report := w.report()
	if use == useOther {
		if len(report.Rates) == 0 {
			report.Rates = p.reports[w.key()].report.Rates // told every few reports
		}
		p.reports[w.key()] = heardReport{at: now, kind: w.Kind, report: report}
	}
	p.mu.Unlock()
	if found {
		events.PeerFound.Log(context.Background(), p.Log, slog.LevelInfo, "peer", w.Control, "version", w.Version)
	}
	if len(w.Sent) > 0 {
		p.State.HeardSent(w.Sent)
		if w.Kind == kindSum || w.DataCentre == p.Self.DataCentre {
			p.keepPending(w.Kind, w.Sent)
		}
	}
	switch use {
	case useOther:
		p.State.PeerReport(w.key(), report)
	case useTotal:
		p.State.TotalReport(w.key(), report)
	case useNone:
	}
	if p.State.Settle(time.Duration(w.FollowedMs) * time.Millisecond) {
		events.ServersChanged.Log(context.Background(), p.Log, slog.LevelInfo, "from", w.Control, "followedMs", w.FollowedMs, "what", "doubtful ones forgotten")
	}
	if vouches && w.Version != 0 && w.Version == p.State.Version() && !w.stamp().After(p.State.Stamp()) {
		p.confirm(p.age(w))
	}
}

// confirm takes an answer of the store of some age. One that is hardly younger than
// what is known is the same one, told on.
func (p *Peers) confirm(age time.Duration) {
	if _, known := p.State.Table(); known-age > sameReport {
		p.State.Confirm(age)
	}
}

// vouches reports whether the report's age of the store may be taken over: that of
// a router which follows the store itself, or of a reporter by one that it tells.
// Were it that of any router, ages would go round, and each way makes them
// younger by its delay. The lock is held.
func (p *Peers) vouches(w heartbeat) bool {
	if w.FollowedMs > 0 {
		return true
	}
	return w.Kind == kindTotal && !p.spread.Reporter()
}

// view notes what the peer says of its view; the lock is held.
func (p *Peers) view(w heartbeat, version int64, now time.Time) {
	q := p.views[w.Control]
	if q == nil {
		q = &peer{}
		p.views[w.Control] = q
	}
	q.version = w.Version
	q.stamp = w.stamp()
	q.heard = now
	q.asOf = now.Add(-p.age(w))
	if w.Version > version && q.newer.IsZero() {
		q.newer = now
	}
}

// age is how old the store's answer is on which the view of w rests. The datagram
// may have waited here until this host had time for it.
func (p *Peers) age(w heartbeat) time.Duration {
	return time.Duration(w.AgeMs)*time.Millisecond + p.Wait()
}

// How a report counts.
type usage int

const (
	useNone  usage = iota
	useOther       // load of other routers
	useTotal       // load of all routers, this one included
)

// use says how a report counts, so that no load counts twice; the lock is held.
func (p *Peers) use(w heartbeat) usage {
	mesh := p.spread.Mesh()
	reporter := p.spread.Reporter()
	switch w.Kind {
	case kindOwn:
		if mesh || reporter && w.DataCentre == p.Self.DataCentre {
			return useOther
		}
	case kindSum:
		if !mesh && reporter && w.DataCentre != p.Self.DataCentre {
			return useOther
		}
	case kindTotal:
		if !mesh && !reporter {
			return useTotal
		}
	}
	return useNone
}
