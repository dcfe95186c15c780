// Package rollout moves a service's traffic to a new version of its servers, as the operator
// ordered, and back if the version is bad. A small part of the requests goes to the new version
// first; what its servers answer is compared with what the old ones do, on the same routes at the
// same time; in the end all requests go there, and the old servers may stop.
//
// Nobody is elected. Any router with the duty may write the next phase into the platform's store,
// under the condition that nobody else has: phases only rise, and the last ones never change. All
// others hear of phases from other routers. The new version gets requests only from a router that
// has heard lately that it may: one that is cut off, frozen or has just started sends it none.
//
// The package has no input or output; time comes in as an argument.
package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
)

const (
	// freshFor is how long a router believes that the new version may get requests without hearing
	// so again.
	freshFor = 3 * time.Second
	// ordersMost bounds the services whose roll-outs are kept.
	ordersMost = 64
	// DurationMost bounds what an order may take.
	DurationMost = 24 * time.Hour
)

// Order is the operator's order to move the traffic of a service to a version of its servers.
type Order struct {
	Service  string
	To       string // the version
	Duration time.Duration
	// As is the store's version and era at which the order was written.
	As roster.Stamp
}

// Same reports whether the orders ask for the same.
func (o Order) Same(other Order) bool {
	return o.Service == other.Service && o.To == other.To && o.Duration == other.Duration
}

// After reports whether the order is a later one than the other. One that asks for the same and was
// written in a later era of the store is the same one, written again after the store's return.
func (o Order) After(other Order) bool {
	if o.Same(other) && o.As.Era > other.As.Era {
		return false
	}
	return o.As.After(other.As)
}

// Fault is what is wrong with an order.
type Fault string

// Error implements error.
func (f Fault) Error() string { return string(f) }

// The faults of an order.
const (
	FaultService  Fault = "no service is named"
	FaultVersion  Fault = "no version is named"
	FaultDuration Fault = "the duration is not between 0 and a day"
)

// Check returns what is wrong with the order.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return FaultService
	case o.To == "":
		return FaultVersion
	case o.Duration <= 0 || o.Duration > DurationMost:
		return FaultDuration
	}
	return nil
}

// Phase is how far a roll-out is. Phases only rise; RolledBack and Completed are final, and of both
// the one that the store has first counts.
type Phase int

// The phases.
const (
	Ordered   Phase = iota // nothing goes to the new version yet
	Canary                 // a part of the requests does
	Halted                 // none do any more: it is to be rolled back
	Switching              // all new requests do; those at the old servers end
	RolledBack
	Completed
)

var phaseNames = [...]string{"ordered", "canary", "halted", "switching", "rolled back", "completed"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether the phase is the last one.
func (p Phase) Final() bool { return p >= RolledBack }

// Record is what is known of the roll-out of an order. It is what the store keeps.
type Record struct {
	Order Order
	Phase Phase
	// Began is when the order was first seen, by the store's clock; zero: not recorded yet.
	Began time.Duration
	// Why says what decided on the phase, for operators.
	Why string
}

// Later reports whether the record goes before the other one.
func (r Record) Later(o Record) bool {
	if r.Order.After(o.Order) || o.Order.After(r.Order) {
		return r.Order.After(o.Order)
	}
	if r.Phase.Final() && o.Phase.Final() {
		return false // the first one stays
	}
	// Of one that is to be rolled back and one that goes on to switch, stopping is the safe side.
	if r.Phase == Halted && o.Phase == Switching {
		return true
	}
	if r.Phase == Switching && o.Phase == Halted {
		return false
	}
	return r.Phase > o.Phase
}

// belief is what a router believes of one roll-out.
type belief struct {
	Record
	heard time.Time // when it was last confirmed
	since time.Time // when this router learnt of the phase
	// denied are versions that were rolled back before, which get nothing.
	denied map[string]bool
}

// List is one router's view of all roll-outs. It is not safe for concurrent use.
type List struct {
	services map[string]*belief
	changes  int
}

// NewList returns an empty list.
func NewList() *List { return &List{services: map[string]*belief{}} }

// Changes counts the changes of what goes where.
func (l *List) Changes() int { return l.changes }

// Take takes a record that was true so long ago, and reports whether it changed anything. What is
// known already counts as heard again.
func (l *List) Take(r Record, age time.Duration, now time.Time) bool {
	b := l.services[r.Order.Service]
	switch {
	case b == nil && len(l.services) >= ordersMost:
		return false
	case b == nil:
		b = &belief{denied: map[string]bool{}}
		l.services[r.Order.Service] = b
	case r.Later(b.Record):
		if b.Phase == RolledBack || b.Phase == Halted {
			b.denied[b.Order.To] = true
		}
	default:
		if !b.Record.Later(r) && b.Phase == r.Phase {
			b.confirm(now.Add(-age))
		}
		return false
	}
	delete(b.denied, r.Order.To)
	b.Record = r
	b.since = now
	b.heard = time.Time{}
	b.confirm(now.Add(-age))
	l.changes++
	return true
}

func (b *belief) confirm(at time.Time) {
	if at.After(b.heard) {
		b.heard = at
	}
}

// Record returns what is known of a service's roll-out.
func (l *List) Record(service string) (Record, bool) {
	b := l.services[service]
	if b == nil {
		return Record{}, false
	}
	return b.Record, true
}

// Told is a record as one router tells it to another.
type Told struct {
	Record
	Age time.Duration // since it was last confirmed
}

// Told returns all records, in the order of their services.
func (l *List) Told(now time.Time) (list []Told) {
	for _, service := range slices.Sorted(maps.Keys(l.services)) {
		b := l.services[service]
		list = append(list, Told{b.Record, now.Sub(b.heard)})
	}
	return list
}

// Group is which of a service's servers a server belongs to.
type Group int

// The groups.
const (
	Current Group = iota // they get the requests
	New                  // they get a part of them
	None                 // they get none
)

// Group returns that of a server of the service that runs the version. Services without an order
// have one group, whatever their servers run.
func (l *List) Group(service, version string) Group {
	b := l.services[service]
	if b == nil {
		return Current
	}
	if b.denied[version] {
		return None
	}
	isNew := version == b.Order.To
	switch b.Phase {
	case Canary:
		if isNew {
			return New
		}
	case Switching, Completed:
		if !isNew {
			return None
		}
	case Ordered, Halted, RolledBack:
		if isNew {
			return None
		}
	}
	return Current
}

// MayTry reports whether requests may go to the service's new version now: it was confirmed
// lately.
func (l *List) MayTry(service string, now time.Time) bool {
	b := l.services[service]
	return b != nil && b.Phase == Canary && now.Sub(b.heard) < freshFor
}

// Since returns for how long this router has known of the phase of the service's roll-out.
func (l *List) Since(service string, now time.Time) time.Duration {
	if b := l.services[service]; b != nil {
		return now.Sub(b.since)
	}
	return 0
}

// Running reports whether the service's roll-out is under way, so that its servers' answers count.
func (l *List) Running(service string) (to string, ok bool) {
	b := l.services[service]
	if b == nil || b.Phase.Final() || b.Phase == Ordered {
		return "", false
	}
	return b.Order.To, true
}

// Any reports whether there are roll-outs at all.
func (l *List) Any() bool { return len(l.services) > 0 }
