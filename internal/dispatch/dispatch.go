// Package dispatch is the seam between the entry, which holds callers'
// requests, and the sharing of backend servers' slots. The entry acquires a
// Slot for a request, runs it on the slot's server, and ends the slot.
package dispatch

import (
	"context"
	"time"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
)

// Request is what the sharing needs to know of a request.
type Request struct {
	ID       msg.RequestID
	Pool     msg.PoolID
	Customer msg.CustomerID
	Weight   float64        // the customer's effective weight, above 0
	Bytes    int            // memory the request holds while it waits
	Avoid    []msg.ServerID // servers already tried
	Limits   Limits
}

// Limits bound a customer's use of the entry it came in by.
type Limits struct {
	QueueLen    int           // requests waiting, per customer and router
	QueueTime   time.Duration // longest wait
	Concurrency int           // requests running, per customer and router; 0: no limit
}

// Picker hands out slots. The entry calls it from each request's goroutine.
type Picker interface {
	// Acquire waits until a slot is granted to the request, the request's
	// queue time is over or ctx ends. Its errors are *Refusal; a refused
	// request has not run.
	Acquire(ctx context.Context, r Request) (Slot, error)
}

// Slot is the right to run one request at one server. Exactly one call of End
// must follow; Progress may be called any number of times before. Neither
// blocks.
type Slot interface {
	Server() Server
	Progress(cost msg.Cost) // total cost so far
	End(Result)
}

// Server is where the slot is.
type Server struct {
	ID   msg.ServerID
	Addr string // IP:port
}

// Result is what came of the slot.
type Result struct {
	Outcome attempt.Outcome
	Cost    msg.Cost      // total cost
	First   time.Duration // to the first token or byte; 0: none came
	Total   time.Duration
	Leaving bool // the server said it is leaving, or could not be dialled
	Busy    bool // the server refused for overload
}

// Reason says why no slot was had.
type Reason int

// The reasons of a Refusal.
const (
	QueueFull    Reason = iota + 1 // the customer's queue is full
	RouterFull                     // the router holds all the waiting requests it may
	QueueTimeout                   // waited the longest time
	NoServer                       // no server is known for the pool
	CallerGone                     // the context ended: the caller went, or its time is over
)

var reasonNames = map[Reason]string{
	QueueFull:    "queue-full",
	RouterFull:   "router-full",
	QueueTimeout: "queue-timeout",
	NoServer:     "no-server",
	CallerGone:   "caller-gone",
}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Refusal is the error of Acquire. The request has not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when to come back; 0: not known
}

// Error implements error.
func (r *Refusal) Error() string { return "no slot: " + r.Reason.String() }
