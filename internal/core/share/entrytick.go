package share

import (
	"slices"
	"sort"
	"time"
)

// sweepInterval is between two looks for state to forget or repeat.
const sweepInterval = time.Second

// widenFactor is how much longer each further widening takes to come. The
// directory brings a waiting queue to free slots; the widening only gives it
// more admitters to be next at.
const widenFactor = 4

// tick spreads waits that last, gives up those over their time, and keeps held
// grants alive.
func (e *entry) tick() {
	for _, q := range e.waitingQueues() {
		e.expire(q)
		e.avoidNoMore(q)
		e.widen(q)
	}
	e.keepAlive()
	if e.n.now >= e.sweepAt {
		e.sweepAt = e.n.now + sweepInterval
		e.sweep()
	}
}

// waitingQueues returns the queues with waiting requests, and forgets which
// have none left. Queues that become active meanwhile are not in it.
func (e *entry) waitingQueues() []*queue {
	list := e.active[:0]
	for _, q := range e.active {
		if q.size > 0 {
			list = append(list, q)
			continue
		}
		q.listed = false
	}
	clear(e.active[len(list):])
	e.active = list
	return list
}

// expire refuses the requests at the queue's head whose time is over.
func (e *entry) expire(q *queue) {
	for w := q.head(); w != nil; w = q.head() {
		waited := e.n.now - w.at
		limit := w.req.Limits.QueueTime
		switch {
		case limit > 0 && waited >= limit:
			e.leave(w)
			e.refuse(q.customer, w.req.ID, QueueTimeout)
		case len(q.pool.admitters) == 0 && waited >= e.n.cfg.NoServerAfter:
			e.leave(w)
			e.refuse(q.customer, w.req.ID, NoServer)
		default:
			return
		}
	}
}

// avoidNoMore lets requests that have waited long take any server.
func (e *entry) avoidNoMore(q *queue) {
	if len(q.avoid) == 0 {
		return
	}
	for w := q.head(); w != nil && e.n.now-w.at >= avoidFor; w = q.head() {
		e.leave(w)
		e.enqueue(q.customer, &waiter{req: w.req, at: w.at}, nil)
	}
}

// widen registers a lasting wait with more admitters, up to twice its number
// of requests, and tells the directory.
func (e *entry) widen(q *queue) {
	n := q.eligible()
	if n == 0 {
		return
	}
	all := len(q.pool.admitters)
	if all == 0 {
		e.askFor(q.pool, true)
		return
	}
	if e.n.now-q.spreadAt < q.widenAfter {
		return
	}
	e.askFor(q.pool, true)
	most := min(all, max(minSpread, n))
	if q.spread >= most {
		return
	}
	for i := range q.spread {
		q.pool.admitters[(q.start+i)%all].full = e.n.now + fullFor
	}
	q.spread = min(most, 2*max(1, q.spread))
	q.spreadAt, q.widenAfter = e.n.now, q.widenAfter*widenFactor
	e.touch(q)
}

// keepBy sees to it that the admitter gets a keep-alive by the time.
func (e *entry) keepBy(p *peer, at time.Duration) {
	if p.dueAt == 0 {
		e.due = append(e.due, p)
	}
	if p.dueAt == 0 || at < p.dueAt {
		p.dueAt = at
	}
}

// keepAlive sends the keep-alives that are due.
func (e *entry) keepAlive() {
	list := e.due
	e.due = nil
	for _, p := range list {
		if e.peers[p.id] != p {
			continue // the admitter has restarted
		}
		if e.n.now >= p.dueAt {
			e.sendHeld(p)
		}
		if p.dueAt > 0 {
			e.due = append(e.due, p)
		}
	}
}

// sendHeld tells an admitter which of its grants are held. Lower ones are void
// from then on, should they still come. So a grant is confirmed, and a lost
// end made good, soon after either.
func (e *entry) sendHeld(p *peer) {
	if m := e.n.to(p.id); m.about(p.incarnation) {
		m.Seen, m.Held = p.seen, p.heldList()
		m.Ends = append(m.Ends, p.ended...)
	}
	p.ended = nil
	p.void = p.seen
	p.got = map[uint64]bool{}
	p.dueAt = 0
	if len(p.held) > 0 {
		p.dueAt = e.n.now + e.n.cfg.KeepInterval
	}
}

func (p *peer) heldList() *Held {
	h := &Held{}
	for seq := range p.held {
		h.Seqs = append(h.Seqs, seq)
	}
	sort.Slice(h.Seqs, func(i, j int) bool { return h.Seqs[i] < h.Seqs[j] })
	for _, seq := range h.Seqs {
		h.Costs = append(h.Costs, p.held[seq].cost)
	}
	return h
}

// sweep forgets queues long empty and repeats old registrations.
func (e *entry) sweep() {
	for _, q := range e.waitingQueues() {
		e.refresh(q)
	}
	e.list = slices.DeleteFunc(e.list, e.forgetIdle)
	for id, c := range e.customers {
		if c.waiting == 0 && c.running == 0 && len(c.queues) == 0 {
			delete(e.customers, id)
		}
	}
}

// forgetIdle forgets a queue that has long been empty, and tells whether it
// did.
func (e *entry) forgetIdle(q *queue) bool {
	if q.size > 0 || q.dirty || q.listed || e.n.now-q.usedAt <= queueIdle {
		return false
	}
	delete(e.queues, q.key)
	delete(e.byNum, q.num)
	q.customer.forget(q)
	return true
}

func (c *entryCustomer) forget(q *queue) {
	for i, x := range c.queues {
		if x == q {
			c.queues = append(c.queues[:i], c.queues[i+1:]...)
			return
		}
	}
}

func (e *entry) refresh(q *queue) {
	for _, a := range q.pool.admitters {
		t := q.told[a.id]
		if t != nil && t.count > 0 && e.n.now-t.at >= waitRefresh {
			t.at = e.n.now
			e.sendWait(q, a.id, t)
		}
	}
}
