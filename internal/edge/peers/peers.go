// Package peers is how routers know each other: small datagrams with each router's load, its
// customers' rates, the version of its view and what has changed of it, and calls by which a
// router that is behind fetches what it lacks. Nothing of it is needed to serve: a router that
// hears no other decides by its own counts.
//
// In a large fleet no message grows with the fleet but for the reports that a reporter takes in:
// a change of the list of servers or of the routers is told alone, a difference shows by a stamp
// or a digest, and what is missing is fetched within the data centre.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/join"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/state"
)

const (
	// reportEvery is one tick, in which a router of a small fleet tells its peers its load: the
	// older it is, the more pile up at one server (docs/MEASUREMENTS.md).
	reportEvery = 20 * time.Millisecond
	// ratesEvery is in how many ticks at least a router tells the customers' rates, which
	// change more slowly than loads and are most of a report.
	ratesEvery = 4
	// sumEvery is in how many ticks at least a reporter tells other data centres, bytes to which
	// are dear. It is a multiple of ratesEvery, so that they hear those too.
	sumEvery = 4
	// totalEvery is in how many ticks at least a reporter tells the routers of its data
	// centre: there are two of them, so that a router hears one every 20 ms.
	totalEvery = 2
	// headsEvery is in how many ticks at least a router tells which ones it takes for the first in
	// the ranking.
	headsEvery = 20
	// reportOld is the age of the last answer of the store at which a router that is told by
	// others follows the store itself, in a fleet that tells at each tick: a reader's report is at
	// most follow's wait and two ticks old. hops is on how many ticks more it depends otherwise.
	reportOld = 2200 * time.Millisecond
	hops      = 3
	// pullAfter is how long a newer configuration may be on its way from the
	// store before it is fetched from the peer that has it, and a newer list on its way within a
	// data centre before it is fetched from another one.
	pullAfter = 250 * time.Millisecond
	// serversEvery is how often the servers are fetched from a peer while the
	// store can't be reached.
	serversEvery = time.Second
	// viewOld is the age of the last answer of the store above which a peer's
	// view is asked for.
	viewOld = 3 * time.Second
	// sameReport is how much younger an age has to be than the one known to be that
	// of a newer answer of the store: more than a datagram's delay and the
	// millisecond that ages are rounded to, less than the pause between two reports.
	sameReport = 50 * time.Millisecond
	// joinFor is how long after its start a router has heard of all others.
	joinFor = 2 * time.Second
)

// peer is what another router said of its view.
type peer struct {
	dataCentre string
	version    int64        // of its configuration
	stamp      roster.Stamp // of its list of servers
	heard      time.Time    // when it said so
	asOf       time.Time    // when the store's answer was, on which its view rests
	newer      time.Time    // since when its configuration is newer; zero: it is not
	ahead      time.Time    // since when its list is newer; zero: it is not
	answered   time.Time    // when it was answered last
}

// Peers is a router's knowledge of the others.
type Peers struct {
	State *state.State
	Log   *slog.Logger
	Self  spread.Member // this router
	Net   Network
	Stats Stats

	Decode func([]byte) (*routing.Config, error) // a configuration as the operator wrote it
	// Wait is for how long what could run on this host waits for its processor.
	Wait func() time.Duration
	// Now is the time by which the ages of reports are judged.
	Now func() time.Time

	conn *net.UDPConn // nil: datagrams come by Take

	mu      sync.Mutex
	rng     *rand.Rand
	spread  *spread.View
	views   map[string]*peer
	reports map[string]heardReport // by sender: loads of this data centre's routers, sums of others
	ticks   int
	step    int       // ticks between the last step and this one
	began   time.Time // when this router told of itself first
	sums    int       // sums of this data centre that were told
	pending pending   // what a reporter has yet to tell on
	members memberSync
	pushed  pushed
	give    giving
	older   time.Time // when a router of an earlier release was heard last
	cut     cutLog    // of Step alone

	join   *join.Join    // nil: it has not begun, or is over
	joined chan struct{} // closed when the first view has been sought

	// What is being fetched. The servers are fetched apart from the configuration:
	// a peer that does not answer must not hold up both.
	configs, servers, routers fetch
}

// New returns the peers of a router. conn is its datagram socket.
func New(s *state.State, log *slog.Logger, self spread.Member, conn *net.UDPConn, decode func([]byte) (*routing.Config, error), wait func() time.Duration, now func() time.Time) *Peers {
	p := NewOn(newNetwork(conn), s, log, self, decode, rand.Uint64(), now)
	p.Wait = wait
	p.conn = conn
	return p
}

// NewOn returns the peers of a router on any network. Its random choices follow from the seed.
func NewOn(on Network, s *state.State, log *slog.Logger, self spread.Member, decode func([]byte) (*routing.Config, error), seed uint64, now func() time.Time) *Peers {
	return &Peers{
		State:   s,
		Log:     log,
		Self:    self,
		Net:     on,
		Decode:  decode,
		Wait:    func() time.Duration { return 0 },
		Now:     now,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		spread:  spread.New(self),
		step:    1,
		views:   map[string]*peer{},
		reports: map[string]heardReport{},
		pending: newPending(),
		members: newMemberSync(),
		give:    newGiving(),
		joined:  make(chan struct{}),
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
	return p.spread.IsMesh() || p.spread.IsReporter()
}

// Live returns how many other routers were heard of lately.
func (p *Peers) Live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spread.LiveCount()
}

// IsReader reports whether this router follows the store for others.
func (p *Peers) IsReader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.spread.IsMesh() && p.spread.IsReader()
}

// Role says how this router follows the store. One that is told by others does
// so itself when their report is old, or none comes.
func (p *Peers) Role() follow.Role {
	_, age := p.State.Table()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.join != nil:
		return follow.Indirect
	case p.spread.IsMesh() || p.spread.Isolated(p.Now()):
		return follow.Direct
	case p.spread.IsReader() || p.spread.IsFallbackReader(age-p.reportOld()):
		return follow.Reader
	}
	return follow.Indirect
}

// reportOld is the age of the last answer of the store above which a router does not rely on
// the readers; the lock is held.
func (p *Peers) reportOld() time.Duration {
	return reportOld + time.Duration(hops*(p.spread.ReportPeriod()-1))*reportEvery
}

// Run tells the peers of this router and fetches what they have newer, until ctx
// ends. One timer does for both: a small host pays for each time it wakes.
func (p *Peers) Run(ctx context.Context) error {
	t := time.NewTimer(rand.N(reportEvery))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			begin := p.Now()
			pause := p.Step(begin)
			t.Reset(max(pause-p.Now().Sub(begin), reportEvery/4))
		}
	}
}

// Step does what is due now, and returns after what time the next step is.
func (p *Peers) Step(now time.Time) time.Duration {
	if p.stepJoin(now) {
		return joinEvery
	}
	p.giveOffers(now)
	p.beginStep()
	p.publish(now)
	p.push(now)
	p.pullNewer(now)
	p.pullList(now)
	p.pullMembers(now)
	p.logCut(now)
	return p.endStep()
}

// beginStep counts the ticks that have passed since the last step.
func (p *Peers) beginStep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ticks += p.step
}

// endStep returns after what time the next step is: a router that has nothing to tell on wakes
// once for each of its reports.
func (p *Peers) endStep() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step = p.spread.ReportPeriod()
	if p.spread.IsMesh() || p.spread.IsReporter() {
		p.step = 1
	}
	return time.Duration(p.step) * reportEvery
}

// every reports whether a multiple of n ticks has passed in this step; the lock is held.
func (p *Peers) every(n int) bool { return p.ticks/n != (p.ticks-p.step)/n }
