// Package state is what a router believes, behind one lock: the configuration
// in force, the backend servers, its own and its peers' load, the customers'
// shares and the retry budgets. The decisions are those of the core; this
// package only serialises access to them and tells what changed.
package state

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/budget"
	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// expectedRouters is the least number of routers that the retry budget is
	// shared over: a router that has just started knows no other yet.
	expectedRouters = 8
	// viewStale is the age of the last answer of the store above which an
	// unknown route or key may be one that this router has not heard of.
	viewStale = 3500 * time.Millisecond
)

// State is safe for concurrent use.
type State struct {
	now func() time.Time

	mu        sync.Mutex
	rng       *rand.Rand
	table     *routing.Table
	raw       []byte // the configuration in force, as the operator wrote it
	confirmed time.Time
	picker    *pick.Picker
	roster    *roster.Roster
	listed    bool // the servers have been read once
	meter     *fair.Meter
	unbegun   []*counted // placed requests that no server has begun
	undoneAt  time.Time  // when these were looked through last
	refusedAt time.Time  // when a customer not above its share was refused last
	budgets   map[string]*budget.Bucket
	ratio     float64
	slack     float64
	routers   int
	poison    *poison.Table
	endsRead  bool // the store's list of blocked contents was read once
	askStore  bool // a server has ended under a request of this router since
}

// New returns the state of a router that knows nothing yet.
func New(dataCentre string, ratio, slack float64, now func() time.Time) *State {
	return NewSeeded(dataCentre, ratio, slack, now, rand.Uint64())
}

// NewSeeded returns one whose random choices follow from the seed.
func NewSeeded(dataCentre string, ratio, slack float64, now func() time.Time, seed uint64) *State {
	rng := rand.New(rand.NewPCG(seed, seed))
	return &State{
		now:     now,
		rng:     rng,
		picker:  pick.New(dataCentre, rng),
		roster:  roster.New(),
		meter:   fair.New(),
		budgets: map[string]*budget.Bucket{},
		ratio:   ratio,
		slack:   slack,
		routers: expectedRouters,
		poison:  poison.New(),
	}
}

// Table returns the configuration in force, nil before the first is known, and
// the age of the last report that it is the newest.
func (s *State) Table() (_ *routing.Table, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table, s.now().Sub(s.confirmed)
}

// Limits returns what the configuration in force allows callers; before the
// first is known, nothing is said.
func (s *State) Limits() routing.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return routing.Limits{}
	}
	return s.table.Config.Limits
}

// Stale reports whether what is unknown may be newer than the view.
func Stale(age time.Duration) bool { return age > viewStale }

// Version returns the version of the configuration in force; 0: none.
func (s *State) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version()
}

func (s *State) version() int64 {
	if s.table == nil {
		return 0
	}
	return s.table.Config.Version
}

// Raw returns the configuration in force as the operator wrote it.
func (s *State) Raw() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raw
}

// Ready reports whether requests can be served: a configuration is in force
// and the servers are known.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.listed
}

// TakeConfig puts a configuration in force if it is newer than that in force,
// and reports whether it was.
func (s *State) TakeConfig(c *routing.Config, raw []byte) bool {
	table := routing.NewTable(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version <= s.version() {
		return false
	}
	s.table = table
	s.raw = raw
	s.picker.SetServices(c.Services)
	s.meter.SetCapacity(c.Limits.TokensPerSec)
	return true
}

// Confirm notes that the store said what the newest configuration is, age ago.
func (s *State) Confirm(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.now().Add(-age); at.After(s.confirmed) {
		s.confirmed = at
	}
}

// ServersReplaced takes the whole list of servers, as of a version of the
// store. An older list than that in force is left out. sure says that it comes
// from a router which follows the store, so that what is missing has left.
func (s *State) ServersReplaced(list []routing.Server, stamp roster.Stamp, sure bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Stamp().After(stamp) {
		return false
	}
	s.roster.SetStamp(stamp)
	s.roster.Replace(list, sure, s.now())
	s.listed = true
	s.picker.SetServers(s.roster.List())
	return true
}

// ServersChanged takes changed and removed entries.
func (s *State) ServersChanged(changed []routing.Server, gone []string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(changed)+len(gone) == 0 {
		return
	}
	s.roster.SetStamp(roster.Stamp{Version: version})
	s.roster.Apply(changed, gone, s.now())
	s.picker.SetServers(s.roster.List())
}

// ServerUnusable notes that, as of a version of the store, the entry of the ID names no
// server to use.
func (s *State) ServerUnusable(id string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Forget(id, version) {
		s.picker.SetServers(s.roster.List())
	}
}

// Servers returns the list and its stamp.
func (s *State) Servers() ([]routing.Server, roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.List(), s.roster.Stamp()
}

// Stamp returns the stamp of the list of servers.
func (s *State) Stamp() roster.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Stamp()
}

// StoreDown and StoreBack note whether the store's list can be followed.
func (s *State) StoreDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.StoreDown(s.now())
}

// StoreBack notes that the store answers again.
func (s *State) StoreBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.StoreBack(s.now())
}

// StoreNotFollowed notes that the list comes from other routers.
func (s *State) StoreNotFollowed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.NotFollowed()
}

// Followed returns for how long the store's list has been followed without a gap.
func (s *State) Followed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Followed(s.now())
}

// Settle takes a router's report that it has followed the store for so long, and
// reports whether doubtful servers were forgotten for it.
func (s *State) Settle(followed time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.roster.Settle(followed, s.now()) {
		return false
	}
	s.picker.SetServers(s.roster.List())
	return true
}

// Tick forgets what is too old.
func (s *State) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.roster.Tick(now) {
		s.picker.SetServers(s.roster.List())
	}
	s.undoOverdue(now)
	s.picker.Tick(now)
	s.poison.Tick(now)
}

// SetRouters says how many routers share the retry budget.
func (s *State) SetRouters(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = max(n, expectedRouters)
	if n == s.routers {
		return
	}
	s.routers = n
	for _, b := range s.budgets {
		b.Resize(s.slack, n)
	}
}

// SetRetries changes the retry budget's figures.
func (s *State) SetRetries(ratio, slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ratio == s.ratio && slack == s.slack {
		return
	}
	s.ratio = ratio
	s.slack = slack
	clear(s.budgets)
}

// bucket returns the retry budget of a service.
func (s *State) bucket(service string) *budget.Bucket {
	b := s.budgets[service]
	if b == nil {
		b = budget.New(s.ratio, s.slack, s.routers)
		s.budgets[service] = b
	}
	return b
}

// Draw returns the service that a request of the route goes to.
func Draw(r *routing.Route) string { return r.Pick(rand.Float64()) }

// Report is what a router tells its peers.
type Report struct {
	Loads  map[routing.ServerKey]pick.Load
	Rates  map[string]fair.Rates
	Sent   pick.Sent                   // parts of prompts sent since the last report
	Firsts map[string]pick.FirstTokens // first tokens seen since the last report, by service
	Ends   []poison.Record             // contents under which servers ended since the last report
}

// NewReport returns one that tells nothing yet.
func NewReport() Report {
	return Report{Loads: map[routing.ServerKey]pick.Load{}, Rates: map[string]fair.Rates{}}
}

// Add adds the loads and rates of o.
func (r Report) Add(o Report) {
	for key, l := range o.Loads {
		r.Loads[key] = r.Loads[key].Plus(l)
	}
	for name, rates := range o.Rates {
		r.Rates[name] = r.Rates[name].Plus(rates)
	}
}

// Report returns this router's load, its customers' rates, and what it has sent
// where since the last report.
func (s *State) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return Report{
		Loads:  s.picker.Loads(now),
		Rates:  s.meter.Own(now),
		Sent:   s.picker.TakePending(),
		Firsts: s.picker.TakeFirsts(),
		Ends:   s.poison.TakeFresh(now),
	}
}

// HeardFirsts takes the first tokens that other routers saw.
func (s *State) HeardFirsts(firsts map[string]pick.FirstTokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.HeardFirsts(firsts, s.now())
}

// HeardSent takes other routers' report of which parts they sent where.
func (s *State) HeardSent(sent pick.Sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Heard(sent, s.now())
}

// TotalReport takes the sum over all routers, this one included.
func (s *State) TotalReport(from string, r Report) {
	s.mu.Lock()
	now := s.now()
	own := s.picker.Loads(now)
	rates := s.meter.Own(now)
	s.mu.Unlock()
	for key, l := range own {
		if total, ok := r.Loads[key]; ok {
			r.Loads[key] = total.Less(l)
		}
	}
	for name, mine := range rates {
		total, ok := r.Rates[name]
		if !ok {
			continue
		}
		r.Rates[name] = fair.Rates{Asked: max(0, total.Asked-mine.Asked), Served: max(0, total.Served-mine.Served)}
	}
	s.PeerReport(from, r)
}

// PeerReport takes another router's, or the sum of several others'.
func (s *State) PeerReport(peer string, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.picker.PeerLoad(peer, r.Loads, now)
	if len(r.Rates) > 0 {
		s.meter.Peer(peer, r.Rates, now)
	}
}

// Known reports whether the server is listed or has requests of this router.
func (s *State) Known(id routing.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Known(id)
}

// Takes reports whether the server is still listed as one that takes new
// requests: time passes between the choice and the sending.
func (s *State) Takes(id routing.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Takes(id)
}
