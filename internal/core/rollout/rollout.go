// Package rollout moves a service's traffic to a new version of its servers on the operator's order,
// and back if the version is bad. A small share of the requests goes to the new version first, and
// its answers are compared with those of the old version on the same routes over the same time.
// Finally all requests go to the new version, and the old servers may stop.
//
// There is no leader election. Any router that follows the platform's store may write the next phase
// to it, with a conditional write: phases only advance, and final phases never change. The other
// routers learn of phases from each other. A router sends requests to the new version only while it has a
// recent confirmation that it may: one that is partitioned, frozen or just started sends none.
//
// The package performs no I/O; time is passed in as an argument.
package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
)

const (
	// confirmationTTL is how long a router may send requests to the new version after the last
	// confirmation.
	confirmationTTL = 3 * time.Second
	// maxOrders bounds the number of services whose roll-outs are kept.
	maxOrders = 64
	// MaxDuration bounds the duration of an order.
	MaxDuration = 24 * time.Hour
)

// Order is the operator's order to move the traffic of a service to a version of its servers.
type Order struct {
	Service  string
	To       string // the version
	Duration time.Duration
	// Stamp is the version and era of the store at which the order was written.
	Stamp roster.Stamp
}

// Equivalent reports whether both orders request the same roll-out.
func (o Order) Equivalent(other Order) bool {
	return o.Service == other.Service && o.To == other.To && o.Duration == other.Duration
}

// NewerThan reports whether the order was written after the other one. An equivalent order from a
// later era of the store is the same order, written again after the store was restored.
func (o Order) NewerThan(other Order) bool {
	if o.Equivalent(other) && o.Stamp.Era > other.Stamp.Era {
		return false
	}
	return o.Stamp.After(other.Stamp)
}

// OrderError describes an invalid order.
type OrderError string

// Error implements error.
func (e OrderError) Error() string { return string(e) }

// The errors of an order.
const (
	ErrNoService OrderError = "no service is named"
	ErrNoVersion OrderError = "no version is named"
	ErrDuration  OrderError = "the duration is not between 0 and a day"
)

// Check validates the order.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return ErrNoService
	case o.To == "":
		return ErrNoVersion
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return ErrDuration
	}
	return nil
}

// Phase is the progress of a roll-out. Phases only advance; RolledBack and Completed are final, and
// whichever of them the store records first stands.
type Phase int

// The phases.
const (
	Ordered   Phase = iota // no requests go to the new version yet
	Canary                 // a share of the requests goes to it
	Halted                 // no more requests go to it; it is to be rolled back
	Switching              // all new requests go to it; those at the old servers finish
	RolledBack
	Completed
)

var phaseNames = [...]string{"ordered", "canary", "halted", "switching", "rolled back", "completed"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether the phase never changes.
func (p Phase) Final() bool { return p >= RolledBack }

// Record is the state of the roll-out of an order, as kept in the store.
type Record struct {
	Order Order
	Phase Phase
	// StartedAt is when the order was first seen, by the store's clock; zero if not recorded yet.
	StartedAt time.Duration
	// Reason tells operators what led to the phase.
	Reason string
}

// Supersedes reports whether the record takes precedence over the other one.
func (r Record) Supersedes(other Record) bool {
	if r.Order.NewerThan(other.Order) || other.Order.NewerThan(r.Order) {
		return r.Order.NewerThan(other.Order)
	}
	if r.Phase.Final() && other.Phase.Final() {
		return false // the first one stands
	}
	// Of Halted and Switching, halting is the safe choice.
	if r.Phase == Halted && other.Phase == Switching {
		return true
	}
	if r.Phase == Switching && other.Phase == Halted {
		return false
	}
	return r.Phase > other.Phase
}

// state is a router's view of one roll-out.
type state struct {
	Record
	confirmedAt time.Time // when the record was last confirmed
	phaseSince  time.Time // when this router learnt of the phase
	// deniedVersions were rolled back before and get no requests.
	deniedVersions map[string]bool
}

// List is one router's view of all roll-outs. It is not safe for concurrent use.
type List struct {
	services map[string]*state
	changes  int
}

// NewList returns an empty list.
func NewList() *List { return &List{services: map[string]*state{}} }

// Changes returns the number of changes to the distribution of requests so far.
func (l *List) Changes() int { return l.changes }

// Merge merges a record that was confirmed age ago and reports whether anything changed. A record
// that is already known counts as a new confirmation.
func (l *List) Merge(r Record, age time.Duration, now time.Time) bool {
	s := l.services[r.Order.Service]
	switch {
	case s == nil && len(l.services) >= maxOrders:
		return false
	case s == nil:
		s = &state{deniedVersions: map[string]bool{}}
		l.services[r.Order.Service] = s
	case r.Supersedes(s.Record):
		if s.Phase == RolledBack || s.Phase == Halted {
			s.deniedVersions[s.Order.To] = true
		}
	default:
		if !s.Record.Supersedes(r) && s.Phase == r.Phase {
			s.confirm(now.Add(-age))
		}
		return false
	}
	delete(s.deniedVersions, r.Order.To)
	s.Record = r
	s.phaseSince = now
	s.confirmedAt = time.Time{}
	s.confirm(now.Add(-age))
	l.changes++
	return true
}

func (s *state) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Record returns the record of a service's roll-out.
func (l *List) Record(service string) (Record, bool) {
	s := l.services[service]
	if s == nil {
		return Record{}, false
	}
	return s.Record, true
}

// AgedRecord is a record as exchanged between routers.
type AgedRecord struct {
	Record
	Age time.Duration // time since the last confirmation
}

// Records returns all records, ordered by service.
func (l *List) Records(now time.Time) (list []AgedRecord) {
	for _, service := range slices.Sorted(maps.Keys(l.services)) {
		s := l.services[service]
		list = append(list, AgedRecord{s.Record, now.Sub(s.confirmedAt)})
	}
	return list
}

// Group determines which share of a service's requests a server gets.
type Group int

// The groups.
const (
	GroupServing  Group = iota // servers that get the requests
	GroupCanary                // servers that get the canary share
	GroupExcluded              // servers that get no requests
)

// Group returns the group of a server of the service that runs the given version. All servers of a
// service without an order are in GroupServing.
func (l *List) Group(service, version string) Group {
	s := l.services[service]
	if s == nil {
		return GroupServing
	}
	if s.deniedVersions[version] {
		return GroupExcluded
	}
	isNew := version == s.Order.To
	switch s.Phase {
	case Canary:
		if isNew {
			return GroupCanary
		}
	case Switching, Completed:
		if !isNew {
			return GroupExcluded
		}
	case Ordered, Halted, RolledBack:
		if isNew {
			return GroupExcluded
		}
	}
	return GroupServing
}

// CanaryAllowed reports whether this router may send requests to the service's canary servers now,
// which requires a recent confirmation.
func (l *List) CanaryAllowed(service string, now time.Time) bool {
	s := l.services[service]
	return s != nil && s.Phase == Canary && now.Sub(s.confirmedAt) < confirmationTTL
}

// PhaseAge returns how long this router has known of the current phase of the service's roll-out.
func (l *List) PhaseAge(service string, now time.Time) time.Duration {
	if s := l.services[service]; s != nil {
		return now.Sub(s.phaseSince)
	}
	return 0
}

// InProgress reports whether the service's roll-out is in progress, so that its servers' answers are
// evaluated, and to which version it goes.
func (l *List) InProgress(service string) (to string, ok bool) {
	s := l.services[service]
	if s == nil || s.Phase.Final() || s.Phase == Ordered {
		return "", false
	}
	return s.Order.To, true
}

// Any reports whether any roll-outs are known.
func (l *List) Any() bool { return len(l.services) > 0 }
