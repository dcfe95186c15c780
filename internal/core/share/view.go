package share

import (
	"sort"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// View is what a Node holds of a customer in a pool, for operators.
type View struct {
	Pool     msg.PoolID     `json:"pool"`
	Customer msg.CustomerID `json:"customer"`

	// At this router as the entry.
	Waiting    int           `json:"waiting"`
	LongestNs  time.Duration `json:"longestNs"` // of those waiting now
	Admitters  int           `json:"admitters"` // that the wait is registered with
	PoolSlots  int           `json:"poolSlots"` // of all admitters known here
	WaitingFor string        `json:"waitingFor,omitempty"`

	// At this router as an admitter.
	Registered int     `json:"registered"` // requests waiting here, of all entries
	Weight     float64 `json:"weight"`
	Served     float64 `json:"served"` // weighted service granted here while backlogged
	Level      float64 `json:"level"`  // estimated weighted service of the fleet
	Floor      float64 `json:"floor"`  // least level among the pool's backlogged customers
	Ahead      int     `json:"ahead"`  // customers waiting here that come first
}

// What a waiting request waits for.
const (
	waitsForServer = "a router that admits to the pool"
	waitsForSlot   = "a free slot"
	waitsForTurn   = "its turn: customers with less service come first"
	waitsForOwn    = "its own concurrency limit"
)

// ServerView is what a Node holds of a backend server that it admits to.
type ServerView struct {
	Server   msg.ServerID
	Pools    []msg.PoolID
	Slots    int  // reported
	Limit    int  // found by what the server is seen to do
	Running  int  // granted and not ended
	Foreign  int  // running without a grant of this router
	Reported bool // there was a load report since the server became this router's
	Leaving  bool
}

type viewKey struct {
	pool     msg.PoolID
	customer msg.CustomerID
}

// Views returns what is held of every customer that waits here, or has been
// served by this router's grants while backlogged, ordered by pool and customer.
func (n *Node) Views() []View {
	views := map[viewKey]*View{}
	at := func(pool msg.PoolID, customer msg.CustomerID) *View {
		k := viewKey{pool, customer}
		if views[k] == nil {
			views[k] = &View{Pool: pool, Customer: customer}
		}
		return views[k]
	}
	for _, p := range n.admit.order {
		for id, a := range p.accounts {
			p.view(a, at(p.id, id))
		}
	}
	for _, q := range n.entry.list {
		if q.size > 0 {
			q.view(n.now, at(q.key.pool, q.key.customer))
		}
	}
	return sorted(views)
}

func sorted(views map[viewKey]*View) []View {
	list := make([]View, 0, len(views))
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

func (p *admitPool) view(a *account, v *View) {
	v.Registered = a.waiting
	v.Weight = a.weight
	v.Served = a.own
	v.Level = a.level()
	v.Floor = p.floor
	for _, other := range p.heap {
		if other != a && other.waiting > 0 && other.key < a.key {
			v.Ahead++
		}
	}
}

func (q *queue) view(now time.Duration, v *View) {
	v.Waiting += q.size
	v.PoolSlots = q.pool.slots
	v.Weight = q.weight
	v.Admitters = max(v.Admitters, len(q.told))
	for _, w := range q.reqs {
		if !w.gone {
			v.LongestNs = max(v.LongestNs, now-w.at)
		}
	}
	c := q.customer
	switch {
	case c.limits.Concurrency > 0 && c.running >= c.limits.Concurrency:
		v.WaitingFor = waitsForOwn
	case len(q.pool.admitters) == 0:
		v.WaitingFor = waitsForServer
	case v.Ahead > 0:
		v.WaitingFor = waitsForTurn
	default:
		v.WaitingFor = waitsForSlot
	}
}

// ServerViews returns the servers that this router admits to, by ID.
func (n *Node) ServerViews() []ServerView {
	list := make([]ServerView, 0, len(n.admit.mine))
	for _, s := range n.admit.mine {
		list = append(list, ServerView{
			Server:   s.id,
			Pools:    s.pools,
			Slots:    s.limit.slots,
			Limit:    int(s.limit.value),
			Running:  s.held,
			Foreign:  s.foreign,
			Reported: s.reported,
			Leaving:  s.leaving,
		})
	}
	return list
}
