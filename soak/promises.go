package main

import (
	"fmt"
	"sync"
	"time"
)

// promise is one thing that must hold whatever fails.
type promise string

// The promises.
const (
	ownWholeAnswer promise = "a success is the caller's own whole answer"
	wholeStream    promise = "a stream skips and doubles no event, and ends whole or visibly cut"
	oneVersion     promise = "a stream holds events of one software version"
	resumesGoOn    promise = "a stream that its caller resumes goes on while two servers of its version serve"
	notTwice       promise = "a request that must not run twice runs at most once"
	trueNotRun     promise = "a refusal that says not run is true"
	rightCustomer  promise = "a server is told the customer that holds the key, and never the key"
	drained        promise = "a leaving server gets no request after the bound"
	leavingUnused  promise = "a router sends nothing, after the bound, to a server that announced to it that it is leaving"
	relays         promise = "with --relay, a router relays callers"
	schedules      promise = "with --scheduler, a scheduler decides on requests"
	backoffObeyed  promise = "a server gets at most two requests from a router within a backoff that it requested"
	cancelledUsed  promise = "a server that cancelled its shutdown is used again"
	neverBack      promise = "a configuration that was seen in force does not go back"
	inForce        promise = "an accepted configuration is in force within the bound"
	withinBudget   promise = "requests sent again stay within the fleet's budget"
	serviceBack    promise = "service is back after the last fault"
	gracefulStop   promise = "a stopping router cuts no answer"
	endsInTime     promise = "every request has its final answer in its route's time"
	noUnaskedExit  promise = "no process ends by itself"
	withinMemory   promise = "a router stays within its memory"
	poisonStops    promise = "a request that crashes servers is soon sent to none"
	partStops      promise = "requests with a prompt part that crashes servers are soon sent to none"
	innocentServed promise = "a request that crashes no server is not blocked"
	foreignUnused  promise = "nothing is sent to an entry that names no server"
	claimsStay     promise = "what a caller says in the fleet's own headers reaches no server"
	evacuated      promise = "nothing reaches the servers of an evacuated data centre"
	notTooMuch     promise = "a cold server gets no more than it bears"
	serverIsPassed promise = "a request's method, path and body reach the server unchanged"
)

// broken is one promise that did not hold.
type broken struct {
	at      time.Duration
	promise promise
	detail  string
}

// verdicts collects broken promises. It is safe for concurrent use.
type verdicts struct {
	begin time.Time
	mu    sync.Mutex
	list  []broken
}

// report notes a broken promise.
func (v *verdicts) report(p promise, format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, broken{at: time.Since(v.begin), promise: p, detail: fmt.Sprintf(format, args...)})
}

func (v *verdicts) all() []broken {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]broken(nil), v.list...)
}
