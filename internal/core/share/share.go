// Package share decides which waiting request gets a slot at which backend
// server, so that customers get their fair shares across the whole fleet. It is
// a state machine that performs no I/O: each router runs one Node, passes
// events to it, and carries out the actions that Ready returns.
//
// A Node has four parts. The entry queues the requests that arrived at this
// router and registers them with admitters. The admitter allocates the slots of
// the backend servers that rendezvous hashing assigns to this router, to the
// customer with the least weighted service. The directory of a pool, kept by
// one router, lists the routers that admit to the pool and tells entries with
// waiting requests about free slots. The tree aggregates the service counters
// of all admitters.
//
// A Node is not safe for concurrent use.
package share

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Values that replace zero fields of Config.
const (
	DefaultKeepAliveInterval = 3 * time.Second
	DefaultGrantTimeout      = 10 * time.Second
	DefaultProbeInterval     = time.Second
	DefaultWidenDelay        = 5 * time.Millisecond
	DefaultNoServerTimeout   = 2 * time.Second
	DefaultQueueBytes        = 256 << 20
	DefaultQueueRequests     = 20000
)

// Config configures a Node.
type Config struct {
	ID                msg.RouterID
	Incarnation       uint64 // increases with each start of the router; above 0
	DataCentre        string
	MergeInterval     time.Duration // between two merges of the service counters; 0: derived from the fleet size
	KeepAliveInterval time.Duration // between two keep-alives for held grants
	GrantTimeout      time.Duration // a grant without a keep-alive for this long expires
	ProbeInterval     time.Duration // between two load reports of a server
	WidenDelay        time.Duration // after this wait, a queue is registered with more admitters
	NoServerTimeout   time.Duration // after this wait, a request for a pool without admitters is refused
	QueueBytes        int64         // limit on the size of all waiting requests
	QueueRequests     int           // limit on the number of waiting requests
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.KeepAliveInterval, DefaultKeepAliveInterval)
	setDefault(&c.GrantTimeout, DefaultGrantTimeout)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.WidenDelay, DefaultWidenDelay)
	setDefault(&c.NoServerTimeout, DefaultNoServerTimeout)
	setDefault(&c.QueueBytes, DefaultQueueBytes)
	setDefault(&c.QueueRequests, DefaultQueueRequests)
	return c
}

// Limits bound a customer's use of the entry router. They mirror
// dispatch.Limits.
type Limits struct {
	QueueLen    int           // waiting requests; 0: no limit
	QueueTime   time.Duration // longest wait; 0: no limit
	Concurrency int           // running requests; 0: no limit
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

// Result is the outcome of a started request. It mirrors dispatch.Result.
type Result struct {
	Cost    msg.Cost
	First   time.Duration // until the first token or byte; 0: none was received
	Total   time.Duration
	Leaving bool // the server announced that it is leaving, or could not be dialled
	Busy    bool // the server refused the request because of overload
	Unused  bool // nothing was sent to the server, so Cost and the times carry no information
}

// Reason is why a request is refused. The values equal those of
// dispatch.Reason.
type Reason int

// Reasons for a Refusal.
const (
	QueueFull    Reason = iota + 1 // the customer's queue is full
	RouterFull                     // the router reached its limit on waiting requests
	QueueTimeout                   // the request waited for the longest time allowed
	NoServer                       // no server is known for the pool
)

// Member is a live router of the fleet.
type Member struct {
	ID          msg.RouterID
	Incarnation uint64 // 0: unknown
	DataCentre  string
	Leaving     bool // the router finishes its own requests and admits no more
}

// LoadReport is what a backend server reports about itself.
type LoadReport struct {
	Server  msg.ServerID
	Pools   []msg.PoolID
	Slots   int
	Running int
	Queued  int
	Leaving bool
}

// Start tells the shell to run the request at the server now.
type Start struct {
	Request msg.RequestID
	Server  msg.ServerID
	Addr    Addr // as known to the admitter; nil: unknown
}

// Addr is a server's address in the shell's encoding, which the core does not
// interpret. Each grant carries it, so that an entry can reach the server even
// if its host list is outdated or unavailable.
type Addr []byte

// Refusal tells the shell that the request gets no slot. The request has not
// run.
type Refusal struct {
	Request    msg.RequestID
	Reason     Reason
	RetryAfter time.Duration // when the caller should retry; 0: unknown
}

// Outgoing is a message to another router.
type Outgoing struct {
	To      msg.RouterID
	Message *Message
}

// Ready lists the actions that the shell has to carry out.
type Ready struct {
	Send            []Outgoing
	Start           []Start
	Refuse          []Refusal
	Probe           []msg.ServerID // request a load report from each of these servers
	SettingsVersion uint64         // the newest version that another router has announced; 0: none newer than ours
}
