package share

import (
	"container/heap"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// hashBits is the number of bits of a customer's hash in the counters. Two
// customers of a pool whose hashes collide are counted as one.
const hashBits = 40

// rankStep spaces consecutive ranks evenly in [0, 1) (the fractional part of
// the golden ratio).
const rankStep = 0.6180339887498949

func customerHash(id msg.CustomerID) uint64 {
	return xxhash.Sum64String(string(id)) >> (64 - hashBits)
}

// account is an admitter's record of a customer in a pool: the waiting requests
// and the service received. Service is cost divided by weight.
type account struct {
	id           msg.CustomerID
	hash         uint64
	pool         *admitPool
	weight       float64
	mean         runningMean
	regs         []*registeredQueue
	nextRegIndex int // index of the registration that is next in the rotation
	waiting      int
	usedAt       time.Duration

	localServed      float64 // served by this admitter while the customer was backlogged
	localMerged      float64 // the part of localServed that mergedTotal includes
	mergedTotal      float64 // served by the fleet, as of the last merge
	slots            int     // of all admitters where the customer waits
	rank             float64 // position among the pool's backlogged customers, times rankStep
	active           bool    // backlogged as of the last merge
	waitedSinceMerge bool    // has waited here since the last merge
	key              float64
	index            int // in the pool's heap; -1: not in the heap
}

// registeredQueue is a queue that an entry has registered here.
type registeredQueue struct {
	entry   msg.RouterID
	queue   uint64
	account *account
	seq     uint64 // of the message with the last registration
	count   int
	slots   int
	at      time.Duration // of the last registration
	avoid   []msg.ServerID
	unseen  []uint64 // grants that the entry had not received when it sent the last registration
}

// admitPool is an admitter's state of a pool.
type admitPool struct {
	id             msg.PoolID
	plainService   bool // the pool is a plain service: its calls are short, so slots are granted ahead of time
	accounts       map[msg.CustomerID]*account
	byHash         map[uint64]*account
	heap           accountHeap // accounts with waiting requests, least served first
	newlyQueued    []*account  // added to the heap since the last run of grantAll
	mean           runningMean
	slots          int           // that this router admits to
	floor          float64       // least total of the fleet's backlogged customers, as of the last merge
	servers        []*poolServer // owned servers that hold the pool
	lastCapacity   Capacity      // last sent to the directory
	capacitySentAt time.Duration
	position       float64 // of this admitter among the pool's admitters, weighted by slots; 0 to 1
}

// localShare returns the part of the customer's service that this admitter
// accounts for: its slots divided by the slots of all admitters where the
// customer waits.
func (a *account) localShare() float64 {
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

// fleetServed estimates the customer's service by the whole fleet: the total of
// the last merge plus the local service since then, extrapolated to the other
// admitters where the customer waits, which presumably grant at the same rate.
func (a *account) fleetServed() float64 {
	return a.mergedTotal + (a.localServed-a.localMerged)/a.localShare()
}

// sortKey returns the key that orders the pool's accounts: fleetServed plus a
// fraction of a request's cost, which is spread evenly over the customers at an
// admitter and over the admitters for a customer. Without this offset,
// admitters that each grant a customer less than one request between merges
// would all choose the same few customers.
func (a *account) sortKey() float64 {
	if !a.active {
		return a.fleetServed()
	}
	_, phase := math.Modf(a.pool.position + a.rank)
	part := (phase - 0.5) * float64(estimateCost(a.mean, a.pool.mean)) / a.weight
	return a.fleetServed() + part/a.localShare()
}

// updatePosition sets the admitter's position from the directory's list.
func (p *admitPool) updatePosition(self msg.RouterID, list AdmitterList) {
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

// charge adds a cost to the account's service and updates its place in the
// heap. Service to a customer that is not backlogged anywhere is not counted,
// as it takes slots from nobody.
func (a *account) charge(cost msg.Cost) {
	if !a.active && !a.waitedSinceMerge {
		return
	}
	a.localServed += float64(cost) / a.weight
	a.updateKey()
}

func (a *account) updateKey() {
	a.key = a.sortKey()
	if a.index >= 0 {
		heap.Fix(&a.pool.heap, a.index)
	}
}

// setWaiting sets the number of waiting requests, and adds the account to the
// heap or removes it accordingly.
func (a *account) setWaiting(n int) {
	a.waiting = n
	switch {
	case n > 0 && a.index < 0:
		a.resetToCurrentLevel()
		a.key = a.sortKey()
		heap.Push(&a.pool.heap, a)
		a.pool.newlyQueued = append(a.pool.newlyQueued, a)
	case n == 0 && a.index >= 0:
		heap.Remove(&a.pool.heap, a.index)
	}
}

// resetToCurrentLevel sets the service of a customer that returns from idle to
// that of the customer next in line, or to the floor if none waits, so that it
// has neither credit nor debt from the past.
func (a *account) resetToCurrentLevel() {
	if a.active || a.waitedSinceMerge {
		return
	}
	a.localMerged = a.localServed
	a.mergedTotal = a.pool.floor
	if len(a.pool.heap) > 0 {
		a.mergedTotal = a.pool.heap[0].key
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

// accountHeap is a min-heap of accounts by key.
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
