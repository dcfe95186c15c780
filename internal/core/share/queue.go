package share

import (
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Times and sizes of the entry side.
const (
	minSpread     = 4                      // admitters a lasting wait is registered with, at least
	waitRefresh   = 15 * time.Second       // a registration is repeated
	avoidFor      = 500 * time.Millisecond // a wait this long takes avoided servers too
	queueIdle     = time.Minute            // an empty queue is forgotten
	confirmAfter  = 50 * time.Millisecond  // a grant is confirmed
	repeatAfter   = 100 * time.Millisecond // an end is repeated
	retryAfterMin = time.Second
	retryAfterMax = 30 * time.Second
)

// entry holds the waiting and running requests of this router's callers.
type entry struct {
	n         *Node
	waiting   map[msg.RequestID]*waiter
	running   map[msg.RequestID]*run
	queues    map[queueKey]*queue
	byNum     map[uint64]*queue
	list      []*queue // all, by number
	active    []*queue // with requests waiting; some may have none left
	dirty     []*queue
	customers map[msg.CustomerID]*entryCustomer
	pools     map[msg.PoolID]*entryPool
	poolList  []*entryPool // in the order they were met
	peers     map[msg.RouterID]*peer
	bytes     int64
	lastNum   uint64
	picks     uint64
	due       []*peer // to be sent a keep-alive
	sweepAt   time.Duration
}

type queueKey struct {
	pool     msg.PoolID
	customer msg.CustomerID
	avoid    string
}

// queue is one customer's waiting requests for one pool, oldest first.
type queue struct {
	num        uint64
	key        queueKey
	pool       *entryPool
	customer   *entryCustomer
	weight     float64
	avoid      []msg.ServerID
	reqs       []*waiter // the given up are removed lazily
	size       int       // those still waiting
	told       map[msg.RouterID]*told
	start      int           // index in the pool's admitters of the first told
	spread     int           // how many admitters are told
	slots      int           // of those told
	spreadAt   time.Duration // when it was last widened
	widenAfter time.Duration
	usedAt     time.Duration
	dirty      bool
	listed     bool // in the entry's active queues
}

// told is what an admitter was last told of a queue.
type told struct {
	count  int // less the grants received since
	at     time.Duration
	weight float64
	known  bool // the admitter has granted to the queue, so it knows what it is
}

type waiter struct {
	req   Request
	queue *queue
	at    time.Duration
	gone  bool
}

// run is a request that runs in a granted slot.
type run struct {
	customer *entryCustomer
	admitter msg.RouterID
	of       uint64 // the admitter's incarnation
	seq      uint64
	cost     msg.Cost
}

// entryCustomer counts a customer's requests at this entry.
type entryCustomer struct {
	waiting, running int
	limits           Limits
	queues           []*queue
	grantedAt        time.Duration
	gap              mean // seconds between two grants while requests wait
}

// peer is an admitter as this entry knows it.
type peer struct {
	id          msg.RouterID
	incarnation uint64
	seen        uint64 // highest grant received
	void        uint64 // grants up to this one that are not held are void
	got         map[uint64]bool
	held        map[uint64]*run
	ended       []End         // sent since the last keep-alive, which repeats them
	dueAt       time.Duration // of the next keep-alive; 0: none
}

func newEntry(n *Node) entry {
	return entry{
		n:         n,
		waiting:   map[msg.RequestID]*waiter{},
		running:   map[msg.RequestID]*run{},
		queues:    map[queueKey]*queue{},
		byNum:     map[uint64]*queue{},
		customers: map[msg.CustomerID]*entryCustomer{},
		pools:     map[msg.PoolID]*entryPool{},
		peers:     map[msg.RouterID]*peer{},
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
	if !q.listed {
		q.listed = true
		e.active = append(e.active, q)
	}
	e.bytes += int64(w.req.Bytes)
	e.waiting[w.req.ID] = w
	e.touch(q)
}

func (e *entry) customer(id msg.CustomerID) *entryCustomer {
	c, ok := e.customers[id]
	if !ok {
		c = new(entryCustomer)
		e.customers[id] = c
	}
	return c
}

// queue returns the request's queue. Requests that avoid servers have queues
// of their own, so that an admitter knows what it may grant them.
func (e *entry) queue(c *entryCustomer, r Request, avoid []msg.ServerID) *queue {
	key := queueKey{pool: r.Pool, customer: r.Customer, avoid: joinServers(avoid)}
	q, ok := e.queues[key]
	if !ok {
		e.lastNum++
		q = &queue{
			num: e.lastNum, key: key, pool: e.pool(r.Pool), customer: c,
			avoid: avoid, told: map[msg.RouterID]*told{},
		}
		e.queues[key] = q
		e.byNum[q.num] = q
		e.list = append(e.list, q)
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

func (e *entry) touch(q *queue) {
	if !q.dirty {
		q.dirty = true
		e.dirty = append(e.dirty, q)
	}
}

// touchAll marks the customer's queues, whose concurrency limit they share.
func (e *entry) touchAll(c *entryCustomer) {
	for _, q := range c.queues {
		e.touch(q)
	}
}

// leave takes a request out of its queue.
func (e *entry) leave(w *waiter) {
	w.gone = true
	w.queue.size--
	w.queue.pool.waiting--
	w.queue.customer.waiting--
	e.bytes -= int64(w.req.Bytes)
	delete(e.waiting, w.req.ID)
	e.touch(w.queue)
}

func (q *queue) trim() {
	for len(q.reqs) > 0 && q.reqs[0].gone {
		q.reqs[0] = nil
		q.reqs = q.reqs[1:]
	}
}

// head returns the oldest waiting request, or nil.
func (q *queue) head() *waiter {
	q.trim()
	if len(q.reqs) == 0 {
		return nil
	}
	return q.reqs[0]
}

// eligible is how many requests could run now.
func (q *queue) eligible() int {
	limit := q.customer.limits.Concurrency
	if limit == 0 {
		return q.size
	}
	return max(0, min(q.size, limit-q.customer.running))
}

func (e *entry) cancel(id msg.RequestID) {
	if w := e.waiting[id]; w != nil {
		e.leave(w)
	}
}

func (e *entry) refuse(c *entryCustomer, id msg.RequestID, why Reason) {
	e.n.ready.Refuse = append(e.n.ready.Refuse, Refuse{Request: id, Reason: why, RetryAfter: c.retryAfter()})
}

// retryAfter is the time in which half of the customer's queue will be served,
// at the pace of late.
func (c *entryCustomer) retryAfter() time.Duration {
	d := time.Duration(c.gap.value * float64(c.waiting) / 2 * float64(time.Second))
	return min(max(d, retryAfterMin), retryAfterMax).Truncate(time.Second)
}

// paced notes a grant to a customer that has more requests waiting.
func (c *entryCustomer) paced(now time.Duration) {
	if c.waiting > 0 && c.grantedAt > 0 {
		c.gap.add((now - c.grantedAt).Seconds())
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
	e.touchAll(r.customer)
	p := e.peers[r.admitter]
	if p == nil || p.incarnation != r.of {
		return
	}
	delete(p.held, r.seq)
	e.sendEnd(p, endOf(r.seq, res))
}

func endOf(seq uint64, res Result) End {
	end := End{Seq: seq, Cost: res.Cost, First: millis(res.First), Total: millis(res.Total)}
	if res.Busy {
		end.Flags |= endBusy
	}
	if res.Leaving {
		end.Flags |= endLeaving
	}
	if res.Unused && !res.Busy && !res.Leaving {
		end.Flags |= endReturned
	}
	return end
}

// millis rounds up, so that only no time at all is 0.
func millis(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func (e *entry) sendEnd(p *peer, end End) {
	if m := e.n.to(p.id); m.about(p.incarnation) {
		m.Ends = append(m.Ends, end)
	}
	p.ended = append(p.ended, end)
	e.keepBy(p, e.n.now+repeatAfter)
}

// peerOf returns what is known of an admitter, forgetting an earlier
// incarnation. It is nil if the message itself is of an earlier one.
func (e *entry) peerOf(id msg.RouterID, incarnation uint64) *peer {
	p := e.peers[id]
	if p != nil && p.incarnation > incarnation {
		return nil
	}
	if p == nil || p.incarnation < incarnation {
		p = &peer{id: id, incarnation: incarnation, got: map[uint64]bool{}, held: map[uint64]*run{}}
		e.peers[id] = p
		e.untell(id)
	}
	return p
}

// untell forgets what a restarted or gone admitter was told.
func (e *entry) untell(id msg.RouterID) {
	for _, q := range e.list {
		if q.told[id] != nil {
			delete(q.told, id)
			e.touch(q)
		}
	}
}

// grant takes a slot for a queue: it starts the oldest request, or returns the
// slot if there is none.
func (e *entry) grant(from msg.RouterID, incarnation uint64, g Grant) {
	p := e.peerOf(from, incarnation)
	if p == nil {
		return
	}
	e.keepBy(p, e.n.now+confirmAfter)
	if p.got[g.Seq] || g.Seq <= p.void {
		return
	}
	p.got[g.Seq] = true
	p.seen = max(p.seen, g.Seq)
	q := e.byNum[g.Queue]
	if q == nil || q.eligible() == 0 {
		e.sendEnd(p, End{Seq: g.Seq, Flags: endReturned})
		return
	}
	if t := q.told[from]; t != nil {
		t.count = max(0, t.count-1)
		t.known = true
	}
	q.pool.granted(from)
	w := q.head()
	e.leave(w)
	r := &run{customer: q.customer, admitter: from, of: incarnation, seq: g.Seq}
	q.customer.running++
	q.customer.paced(e.n.now)
	e.touchAll(q.customer)
	e.running[w.req.ID] = r
	p.held[g.Seq] = r
	e.n.ready.Start = append(e.n.ready.Start, Start{Request: w.req.ID, Server: g.Server, Addr: g.Addr})
}
