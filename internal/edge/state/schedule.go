package state

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Ask is a request for a server. The router by which a caller's request came in sends it to the
// scheduler of its data centre, the one router that knows the queues of its engines exactly.
type Ask struct {
	From           string // control address of the asking router
	ID             uint64 // assigned by the asking router, increasing; never 0
	Service        string
	Customer       string
	Priority       int // of the customer or else of the route; 0 is the highest
	Prompt         []routing.PromptPart
	TokensOut      int // maximum number of generated tokens
	BodyBytes      int
	AllowedRegions routing.Regions
	Tried          []string      // IDs of servers to which the request was already sent
	Target         time.Duration // latency target of the route
	Age            time.Duration // time since the request was received
	Admitted       bool          // it was placed before; admission is not decided again
}

// Verdict is a scheduler's decision on an Ask.
type Verdict int

// Verdicts.
const (
	// Declined means that the scheduler does not decide, for example because it has no view of the
	// fleet. The asking router decides by the load reports.
	Declined Verdict = iota
	Queued           // it waits at the scheduler; another decision follows
	Assigned         // it is to be sent to the server
	Rejected         // it gets no server
)

// Decision is a scheduler's answer to an Ask.
type Decision struct {
	From    string // control address of the router that asked
	ID      uint64 // of the Ask
	Verdict Verdict
	// Shortage states that customers at or below their shares wait at the scheduler or were rejected
	// lately, so that customers far above theirs get nothing.
	Shortage bool

	// Set if Assigned.
	Server         routing.ServerKey
	Wait           time.Duration // expected queueing time at the server
	Processing     time.Duration // expected processing time up to the first token
	UncachedTokens int
	TokensAhead    float64 // tokens processed before the first token; negative: unknown
	FetchFrom      string  // address of the server that has the shared parts; empty: none

	// Set if Rejected.
	Reason     RefusalReason
	RetryAfter time.Duration
}
