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
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/dial"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/state"
)

const (
	// reportEvery is how often a router tells its peers its load: the older it is, the more pile up
	// at one server (docs/MEASUREMENTS.md).
	reportEvery = 20 * time.Millisecond
	// ratesEvery is in how many reports one tells the customers' rates, which
	// change more slowly than loads and are most of a report.
	ratesEvery = 4
	// sumEvery is in how many ticks a reporter tells other data centres, bytes to which are dear.
	// It divides knownEvery and is a multiple of ratesEvery, so that they hear those too.
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
	sameReport = 50 * time.Millisecond
	// joinFor is how long after its start a router has heard of all others: they tell each
	// knownEvery reports which ones they hear, by way of two reporters.
	joinFor     = 2 * time.Second
	maxDatagram = 60 << 10
	maxView     = 8 << 20

	pathConfig  = "/fleet/configuration"
	pathServers = "/fleet/servers"
	pathView    = "/fleet/view"
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
	// Now is the time by which the ages of reports are judged.
	Now func() time.Time

	port uint16 // of datagrams, the same at all routers
	conn *net.UDPConn
	http *http.Client

	mu      sync.Mutex
	spread  *spread.Spread
	views   map[string]*peer
	reports map[string]heardReport // by sender: loads of this data centre's routers, sums of others
	ticks   int
	began   time.Time // when this router told of itself first
	sums    int       // sums of this data centre that were told
	pending pending   // what a reporter has yet to tell on

	// joined is closed when the first view has been sought from the seeds.
	joined chan struct{}

	// What is being fetched. The servers are fetched apart from the configuration:
	// a peer that does not answer must not hold up both.
	configs, servers fetch
}

// New returns the peers of a router. conn is its datagram socket.
func New(s *state.State, log *slog.Logger, self spread.Member, conn *net.UDPConn, decode func([]byte) (*routing.Config, error), wait func() time.Duration, now func() time.Time) *Peers {
	return &Peers{
		State:   s,
		Log:     log,
		Self:    self,
		Decode:  decode,
		Wait:    wait,
		Now:     now,
		port:    conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(),
		conn:    conn,
		spread:  spread.New(self),
		views:   map[string]*peer{},
		reports: map[string]heardReport{},
		pending: newPending(),
		joined:  make(chan struct{}),
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
		p.spread.Add(spread.Member{Addr: c}, seed, p.Now())
	}
}

// Registers reports whether this router's address belongs into the store, by which
// routers find each other whose seeds are gone: that of each of a small fleet, the
// reporters' of a large one, which all others are told of by them.
func (p *Peers) Registers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spread.Mesh() || p.spread.Reporter()
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
	case p.spread.Reader() || p.spread.StandsIn(age-reportOld):
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
			now := p.Now()
			p.publish(now)
			p.pullNewer(ctx, now)
			p.pullList(ctx, now)
		}
	}
}
