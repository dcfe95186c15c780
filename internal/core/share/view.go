package share

import (
	"sort"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// CustomerView is a Node's state of a customer in a pool, for operators.
type CustomerView struct {
	Pool     msg.PoolID     `json:"pool"`
	Customer msg.CustomerID `json:"customer"`

	// State of this router as an entry.
	Waiting     int           `json:"waiting"`
	LongestWait time.Duration `json:"longestNs"` // of the requests waiting now
	Admitters   int           `json:"admitters"` // with a registration of the waiting requests
	PoolSlots   int           `json:"poolSlots"` // of all admitters known here
	WaitingFor  string        `json:"waitingFor,omitempty"`

	// State of this router as an admitter.
	Registered     int     `json:"registered"` // requests waiting here, of all entries
	Weight         float64 `json:"weight"`
	LocalServed    float64 `json:"served"` // weighted service granted here while backlogged
	FleetServed    float64 `json:"level"`  // estimated weighted service by the fleet
	Floor          float64 `json:"floor"`  // least weighted service of the pool's backlogged customers
	CustomersAhead int     `json:"ahead"`  // customers waiting here that are served first
}

// Values of CustomerView.WaitingFor.
const (
	waitingForAdmitter    = "a router that admits to the pool"
	waitingForSlot        = "a free slot"
	waitingForTurn        = "its turn: customers with less service come first"
	waitingForConcurrency = "its own concurrency limit"
)

// ServerView is a Node's state of a backend server that it admits to.
type ServerView struct {
	Server           msg.ServerID
	Pools            []msg.PoolID
	Slots            int  // reported
	Limit            int  // derived from the outcomes of requests
	Running          int  // grants not yet ended
	UntrackedRunning int  // running without a grant of this router
	Reported         bool // a load report has arrived since the server was assigned to this router
	Leaving          bool
}

type viewKey struct {
	pool     msg.PoolID
	customer msg.CustomerID
}

// CustomerViews returns the state of each customer that waits here or was
// served by this router's grants while backlogged, sorted by pool and customer.
func (n *Node) CustomerViews() []CustomerView {
	views := map[viewKey]*CustomerView{}
	at := func(pool msg.PoolID, customer msg.CustomerID) *CustomerView {
		k := viewKey{pool, customer}
		if views[k] == nil {
			views[k] = &CustomerView{Pool: pool, Customer: customer}
		}
		return views[k]
	}
	for _, p := range n.admit.poolsByID {
		for id, a := range p.accounts {
			p.fillView(a, at(p.id, id))
		}
	}
	for _, q := range n.entry.allQueues {
		if q.size > 0 {
			q.fillView(n.now, at(q.key.pool, q.key.customer))
		}
	}
	return sortedViews(views)
}

func sortedViews(views map[viewKey]*CustomerView) []CustomerView {
	list := make([]CustomerView, 0, len(views))
	for _, v := range views {
		list = append(list, *v)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Pool != list[j].Pool {
			return list[i].Pool < list[j].Pool
		}
		return list[i].Customer < list[j].Customer
	})
	return list
}

func (p *admitPool) fillView(a *account, v *CustomerView) {
	v.Registered = a.waiting
	v.Weight = a.weight
	v.LocalServed = a.localServed
	v.FleetServed = a.fleetServed()
	v.Floor = p.floor
	for _, other := range p.heap {
		if other != a && other.waiting > 0 && other.key < a.key {
			v.CustomersAhead++
		}
	}
}

func (q *queue) fillView(now time.Duration, v *CustomerView) {
	v.Waiting += q.size
	v.PoolSlots = q.pool.slots
	v.Weight = q.weight
	v.Admitters = max(v.Admitters, len(q.registrations))
	for _, w := range q.reqs {
		if !w.removed {
			v.LongestWait = max(v.LongestWait, now-w.at)
		}
	}
	c := q.customer
	switch {
	case c.limits.Concurrency > 0 && c.running >= c.limits.Concurrency:
		v.WaitingFor = waitingForConcurrency
	case len(q.pool.admitters) == 0:
		v.WaitingFor = waitingForAdmitter
	case v.CustomersAhead > 0:
		v.WaitingFor = waitingForTurn
	default:
		v.WaitingFor = waitingForSlot
	}
}

// ServerViews returns the servers that this router admits to, sorted by ID.
func (n *Node) ServerViews() []ServerView {
	list := make([]ServerView, 0, len(n.admit.ownedServers))
	for _, s := range n.admit.ownedServers {
		list = append(list, ServerView{
			Server:           s.id,
			Pools:            s.pools,
			Slots:            s.limit.slots,
			Limit:            int(s.limit.value),
			Running:          s.outstanding,
			UntrackedRunning: s.untracked,
			Reported:         s.reported,
			Leaving:          s.leaving,
		})
	}
	return list
}
