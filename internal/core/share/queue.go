package share

import (
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Limits and intervals of the entry.
const (
	minAdmitters        = 4                      // least number of admitters that a long wait is registered with
	registrationRefresh = 15 * time.Second       // interval at which registrations are repeated
	avoidTimeout        = 500 * time.Millisecond // after this wait, a request takes avoided servers too
	queueExpiry         = time.Minute            // an empty queue is deleted after this time
	confirmDelay        = 50 * time.Millisecond  // time until a grant is confirmed
	releaseRepeatDelay  = 100 * time.Millisecond // time until a release is repeated
	retryAfterMin       = time.Second
	retryAfterMax       = 30 * time.Second
)

// entry holds the waiting and running requests of this router's callers.
type entry struct {
	n             *Node
	waiting       map[msg.RequestID]*waiter
	running       map[msg.RequestID]*runningRequest
	queues        map[queueKey]*queue
	byNum         map[uint64]*queue
	allQueues     []*queue // sorted by number
	active        []*queue // have waiting requests, or had when last checked
	dirty         []*queue
	customers     map[msg.CustomerID]*entryCustomer
	pools         map[msg.PoolID]*entryPool
	poolList      []*entryPool // in the order of creation
	peers         map[msg.RouterID]*admitterPeer
	bytes         int64
	lastNum       uint64
	pickCount     uint64
	keepAlivesDue []*admitterPeer // admitters with a scheduled keep-alive
	sweepAt       time.Duration
}

type queueKey struct {
	pool     msg.PoolID
	customer msg.CustomerID
	avoid    string
}

// queue holds one customer's waiting requests for one pool, oldest first.
type queue struct {
	num           uint64
	key           queueKey
	pool          *entryPool
	customer      *entryCustomer
	weight        float64
	avoid         []msg.ServerID
	reqs          []*waiter // removed requests are dropped lazily
	size          int       // requests not removed
	registrations map[msg.RouterID]*sentRegistration
	firstAdmitter int           // index in pool.admitters of the first admitter with a registration
	admitterCount int           // number of admitters with a registration
	admitterSlots int           // total slots of those admitters
	widenedAt     time.Duration // when admitterCount was last set or raised
	widenDelay    time.Duration
	usedAt        time.Duration
	dirty         bool
	inActive      bool // contained in entry.active
}

// sentRegistration is what an admitter was last told about a queue.
type sentRegistration struct {
	count       int // less the grants received since then
	at          time.Duration
	weight      float64
	established bool // the admitter has granted to the queue, so it has the registration
}

type waiter struct {
	req     Request
	queue   *queue
	at      time.Duration
	removed bool
}

// runningRequest is a request that runs in a granted slot.
type runningRequest struct {
	customer            *entryCustomer
	admitter            msg.RouterID
	admitterIncarnation uint64
	seq                 uint64
	cost                msg.Cost
}

// entryCustomer counts a customer's requests at this entry.
type entryCustomer struct {
	waiting, running int
	limits           Limits
	queues           []*queue
	grantedAt        time.Duration
	grantGap         runningMean // seconds between two grants while requests wait
}

// admitterPeer is an entry's state of an admitter.
type admitterPeer struct {
	id           msg.RouterID
	incarnation  uint64
	highestGrant uint64 // highest sequence number received
	voidUpTo     uint64 // grants up to this one that are not held are void
	received     map[uint64]bool
	held         map[uint64]*runningRequest
	sentReleases []Release     // sent since the last keep-alive, which repeats them
	keepAliveAt  time.Duration // time of the next keep-alive; 0: none scheduled
}

func newEntry(n *Node) entry {
	return entry{
		n:         n,
		waiting:   map[msg.RequestID]*waiter{},
		running:   map[msg.RequestID]*runningRequest{},
		queues:    map[queueKey]*queue{},
		byNum:     map[uint64]*queue{},
		customers: map[msg.CustomerID]*entryCustomer{},
		pools:     map[msg.PoolID]*entryPool{},
		peers:     map[msg.RouterID]*admitterPeer{},
	}
}

func (e *entry) arrive(r Request) {
	if e.waiting[r.ID] != nil || e.running[r.ID] != nil {
		return
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	c := e.customer(r.Customer)
	c.limits = r.Limits
	switch {
	case r.Limits.QueueLen > 0 && c.waiting >= r.Limits.QueueLen:
		e.refuse(c, r.ID, QueueFull)
		return
	case len(e.waiting) >= e.n.cfg.QueueRequests || e.bytes+int64(r.Bytes) > e.n.cfg.QueueBytes:
		e.refuse(c, r.ID, RouterFull)
		return
	}
	e.enqueue(c, &waiter{req: r, at: e.n.now}, r.Avoid)
}

func (e *entry) enqueue(c *entryCustomer, w *waiter, avoid []msg.ServerID) {
	q := e.queue(c, w.req, avoid)
	w.queue = q
	q.reqs = append(q.reqs, w)
	q.size++
	q.pool.waiting++
	c.waiting++
	if !q.inActive {
		q.inActive = true
		e.active = append(e.active, q)
	}
	e.bytes += int64(w.req.Bytes)
	e.waiting[w.req.ID] = w
	e.markDirty(q)
}

func (e *entry) customer(id msg.CustomerID) *entryCustomer {
	c, ok := e.customers[id]
	if !ok {
		c = new(entryCustomer)
		e.customers[id] = c
	}
	return c
}

// queue returns the request's queue. Requests that avoid servers have separate
// queues, so that an admitter knows which servers it may grant them.
func (e *entry) queue(c *entryCustomer, r Request, avoid []msg.ServerID) *queue {
	key := queueKey{pool: r.Pool, customer: r.Customer, avoid: joinServers(avoid)}
	q, ok := e.queues[key]
	if !ok {
		e.lastNum++
		q = &queue{
			num: e.lastNum, key: key, pool: e.pool(r.Pool), customer: c,
			avoid: avoid, registrations: map[msg.RouterID]*sentRegistration{},
		}
		e.queues[key] = q
		e.byNum[q.num] = q
		e.allQueues = append(e.allQueues, q)
		c.queues = append(c.queues, q)
	}
	q.weight = r.Weight
	q.usedAt = e.n.now
	return q
}

func joinServers(list []msg.ServerID) string {
	if len(list) == 0 {
		return ""
	}
	var b strings.Builder
	for _, s := range list {
		b.WriteString(string(s))
		b.WriteByte(0)
	}
	return b.String()
}

func (e *entry) markDirty(q *queue) {
	if !q.dirty {
		q.dirty = true
		e.dirty = append(e.dirty, q)
	}
}

// markAllDirty marks all of the customer's queues, as they share its
// concurrency limit.
func (e *entry) markAllDirty(c *entryCustomer) {
	for _, q := range c.queues {
		e.markDirty(q)
	}
}

// dequeue removes a request from its queue.
func (e *entry) dequeue(w *waiter) {
	w.removed = true
	w.queue.size--
	w.queue.pool.waiting--
	w.queue.customer.waiting--
	e.bytes -= int64(w.req.Bytes)
	delete(e.waiting, w.req.ID)
	e.markDirty(w.queue)
}

func (q *queue) dropRemoved() {
	for len(q.reqs) > 0 && q.reqs[0].removed {
		q.reqs[0] = nil
		q.reqs = q.reqs[1:]
	}
}

// head returns the oldest waiting request, or nil.
func (q *queue) head() *waiter {
	q.dropRemoved()
	if len(q.reqs) == 0 {
		return nil
	}
	return q.reqs[0]
}

// eligible returns how many requests may run under the customer's concurrency
// limit.
func (q *queue) eligible() int {
	limit := q.customer.limits.Concurrency
	if limit == 0 {
		return q.size
	}
	return max(0, min(q.size, limit-q.customer.running))
}

func (e *entry) cancel(id msg.RequestID) {
	if w := e.waiting[id]; w != nil {
		e.dequeue(w)
	}
}

func (e *entry) refuse(c *entryCustomer, id msg.RequestID, why Reason) {
	e.n.ready.Refuse = append(e.n.ready.Refuse, Refusal{Request: id, Reason: why, RetryAfter: c.retryAfter()})
}

// retryAfter returns the time in which half of the customer's queue will be
// served at the current rate.
func (c *entryCustomer) retryAfter() time.Duration {
	d := time.Duration(c.grantGap.value * float64(c.waiting) / 2 * float64(time.Second))
	return min(max(d, retryAfterMin), retryAfterMax).Truncate(time.Second)
}

// recordGrant updates the mean time between grants if the customer has more
// requests waiting.
func (c *entryCustomer) recordGrant(now time.Duration) {
	if c.waiting > 0 && c.grantedAt > 0 {
		c.grantGap.add((now - c.grantedAt).Seconds())
	}
	c.grantedAt = now
}

func (e *entry) progress(id msg.RequestID, cost msg.Cost) {
	if r := e.running[id]; r != nil {
		r.cost = cost
	}
}

func (e *entry) end(id msg.RequestID, res Result) {
	r := e.running[id]
	if r == nil {
		return
	}
	delete(e.running, id)
	r.customer.running--
	e.markAllDirty(r.customer)
	p := e.peers[r.admitter]
	if p == nil || p.incarnation != r.admitterIncarnation {
		return
	}
	delete(p.held, r.seq)
	e.sendRelease(p, releaseOf(r.seq, res))
}

func releaseOf(seq uint64, res Result) Release {
	release := Release{Seq: seq, Cost: res.Cost, FirstTokenMs: millis(res.First), TotalMs: millis(res.Total)}
	if res.Busy {
		release.Flags |= releaseOverloaded
	}
	if res.Leaving {
		release.Flags |= releaseLeaving
	}
	if res.Unused && !res.Busy && !res.Leaving {
		release.Flags |= releaseUnused
	}
	return release
}

// millis returns d in milliseconds, rounded up so that 0 means no time at all.
func millis(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func (e *entry) sendRelease(p *admitterPeer, release Release) {
	if m := e.n.messageTo(p.id); m.addressTo(p.incarnation) {
		m.Releases = append(m.Releases, release)
	}
	p.sentReleases = append(p.sentReleases, release)
	e.scheduleKeepAlive(p, e.n.now+releaseRepeatDelay)
}

// peerOf returns the state of an admitter's given incarnation and discards that
// of an earlier one. It returns nil if a later incarnation is known.
func (e *entry) peerOf(id msg.RouterID, incarnation uint64) *admitterPeer {
	p := e.peers[id]
	if p != nil && p.incarnation > incarnation {
		return nil
	}
	if p == nil || p.incarnation < incarnation {
		p = &admitterPeer{id: id, incarnation: incarnation, received: map[uint64]bool{}, held: map[uint64]*runningRequest{}}
		e.peers[id] = p
		e.forgetRegistrations(id)
	}
	return p
}

// forgetRegistrations discards the registrations with an admitter that is gone
// or has restarted.
func (e *entry) forgetRegistrations(id msg.RouterID) {
	for _, q := range e.allQueues {
		if q.registrations[id] != nil {
			delete(q.registrations, id)
			e.markDirty(q)
		}
	}
}

// handleGrant starts the queue's oldest request in the granted slot, or returns
// the slot if no request is eligible.
func (e *entry) handleGrant(from msg.RouterID, incarnation uint64, g Grant) {
	p := e.peerOf(from, incarnation)
	if p == nil {
		return
	}
	e.scheduleKeepAlive(p, e.n.now+confirmDelay)
	if p.received[g.Seq] || g.Seq <= p.voidUpTo {
		return
	}
	p.received[g.Seq] = true
	p.highestGrant = max(p.highestGrant, g.Seq)
	q := e.byNum[g.QueueID]
	if q == nil || q.eligible() == 0 {
		e.sendRelease(p, Release{Seq: g.Seq, Flags: releaseUnused})
		return
	}
	if t := q.registrations[from]; t != nil {
		t.count = max(0, t.count-1)
		t.established = true
	}
	q.pool.noteGrant(from)
	w := q.head()
	e.dequeue(w)
	r := &runningRequest{customer: q.customer, admitter: from, admitterIncarnation: incarnation, seq: g.Seq}
	q.customer.running++
	q.customer.recordGrant(e.n.now)
	e.markAllDirty(q.customer)
	e.running[w.req.ID] = r
	p.held[g.Seq] = r
	e.n.ready.Start = append(e.n.ready.Start, Start{Request: w.req.ID, Server: g.Server, Addr: g.Addr})
}
