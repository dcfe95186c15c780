// Package emulator is a small model of what the fleet serves, to see one decision's
// effect alone: routers that run the real decision code (internal/edge/state), engines
// that read prompts one after the other, and callers by customer. Time is simulated,
// chance is drawn from a seed, nothing touches a network. It stands in for nothing that
// is measured on real processes: what it shows is which of two policies is better under
// a load, not how much a deployment serves.
//
// Left out: steps of a batch (an engine reads a prompt whole, and what runs beside it
// slows it by a factor), preemption, copies that fetches push out, plain services, and
// the callers' connections.
package emulator

import (
	"time"
)

// Scenario is a fleet and what happens to it.
type Scenario struct {
	Seed        uint64
	Length      time.Duration
	Routers     int
	DataCentres int
	Engines     int
	Engine      Engine
	// EngineSpeeds are the relative speeds of the engines, which take turns within each data
	// centre; none: all have the speed of Engine.
	EngineSpeeds []float64
	Capacity     float64 // tokens a second that the configuration says the engines make
	// ReportEvery is how often routers report, ReportDelay how long a report takes to
	// reach all the others, through reporters.
	ReportEvery time.Duration
	ReportDelay time.Duration
	Policy      Policy
	// Schedulers is how many routers of each data centre decide for the others, each for its part of
	// them; 0: all decide by reports. One is right, two believe that they are it.
	Schedulers int
	// SchedulersLost is when they answer no more; 0: never.
	SchedulersLost time.Duration
	Customers      []Customer
	Losses         []Loss
}

// Engine is what one engine is.
type Engine struct {
	TokensPerMs   float64       // of prompts, read
	Base          time.Duration // before a first token beside reading
	Step          time.Duration // for each token that is made
	Slots         int
	CacheTokens   int64
	FetchPerToken time.Duration
}

// Customer is a customer's callers and their requests, all alike.
type Customer struct {
	Name      string
	PerSecond float64
	Routers   int // by how many routers its callers come in; 0: by all
	// HostTakes is what the hosts by which it comes can carry for it together, tokens a
	// second; the rest they refuse for their own load. 0: all.
	HostTakes float64
	Shared    int // tokens of the shared part
	Things    int // shared parts in use
	Own       int // tokens of the request's own part
	Out       int // tokens made
	Target    time.Duration
	// Flood multiplies its requests from FloodAt until FloodEnd.
	Flood             float64
	FloodAt, FloodEnd time.Duration
}

// Loss is engines that stop answering at a moment: the first ones of the list.
type Loss struct {
	At, Back time.Duration
	Engines  int
	// Silent says that what is sent there gets no answer and fails after SilentFor;
	// otherwise it fails at once.
	Silent bool
	Return Return
}

// Return is what the routers learn of engines that are back with empty memories.
type Return int

// The returns.
const (
	Untold      Return = iota // nothing: only their IDs are known, and are the same
	UnderTheirs               // their IDs, and that they have started again
	UnderNew                  // new IDs
)

// SilentFor is after what time a request that a silent engine has is given up.
const SilentFor = 900 * time.Millisecond

// Second is what became of a customer's requests that came in one second, in tokens.
type Second struct {
	Asked, InTime, Late, Refused, Failed float64
}

// Add adds another second's tokens.
func (s *Second) Add(o Second) {
	s.Asked += o.Asked
	s.InTime += o.InTime
	s.Late += o.Late
	s.Refused += o.Refused
	s.Failed += o.Failed
}

// Result is what a run measured.
type Result struct {
	// Seconds are by customer.
	Seconds map[string][]Second
	// Expected and Seen are the first tokens of the requests that engines read, in
	// milliseconds, in the order of their sending.
	Expected, Seen []float64
	Sent           int     // requests that reached an engine
	Lost           int     // requests that reached an engine which did not answer
	Queued         int     // asks that waited at a scheduler
	Tries          int     // requests placed or refused, with those that came back
	RefusedTries   int     // of these, refused
	Read, Again    float64 // tokens read, and of these shared ones
	// Back are the requests that reached engines that had been lost, by the quarter second
	// after their return.
	Back []int
}

// Total adds up a customer's seconds from one moment to another.
func (r *Result) Total(customer string, from, to time.Duration) Second {
	var sum Second
	for i, s := range r.Seconds[customer] {
		if at := time.Duration(i) * time.Second; at < from || at >= to {
			continue
		}
		sum.Add(s)
	}
	return sum
}
