// Package dispatch defines the interface between the entry, which holds
// callers' requests, and the scheduler, which allocates backend servers' slots.
// The entry acquires a Slot for a request, runs the request on the slot's
// server, and ends the slot.
package dispatch

import (
	"context"
	"time"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
)

// Request describes a request to the scheduler.
type Request struct {
	ID       msg.RequestID
	Pool     msg.PoolID
	Customer msg.CustomerID
	Weight   float64        // the customer's effective weight, above 0
	Bytes    int            // memory the request holds while it waits
	Avoid    []msg.ServerID // servers already tried
	Limits   Limits
}

// Limits bound a customer's use of one router's entry.
type Limits struct {
	QueueLen    int           // requests waiting, per customer and router
	QueueTime   time.Duration // maximum wait in the queue
	Concurrency int           // requests running, per customer and router; 0: no limit
}

// Picker allocates slots. The entry calls it from each request's goroutine.
type Picker interface {
	// Acquire waits until the request is granted a slot, its queue time
	// expires or ctx ends. Its errors are *Refusal; a refused
	// request has not run.
	Acquire(ctx context.Context, r Request) (Slot, error)
}

// Slot is the right to run one request at one server. Exactly one call of End
// must follow; Progress may be called any number of times before. Neither
// blocks.
type Slot interface {
	Server() Server
	Progress(cost msg.Cost) // cumulative cost so far
	End(Result)
}

// Server identifies the backend server that a slot belongs to.
type Server struct {
	ID   msg.ServerID
	Addr string // IP:port
}

// Result is the outcome of using a slot.
type Result struct {
	Outcome attempt.Outcome
	Cost    msg.Cost      // total cost
	First   time.Duration // time to the first token or byte; 0: none arrived
	Total   time.Duration
	Leaving bool // the server reported that it is leaving, or could not be dialled
	Busy    bool // the server refused the request because of overload
}

// Reason is why no slot was granted.
type Reason int

// The reasons of a Refusal.
const (
	QueueFull    Reason = iota + 1 // the customer's queue is full
	RouterFull                     // the router holds all the waiting requests it may
	QueueTimeout                   // the request waited for the maximum queue time
	NoServer                       // no server is known for the pool
	CallerGone                     // the context ended: the caller disconnected or its deadline passed
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
	RetryAfter time.Duration // delay before a retry; 0: unknown
}

// Error implements error.
func (r *Refusal) Error() string { return "no slot: " + r.Reason.String() }
