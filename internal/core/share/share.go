// Package share decides which waiting request gets which backend server's
// slot, so that customers across the whole fleet get their fair shares. It is
// a state machine without input or output: every router runs one Node, feeds
// it what happens, and carries out what Ready returns.
//
// A Node has four parts. The entry side holds this router's waiting requests
// and registers them with admitters. The admitting side hands out the slots of
// the backend servers that rendezvous hashing assigns to this router, to the
// customer with the least weighted service. The directory, at one router a
// pool, says which routers admit to the pool and tells waiting entries of free
// slots. The tree merges the service counters of all admitters.
//
// A Node is not safe for concurrent use: one goroutine owns it.
package share

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Defaults of Config's zero fields.
const (
	DefaultKeepInterval  = 3 * time.Second
	DefaultGrantTimeout  = 10 * time.Second
	DefaultProbeInterval = time.Second
	DefaultSpreadDelay   = 5 * time.Millisecond
	DefaultNoServerAfter = 2 * time.Second
	DefaultQueueBytes    = 256 << 20
	DefaultQueueRequests = 20000
)

// Config is what a Node needs to know of its router.
type Config struct {
	ID            msg.RouterID
	Incarnation   uint64 // grows with each start of the router; above 0
	DataCentre    string
	MergeInterval time.Duration // between two merges of the counters; 0: by the fleet's size
	KeepInterval  time.Duration // between two keep-alives of held grants
	GrantTimeout  time.Duration // a grant not kept alive is over after it
	ProbeInterval time.Duration // between two load reports of a server
	SpreadDelay   time.Duration // a wait this long is registered more widely
	NoServerAfter time.Duration // a wait this long for an unknown pool is refused
	QueueBytes    int64         // bytes of waiting requests
	QueueRequests int           // waiting requests
}

func orDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.KeepInterval, DefaultKeepInterval)
	orDefault(&c.GrantTimeout, DefaultGrantTimeout)
	orDefault(&c.ProbeInterval, DefaultProbeInterval)
	orDefault(&c.SpreadDelay, DefaultSpreadDelay)
	orDefault(&c.NoServerAfter, DefaultNoServerAfter)
	orDefault(&c.QueueBytes, DefaultQueueBytes)
	orDefault(&c.QueueRequests, DefaultQueueRequests)
	return c
}

// Limits bound a customer's use of the entry router. They mirror
// dispatch.Limits.
type Limits struct {
	QueueLen    int           // requests waiting; 0: no limit
	QueueTime   time.Duration // longest wait; 0: no limit
	Concurrency int           // requests running; 0: no limit
}

// Request is a request that waits for a slot. It mirrors dispatch.Request.
type Request struct {
	ID       msg.RequestID
	Pool     msg.PoolID
	Customer msg.CustomerID
	Weight   float64 // above 0
	Bytes    int
	Avoid    []msg.ServerID
	Limits   Limits
}

// Result is what came of a started request. It mirrors dispatch.Result.
type Result struct {
	Cost    msg.Cost
	First   time.Duration // to the first token or byte; 0: none came
	Total   time.Duration
	Leaving bool // the server said that it is leaving, or could not be dialled
	Busy    bool // the server refused for overload
	Unused  bool // nothing was sent to the server, so it says nothing of cost and speed
}

// Reason says why a request is refused. Its numbers are those of
// dispatch.Reason.
type Reason int

// The reasons of a Refuse.
const (
	QueueFull    Reason = iota + 1 // the customer's queue is full
	RouterFull                     // the router holds all the waiting requests it may
	QueueTimeout                   // waited the longest time
	NoServer                       // no server is known for the pool
)

// Member is a live router of the fleet.
type Member struct {
	ID          msg.RouterID
	Incarnation uint64 // 0: not known
	DataCentre  string
	Leaving     bool // finishes its own requests and admits no more
}

// LoadReport is what a backend server says of itself.
type LoadReport struct {
	Server  msg.ServerID
	Pools   []msg.PoolID
	Slots   int
	Running int
	Queued  int
	Leaving bool
}

// Start tells the shell to run the request at the server, now.
type Start struct {
	Request msg.RequestID
	Server  msg.ServerID
	Addr    Addr // as the admitter knows it; nil: it knows none
}

// Addr is a server's address as the shell packs it; the core only carries it.
// It travels with each grant, so that an entry whose host list lags or is down
// finds the server all the same.
type Addr []byte

// Refuse tells the shell that the request gets no slot. It has not run.
type Refuse struct {
	Request    msg.RequestID
	Reason     Reason
	RetryAfter time.Duration // when to come back; 0: not known
}

// Outgoing is a message for another router.
type Outgoing struct {
	To      msg.RouterID
	Message *Message
}

// Ready is what the shell has to carry out.
type Ready struct {
	Send     []Outgoing
	Start    []Start
	Refuse   []Refuse
	Probe    []msg.ServerID // ask these servers for a load report
	Settings uint64         // the newest settings version heard of; 0: none newer
}
