// Package state holds the mutable state of a router behind one lock: the configuration in force,
// the backend servers, the load of this router and its peers, the customers' shares and the retry
// budgets. The core packages make the decisions; this package serialises access to them and
// reports what changed.
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
	// minRouters is the smallest number of routers that the retry budget is divided among: a
	// router that has just started does not know any others yet.
	minRouters = 8
	// staleAge is the age of the store's last confirmation above which a route or key that this
	// router does not know may exist in a newer configuration.
	staleAge = 3500 * time.Millisecond
)

// State is safe for concurrent use.
type State struct {
	now func() time.Time

	mu          sync.Mutex
	rng         *rand.Rand
	table       *routing.Table
	rawConfig   []byte    // the configuration in force, as the operator wrote it
	routesSince time.Time // since when the routes lead to the same services
	confirmedAt time.Time
	picker      *pick.Picker
	roster      *roster.Roster
	listed      bool   // a list of servers has been received
	era         uint64 // highest known era of the store
	meter       *fair.Meter
	accounts    fair.Accounts  // by customer, since the last TakeAccounts
	notStarted  []*servedEntry // placed requests that no server has started
	revertedAt  time.Time      // when notStarted was last checked
	// scheduledRoom bounds the engines for which a scheduler decides; see SetScheduledRoom.
	scheduledRoom int
	// busyAt is when a customer that is not above its share was last refused.
	busyAt time.Time
	// byReportsAt is when this router last decided on a request by load reports; shortageUntil is how
	// long the last shortage that its scheduler reported counts.
	byReportsAt, shortageUntil time.Time
	scheduler                  scheduler
	urgentRefusals             urgentRefusals
	budgets                    map[string]*budget.Bucket
	retryRatio                 float64
	retrySlack                 float64
	routers                    int
	poison                     [poison.KindCount]*poison.Table
	evacuated                  *evacuation.List
	fleet                      *slowstart.Fleet
	rollouts                   *rollout.List
	evidence                   rollout.Evidence // on new versions, from all routers
	// unreportedEvidence is this router's evidence since its last report.
	unreportedEvidence rollout.Evidence
	rolloutBounds      rollout.Bounds
	crashesRead        bool // the store's lists of blocked contents and parts have been read
	crashedSinceRead   bool // a server has crashed during a request of this router since that list was read
}

// New returns the state of a router that has not received any data yet.
func New(dataCentre string, retryRatio, retrySlack float64, now func() time.Time) *State {
	return NewSeeded(dataCentre, retryRatio, retrySlack, now, rand.Uint64())
}

// NewSeeded is like New but derives all random choices from the seed.
func NewSeeded(dataCentre string, retryRatio, retrySlack float64, now func() time.Time, seed uint64) *State {
	rng := rand.New(rand.NewPCG(seed, seed))
	s := &State{
		now:        now,
		rng:        rng,
		picker:     pick.New(dataCentre, rng),
		roster:     roster.New(),
		meter:      fair.New(),
		accounts:   fair.Accounts{},
		budgets:    map[string]*budget.Bucket{},
		retryRatio: retryRatio,
		retrySlack: retrySlack,
		routers:    minRouters,
		poison:     [poison.KindCount]*poison.Table{poison.Contents: poison.New(), poison.Parts: poison.NewParts()},

		evacuated: evacuation.New(),
		rollouts:  rollout.NewList(),
		evidence:  rollout.Evidence{},

		unreportedEvidence: rollout.Evidence{},

		scheduler:      newScheduler(),
		urgentRefusals: urgentRefusals{},
	}
	s.picker.SetRollouts(s.rollouts)
	s.SetSelf("")
	return s
}

// Table returns the configuration in force, or nil before the first one is known, and the time
// since it was last confirmed to be the newest.
func (s *State) Table() (_ *routing.Table, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table, s.now().Sub(s.confirmedAt)
}

// Limits returns the limits on callers of the configuration in force, or zero limits before the
// first configuration is known.
func (s *State) Limits() routing.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return routing.Limits{}
	}
	return s.table.Config.Limits
}

// Stale reports whether a configuration that was confirmed this long ago may be outdated, so that
// an unknown route or key may exist in a newer one.
func Stale(age time.Duration) bool { return age > staleAge }

// Version returns the version of the configuration in force, or 0 if there is none.
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
	return s.rawConfig
}

// Ready reports whether requests can be served: a configuration is in force
// and the servers are known.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.listed
}

// ApplyConfig puts a configuration in force if it is newer than the current one, and reports
// whether it did.
func (s *State) ApplyConfig(c *routing.Config, raw []byte) bool {
	table := routing.NewTable(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version <= s.version() {
		return false
	}
	if s.table == nil || !routing.SameServices(s.table.Config, c) {
		s.routesSince = s.now()
	}
	s.table = table
	s.rawConfig = raw
	s.picker.SetServices(c.Services)
	s.setCapacity()
	return true
}

// ConfirmConfig records that the store reported, age ago, which configuration is the newest.
func (s *State) ConfirmConfig(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.now().Add(-age); at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Tick expires outdated state and returns what became blocked as a result.
func (s *State) Tick() (blocked Blocked) {
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
	s.revertOverdue(now)
	s.picker.Tick(now)
	for kind, table := range s.poison {
		blocked[kind] = table.Tick(s.rng, now)
	}
	return blocked
}

// SetRouterCount sets how many routers share the retry budget.
func (s *State) SetRouterCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = max(n, minRouters)
	if n == s.routers {
		return
	}
	s.routers = n
	for _, b := range s.budgets {
		b.Resize(s.retrySlack, n)
	}
}

// SetRetryBudget changes the parameters of the retry budget. Existing budgets are discarded if
// the parameters differ.
func (s *State) SetRetryBudget(ratio, slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ratio == s.retryRatio && slack == s.retrySlack {
		return
	}
	s.retryRatio = ratio
	s.retrySlack = slack
	clear(s.budgets)
}

// bucket returns the retry budget of a service.
func (s *State) bucket(service string) *budget.Bucket {
	b := s.budgets[service]
	if b == nil {
		b = budget.New(s.retryRatio, s.retrySlack, s.routers)
		s.budgets[service] = b
	}
	return b
}

// PickService returns the service that a request of the route is sent to, drawn at random.
func PickService(r *routing.Route) string { return r.PickService(rand.Float64()) }
