// Package controlplane is a model of what routers tell each other and ask of the platform's store:
// how many messages and bytes of which kind, what processor time, and how long a start, a change
// and a failure take to reach all. Routers run the program's own code (internal/edge/peers,
// internal/edge/state and the core below them); the network, the processors and the store are
// simulated, in one goroutine, with chance drawn from a seed, so that the same scenario gives the
// same result.
//
// Processor time is worked out from what a router takes in and sends, at rates that were measured
// on single operations (see costs). Left out: callers' connections, loss of datagrams beyond a
// given share, and whatever the operating system does.
package controlplane

import (
	"time"
)

// Scenario is a fleet and what happens to it.
type Scenario struct {
	Seed        uint64
	Length      time.Duration
	Routers     int
	DataCentres int
	Servers     int // backend servers
	Customers   int
	// Large is how many hosts of each data centre have LargeCores; the others have SmallCores.
	Large                  int
	LargeCores, SmallCores float64
	Loss                   float64 // the part of datagrams that are lost
	Requests               float64 // a second, of the fleet
	Changes                []Change
	Faults                 []Fault
}

// Change is a number of servers whose entries change at a moment.
type Change struct {
	At      time.Duration
	Servers int
}

// Fault is something that happens to routers.
type Fault struct {
	At, Until time.Duration
	Kind      FaultKind
	Routers   int // how many; all: 0
}

// FaultKind is what happens to them.
type FaultKind int

// The kinds of faults.
const (
	// Kill ends the first routers in the ranking of the first data centre, or all of the fleet;
	// they start again at the end of the fault.
	Kill FaultKind = iota
	// CutStore keeps the readers from the store.
	CutStore
)

// Defaults are those of a fleet of small hosts with a few large ones.
func (s *Scenario) defaults() {
	if s.DataCentres == 0 {
		s.DataCentres = 5
	}
	if s.LargeCores == 0 {
		s.LargeCores = 1.6
	}
	if s.SmallCores == 0 {
		s.SmallCores = 0.192
	}
	if s.Customers == 0 {
		s.Customers = s.Routers / 3
	}
}

// Role is what a router does for others.
type Role int

// The roles, the busiest one last.
const (
	Plain    Role = iota // it is told by reporters
	Reporter             // it sums up the reports of its data centre
	Reader               // a reporter that follows the store too
	roles
)

// String returns the role's name.
func (r Role) String() string { return [...]string{"router", "reporter", "reader"}[r] }

// Load is what the routers of one role spend a second, once the fleet has started.
type Load struct {
	Routers    int
	In, Out    float64 // messages
	InB, OutB  float64 // bytes, of datagrams and fetches
	Processor  float64 // of a core
	StoreCalls float64
}

// Result is what a run measured.
type Result struct {
	// Ready is when the last router had its view, Known when all routers knew all others, from the
	// start; negative: not within the run.
	Ready, Known time.Duration
	// Start is what the start cost, up to the moment when all were known.
	Start Cost
	// Steady is what a router of each role spends after that, by the mean, and BusiestTo how many
	// times the processor time of the middle router the busiest one spends.
	Steady    map[string]Load
	BusiestTo float64
	Between   float64 // bytes a second between data centres
	// Changes are what each change took to reach all routers, and what it cost.
	Changes []Spread
	// Heard is when after a kill the last router of the data centre had a report again, and Back
	// when all that were killed had their views again, from their start.
	Heard, Back []time.Duration
	Left        map[string]int64 // what found no room in heartbeats, by part
	View        int              // bytes of a first view
}

// Cost is what something cost the fleet.
type Cost struct {
	Messages   int64
	Bytes      int64 // all
	Between    int64 // of these, between data centres
	Processor  time.Duration
	StoreCalls int64
	StoreBytes int64
}

// Spread is how a change spread.
type Spread struct {
	First, Last time.Duration // when the first and the last router knew, from the change
	Between     int64         // bytes between data centres in the time, beyond the usual
}
