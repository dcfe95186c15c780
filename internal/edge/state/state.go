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
	"github.com/windscale/windscale/internal/core/evacuation"
	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/core/slowstart"
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
	listed    bool   // the servers have been read once
	era       uint64 // of the store, the highest that was told
	meter     *fair.Meter
	accounts  fair.Accounts // of customers, since they were taken last
	unbegun   []*counted    // placed requests that no server has begun
	undoneAt  time.Time     // when these were looked through last
	refusedAt time.Time     // when a customer not above its share was refused last
	budgets   map[string]*budget.Bucket
	ratio     float64
	slack     float64
	routers   int
	poison    *poison.Table
	evacuated *evacuation.List
	fleet     *slowstart.Fleet
	rollouts  *rollout.List
	evidence  rollout.Evidence // of new versions, of all routers
	// ownEvidence is that of this router since it was told last.
	ownEvidence   rollout.Evidence
	rolloutBounds rollout.Bounds
	crashesRead   bool // the store's list of blocked contents was read once
	askStore      bool // a server has crashed under a request of this router since
}

// New returns the state of a router that knows nothing yet.
func New(dataCentre string, ratio, slack float64, now func() time.Time) *State {
	return NewSeeded(dataCentre, ratio, slack, now, rand.Uint64())
}

// NewSeeded returns one whose random choices follow from the seed.
func NewSeeded(dataCentre string, ratio, slack float64, now func() time.Time, seed uint64) *State {
	rng := rand.New(rand.NewPCG(seed, seed))
	s := &State{
		now:      now,
		rng:      rng,
		picker:   pick.New(dataCentre, rng),
		roster:   roster.New(),
		meter:    fair.New(),
		accounts: fair.Accounts{},
		budgets:  map[string]*budget.Bucket{},
		ratio:    ratio,
		slack:    slack,
		routers:  expectedRouters,
		poison:   poison.New(),

		evacuated: evacuation.New(),
		rollouts:  rollout.NewList(),
		evidence:  rollout.Evidence{},

		ownEvidence: rollout.Evidence{},
	}
	s.picker.SetRollouts(s.rollouts)
	s.SetSelf("")
	return s
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
	s.setCapacity()
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

// Tick forgets what is too old, and returns the contents that are blocked for it.
func (s *State) Tick() Blocked {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.evacuated.Tick(now) {
		s.setServers(now)
	}
	if s.roster.Tick(now) {
		s.updateServers(now)
	}
	s.clearStaleLeaving(s.roster.FollowedFor(now), now)
	s.undoOverdue(now)
	s.picker.Tick(now)
	return s.poison.Tick(s.rng, now)
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
func Draw(r *routing.Route) string { return r.PickService(rand.Float64()) }
