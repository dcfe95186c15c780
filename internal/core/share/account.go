package share

import (
	"container/heap"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// hashBits is how much of a customer's hash the counters carry. Two customers
// of a pool whose hashes are equal would be counted as one.
const hashBits = 40

// rankStep spreads consecutive ranks evenly over 0 to 1 (the golden ratio).
const rankStep = 0.6180339887498949

func customerHash(id msg.CustomerID) uint64 {
	return xxhash.Sum64String(string(id)) >> (64 - hashBits)
}

// account is a customer in a pool at an admitter: what waits, and what has
// been served. Service is cost over weight.
type account struct {
	id      msg.CustomerID
	hash    uint64
	pool    *admitPool
	weight  float64
	mean    mean
	regs    []*registration
	turn    int // the registration whose turn it is
	waiting int
	usedAt  time.Duration

	own      float64 // served by this admitter while backlogged
	included float64 // of own, what total includes
	total    float64 // served by the fleet, at the last merge
	slots    int     // of the admitters where the customer waits
	rank     float64 // place among the pool's backlogged customers, 0 to 1
	active   bool    // backlogged at the last merge
	waited   bool    // has waited here since the last Up
	key      float64
	index    int // in the pool's heap; -1: not in it
}

// registration is what one entry has told of one of its queues.
type registration struct {
	entry   msg.RouterID
	queue   uint64
	account *account
	seq     uint64 // of the message that told it
	count   int
	slots   int
	at      time.Duration // last told
	avoid   []msg.ServerID
	pending []uint64 // grants that the entry had not seen when it last told
}

// admitPool is a pool at an admitter.
type admitPool struct {
	id       msg.PoolID
	plain    bool // a plain service: its calls are short, so slots are granted ahead
	accounts map[msg.CustomerID]*account
	byHash   map[uint64]*account
	heap     accountHeap // accounts with waiting requests, least served first
	fresh    []*account  // put into the heap since the last grants
	mean     mean
	slots    int           // this admitter's
	floor    float64       // the fleet's floor at the last merge
	sorted   []*poolServer // the servers that hold it
	told     Have          // to the directory
	toldAt   time.Duration
	position float64 // place among the pool's admitters, 0 to 1
}

// share is the part of the customer's service that this admitter answers for.
func (a *account) share() float64 {
	all := a.slots
	for _, r := range a.regs {
		if r.count > 0 {
			all = max(all, r.slots)
		}
	}
	if all <= a.pool.slots || a.pool.slots == 0 {
		return 1
	}
	return float64(a.pool.slots) / float64(all)
}

// level is the customer's estimated service by the whole fleet: the total at
// the last merge, and what this admitter has given since on behalf of all, as
// the others where the customer waits do likewise.
func (a *account) level() float64 {
	return a.total + (a.own-a.included)/a.share()
}

// order is what the pool's accounts are ordered by: the level with a part of a
// request added, spread evenly over the customers at an admitter, and over the
// admitters for a customer. Without it, admitters that each grant a customer
// less than one request between merges would all choose the same few
// customers.
func (a *account) order() float64 {
	if !a.active {
		return a.level()
	}
	_, phase := math.Modf(a.pool.position + a.rank)
	part := (phase - 0.5) * float64(estimate(a.mean, a.pool.mean)) / a.weight
	return a.level() + part/a.share()
}

// place takes the admitter's place in the directory's list.
func (p *admitPool) place(self msg.RouterID, list Admitters) {
	all, before := 0, 0
	for i, id := range list.Routers {
		if id == self {
			before = all + list.Slots[i]/2
		}
		all += list.Slots[i]
	}
	if all > 0 {
		p.position = float64(before) / float64(all)
	}
}

// charge adds service and puts the account in its new place. What a customer
// gets while it is backlogged nowhere is free: it takes from nobody.
func (a *account) charge(cost msg.Cost) {
	if !a.active && !a.waited {
		return
	}
	a.own += float64(cost) / a.weight
	a.rekey()
}

func (a *account) rekey() {
	a.key = a.order()
	if a.index >= 0 {
		heap.Fix(&a.pool.heap, a.index)
	}
}

// setWaiting puts the account into the heap or takes it out.
func (a *account) setWaiting(n int) {
	a.waiting = n
	switch {
	case n > 0 && a.index < 0:
		a.lift()
		a.key = a.order()
		heap.Push(&a.pool.heap, a)
		a.pool.fresh = append(a.pool.fresh, a)
	case n == 0 && a.index >= 0:
		heap.Remove(&a.pool.heap, a.index)
	}
}

// lift puts a customer that comes back from idle level with the one that is
// next: it has no credit for the past, and no debt.
func (a *account) lift() {
	if a.active || a.waited {
		return
	}
	a.included = a.own
	a.total = a.pool.floor
	if len(a.pool.heap) > 0 {
		a.total = a.pool.heap[0].key
	}
}

func (p *admitPool) account(id msg.CustomerID) *account {
	a, ok := p.accounts[id]
	if !ok {
		a = &account{id: id, hash: customerHash(id), pool: p, weight: 1, index: -1}
		p.accounts[id] = a
		p.byHash[a.hash] = a
	}
	return a
}

// accountHeap orders accounts by their keys.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].hash < h[j].hash
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.index = -1
	return a
}
