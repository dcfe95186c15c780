package metrics

import (
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Entry counts callers' requests by customer.
type Entry struct {
	customers *labelled[msg.CustomerID, Customer]
	denied    names
}

func newEntry() *Entry {
	return &Entry{customers: newLabelled[msg.CustomerID, Customer]()}
}

// SetCustomers declares the customers of the settings in force. The counters
// of customers that stay are kept.
func (e *Entry) SetCustomers(ids []msg.CustomerID) { e.customers.declare(ids) }

// Customer returns the counters of id; never nil.
func (e *Entry) Customer(id msg.CustomerID) *Customer { return e.customers.get(id) }

// Denied counts a request that was turned away before its customer was known,
// such as for a bad key.
func (e *Entry) Denied(reason string) { e.denied.add(reason) }

// EntryState is what Entry shows. Customers without a request since the
// process started are left out.
type EntryState struct {
	Bounds    []Seconds                           `json:"latency_bounds_seconds"`
	Denied    map[string]uint64                   `json:"denied_total"`
	Customers map[msg.CustomerID]CustomerCounters `json:"customers"`
}

func (e *Entry) view() EntryState {
	v := EntryState{
		Bounds:    Bounds(),
		Denied:    e.denied.view(),
		Customers: map[msg.CustomerID]CustomerCounters{},
	}
	for id, c := range e.customers.all() {
		if c.requests.Load() > 0 {
			v.Customers[id] = c.view()
		}
	}
	return v
}

// Customer holds one customer's counters at this router.
type Customer struct {
	requests atomic.Uint64
	answered atomic.Uint64
	unknown  atomic.Uint64
	failed   atomic.Uint64
	gone     atomic.Uint64
	refused  names
	running  atomic.Int64
	waiting  atomic.Int64
	first    objective
	between  objective
	firsts   Histogram
	totals   Histogram
	waits    Histogram
}

// objective counts what met and what missed a promised duration.
type objective struct {
	met, missed atomic.Uint64
}

func (o *objective) observe(d, promised time.Duration) {
	switch {
	case promised == 0:
	case d <= promised:
		o.met.Add(1)
	default:
		o.missed.Add(1)
	}
}

func (o *objective) view() ObjectiveCounters {
	return ObjectiveCounters{Met: o.met.Load(), Missed: o.missed.Load()}
}

// Request counts a request that came in with a valid key.
func (c *Customer) Request() { c.requests.Add(1) }

// Answered counts a request that got its complete response after total.
func (c *Customer) Answered(total time.Duration) {
	c.answered.Add(1)
	c.totals.Observe(total)
}

// Refused counts a request that did not run, by reason.
func (c *Customer) Refused(reason string) { c.refused.add(reason) }

// Unknown counts a request whose caller was told that it may have run.
func (c *Customer) Unknown() { c.unknown.Add(1) }

// Failed counts a request that ran and whose answer did not arrive whole.
func (c *Customer) Failed() { c.failed.Add(1) }

// Gone counts a request whose caller went before its answer.
func (c *Customer) Gone() { c.gone.Add(1) }

// Running adds n, which may be negative, to the requests running.
func (c *Customer) Running(n int) { c.running.Add(int64(n)) }

// Waiting adds n, which may be negative, to the requests waiting.
func (c *Customer) Waiting(n int) { c.waiting.Add(int64(n)) }

// Waited counts the time from arrival to a slot.
func (c *Customer) Waited(d time.Duration) { c.waits.Observe(d) }

// FirstToken counts the time from arrival to the first token or byte against
// what is promised; 0: nothing is.
func (c *Customer) FirstToken(d, promised time.Duration) {
	c.firsts.Observe(d)
	c.first.observe(d, promised)
}

// BetweenTokens counts an answer's mean gap between tokens against what is
// promised; 0: nothing is.
func (c *Customer) BetweenTokens(gap, promised time.Duration) {
	c.between.observe(gap, promised)
}

// ObjectiveCounters are an objective's counters as published.
type ObjectiveCounters struct {
	Met    uint64 `json:"met_total"`
	Missed uint64 `json:"missed_total"`
}

// CustomerCounters are a customer's values as published.
type CustomerCounters struct {
	Requests      uint64            `json:"requests_total"`
	Answered      uint64            `json:"answered_total"`
	Refused       map[string]uint64 `json:"refused_total"`
	Unknown       uint64            `json:"unknown_total"`
	Failed        uint64            `json:"failed_total"`
	Gone          uint64            `json:"gone_total"`
	Running       int64             `json:"running_requests"`
	Waiting       int64             `json:"waiting_requests"`
	FirstToken    ObjectiveCounters `json:"first_token"`
	BetweenTokens ObjectiveCounters `json:"between_tokens"`
	FirstLatency  HistogramView     `json:"first_token_latency"`
	TotalLatency  HistogramView     `json:"total_latency"`
	WaitLatency   HistogramView     `json:"wait_latency"`
}

func (c *Customer) view() CustomerCounters {
	return CustomerCounters{
		Requests:      c.requests.Load(),
		Answered:      c.answered.Load(),
		Refused:       c.refused.view(),
		Unknown:       c.unknown.Load(),
		Failed:        c.failed.Load(),
		Gone:          c.gone.Load(),
		Running:       c.running.Load(),
		Waiting:       c.waiting.Load(),
		FirstToken:    c.first.view(),
		BetweenTokens: c.between.view(),
		FirstLatency:  c.firsts.view(),
		TotalLatency:  c.totals.view(),
		WaitLatency:   c.waits.view(),
	}
}
