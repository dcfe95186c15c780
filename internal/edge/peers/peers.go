// Package peers implements the communication between routers. Each router sends small datagrams,
// heartbeats, with its load, its customers' rates, the version of its view and recent changes of
// that view. A router that is behind fetches what it lacks over HTTP. Serving requests does not
// depend on this: a router that hears no other one decides by its own counts.
//
// In a large fleet message sizes do not grow with the fleet, except for the reports that a reporter
// receives. A change of the server list or of the routers is sent as a delta, a difference is
// detected by a stamp or a digest, and missing data is fetched within the data centre.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/join"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/internal/edge/state"
)

const (
	// tickInterval is the length of a tick. A router of a small fleet reports its load to its peers
	// once per tick: the older a reported load is, the more requests pile up at one server
	// (docs/MEASUREMENTS.md).
	tickInterval = 20 * time.Millisecond
	// ratesTicks is the minimum number of ticks between two reports of the customers' rates, which
	// change more slowly than loads and make up most of a report.
	ratesTicks = 4
	// sumTicks is the minimum number of ticks between two reports of a reporter to other data
	// centres, since traffic between data centres is expensive. It is a multiple of ratesTicks, so
	// that these reports include the rates.
	sumTicks = 4
	// totalTicks is the minimum number of ticks between two reports of a reporter to the routers of
	// its data centre. There are two reporters, so a router receives a report every 20 ms.
	totalTicks = 2
	// repeatTicks is the minimum number of ticks between two reports of state that is sent
	// repeatedly, such as the top-ranked routers.
	repeatTicks = 20
	// baseFallbackAge is the age of the last store answer at which a router that relies on the
	// readers follows the store itself, in a fleet that reports at each tick: a reader's report is
	// at most follow's wait plus two ticks old. With a longer report period the age grows by
	// reportHops times the additional ticks.
	baseFallbackAge = 2200 * time.Millisecond
	reportHops      = 3
	// pullDelay is how long a newer configuration may take to arrive from the store before it is
	// fetched from the peer that has it, and how long a newer server list may take to arrive within
	// the data centre before it is fetched from another one.
	pullDelay = 250 * time.Millisecond
	// serversPullInterval is the minimum time between two fetches of the server list by a router
	// that follows the store, while the store is unreachable.
	serversPullInterval = time.Second
	// maxViewAge is the age of the last store answer above which a router asks for a peer's view
	// and no longer serves its own.
	maxViewAge = 3 * time.Second
	// sameAnswerTolerance is how much younger than the known age a reported age must be to count as
	// that of a newer store answer. It exceeds the delay of a datagram plus the millisecond that
	// ages are rounded to, and is less than the pause between two reports.
	sameAnswerTolerance = 50 * time.Millisecond
	// discoveryTime is the time after its start within which a router has heard of all others.
	discoveryTime = 2 * time.Second
)

// peerView is the last reported view of a peer.
type peerView struct {
	dataCentre       string
	configVersion    int64
	listStamp        roster.Stamp // of its server list
	lastHeard        time.Time
	storeReadAt      time.Time // time of the store answer that its view is based on
	configNewerSince time.Time // since when its configuration has been newer than this router's; zero if it is not
	listNewerSince   time.Time // the same for its server list
	lastAnswered     time.Time // when this router last answered it
}

// Peers tracks the other routers of the fleet and exchanges state with them.
type Peers struct {
	State *state.State
	Log   *slog.Logger
	Self  spread.Member // this router
	Net   Network
	Stats Stats

	Decode func([]byte) (*routing.Config, error) // a configuration as the operator wrote it
	// ProcessorWait returns how long runnable work on this host currently waits for a processor.
	ProcessorWait func() time.Duration
	// Now returns the time by which the ages of reports are computed.
	Now func() time.Time
	// WithoutScheduler makes this router neither ask a scheduler nor be one.
	WithoutScheduler bool

	conn *net.UDPConn // nil if datagrams arrive through HandleDatagram

	mu                sync.Mutex
	rng               *rand.Rand
	spread            *spread.View
	views             map[string]*peerView
	reports           map[string]receivedReport // by reportKey: loads of the routers of this data centre, sums of the others
	ticks             int
	stepTicks         int       // ticks between the previous step and this one
	firstReportAt     time.Time // when this router first reported
	sumRounds         int       // number of sums of this data centre that were sent
	pending           pending   // what a reporter has yet to relay
	members           memberSync
	streams           *streamDirectory // has a lock of its own
	asking            *asking          // has a lock of its own
	scheduling        *scheduling      // has a lock of its own
	queue             scheduleQueue    // State
	pushed            pushState
	serving           viewServing
	olderReleaseHeard time.Time     // when a router of an earlier release was last heard
	truncations       truncationLog // used by Step only

	join   *join.Join    // nil before the join starts and after it ends
	joined chan struct{} // closed when the search for a first view ends

	// Fetches in progress. The server list is fetched independently of the configuration, so that a
	// peer that does not answer cannot block both.
	configFetch, serversFetch, routersFetch fetch
}

// New returns the peers of a router. It sends and receives datagrams on conn. Responses of other routers
// use the memory.
func New(st *state.State, log *slog.Logger, self spread.Member, conn *net.UDPConn, memory *bounded.Budget, decode func([]byte) (*routing.Config, error), wait func() time.Duration, now func() time.Time) *Peers {
	p := NewOnNetwork(newNetwork(conn, memory), st, log, self, decode, rand.Uint64(), now)
	p.ProcessorWait = wait
	p.conn = conn
	return p
}

// NewOnNetwork returns the peers of a router on the given network. Its random choices follow from
// the seed.
func NewOnNetwork(transport Network, st *state.State, log *slog.Logger, self spread.Member, decode func([]byte) (*routing.Config, error), seed uint64, now func() time.Time) *Peers {
	return &Peers{
		State:         st,
		Log:           log,
		Self:          self,
		Net:           transport,
		Decode:        decode,
		ProcessorWait: func() time.Duration { return 0 },
		Now:           now,
		rng:           rand.New(rand.NewPCG(seed, seed)),
		spread:        spread.New(self),
		stepTicks:     1,
		views:         map[string]*peerView{},
		reports:       map[string]receivedReport{},
		pending:       newPending(),
		members:       newMemberSync(),
		streams:       newStreamDirectory(),
		asking:        newAsking(now()),
		scheduling:    newScheduling(),
		queue:         st,
		serving:       newViewServing(),
		joined:        make(chan struct{}),
	}
}

// Add makes routers known by their control addresses.
func (p *Peers) Add(seed bool, controlAddrs ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range controlAddrs {
		p.spread.Add(spread.Member{Addr: addr}, seed, p.Now())
	}
}

// SetMaxMeshSize sets the size of the largest fleet in which every router reports to every other.
// Tests use it to have reporters in a small fleet.
func (p *Peers) SetMaxMeshSize(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spread.SetMaxMeshSize(n)
}

// ShouldRegister reports whether this router's address belongs in the store, where routers find
// each other if their seeds are gone. In a small fleet every router registers; in a large one only
// the reporters do, which tell the others of all routers.
func (p *Peers) ShouldRegister() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spread.IsMesh() || p.spread.IsReporter()
}

// Live returns the number of other routers that were heard recently.
func (p *Peers) Live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spread.LiveCount()
}

// DataCentreRouters returns the other live routers of this router's data centre.
func (p *Peers) DataCentreRouters() []spread.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(p.spread.Members(p.Self.DataCentre), func(m spread.Member) bool { return m.Addr == p.Self.Addr })
}

// IsReader reports whether this router follows the store for others.
func (p *Peers) IsReader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.spread.IsMesh() && p.spread.IsReader()
}

// Role returns how this router follows the store. A router that relies on the readers follows the
// store itself when their report is old or missing.
func (p *Peers) Role() follow.Role {
	_, age := p.State.Table()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.join != nil:
		return follow.Indirect
	case p.spread.IsMesh() || p.spread.Isolated(p.Now()):
		return follow.Direct
	case p.spread.IsReader() || p.spread.IsFallbackReader(age-p.fallbackAge()):
		return follow.Reader
	}
	return follow.Indirect
}

// fallbackAge returns the age of the last store answer above which a router no longer relies on the
// readers. The caller must hold p.mu.
func (p *Peers) fallbackAge() time.Duration {
	return baseFallbackAge + time.Duration(reportHops*(p.spread.ReportPeriod()-1))*tickInterval
}

// Run reports to the peers and fetches newer state from them until ctx ends. A single timer drives
// both, since each wake-up costs processor time on a small host.
func (p *Peers) Run(ctx context.Context) error {
	timer := time.NewTimer(rand.N(tickInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			began := p.Now()
			pause := p.Step(began)
			timer.Reset(max(pause-p.Now().Sub(began), tickInterval/4))
		}
	}
}

// Step does the work that is due and returns the time until the next step.
func (p *Peers) Step(now time.Time) time.Duration {
	if p.stepJoin(now) {
		return joinInterval
	}
	p.sendOffers(now)
	p.beginStep()
	p.publish(now)
	p.push(now)
	p.pullConfig(now)
	p.pullServers(now)
	p.pullMembers(now)
	p.logTruncations(now)
	p.logSchedulerRole(now)
	return p.endStep()
}

// beginStep counts the ticks since the previous step.
func (p *Peers) beginStep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ticks += p.stepTicks
}

// endStep returns the time until the next step. A router that relays nothing wakes up only once for
// each of its reports.
func (p *Peers) endStep() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepTicks = p.spread.ReportPeriod()
	if p.spread.IsMesh() || p.spread.IsReporter() {
		p.stepTicks = 1
	}
	return time.Duration(p.stepTicks) * tickInterval
}

// isDue reports whether a multiple of n ticks has passed in this step. The caller must hold p.mu.
func (p *Peers) isDue(n int) bool { return p.ticks/n != (p.ticks-p.stepTicks)/n }
