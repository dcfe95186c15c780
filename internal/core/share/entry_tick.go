package share

import (
	"slices"
	"sort"
	"time"
)

// sweepInterval is the time between two runs of sweep.
const sweepInterval = time.Second

// widenFactor multiplies the delay before each further widening. The delay may
// grow because the directory brings a waiting queue to free slots; widening
// only adds admitters where the queue competes for the next slot.
const widenFactor = 4

// tick registers long waits with more admitters, refuses requests that have
// exceeded their time, and sends keep-alives.
func (e *entry) tick() {
	for _, q := range e.waitingQueues() {
		e.expire(q)
		e.stopAvoiding(q)
		e.widen(q)
	}
	e.keepAlive()
	if e.n.now >= e.sweepAt {
		e.sweepAt = e.n.now + sweepInterval
		e.sweep()
	}
}

// waitingQueues returns the queues with waiting requests, and removes the
// others from the list of active queues. Queues that become active later are
// not included.
func (e *entry) waitingQueues() []*queue {
	list := e.active[:0]
	for _, q := range e.active {
		if q.size > 0 {
			list = append(list, q)
			continue
		}
		q.inActive = false
	}
	clear(e.active[len(list):])
	e.active = list
	return list
}

// expire refuses requests at the queue's head that have exceeded their time.
func (e *entry) expire(q *queue) {
	for w := q.head(); w != nil; w = q.head() {
		waited := e.n.now - w.at
		limit := w.req.Limits.QueueTime
		switch {
		case limit > 0 && waited >= limit:
			e.dequeue(w)
			e.refuse(q.customer, w.req.ID, QueueTimeout)
		case len(q.pool.admitters) == 0 && waited >= e.n.cfg.NoServerTimeout:
			e.dequeue(w)
			e.refuse(q.customer, w.req.ID, NoServer)
		default:
			return
		}
	}
}

// stopAvoiding moves requests that have waited for avoidTimeout to a queue that
// takes any server.
func (e *entry) stopAvoiding(q *queue) {
	if len(q.avoid) == 0 {
		return
	}
	for w := q.head(); w != nil && e.n.now-w.at >= avoidTimeout; w = q.head() {
		e.dequeue(w)
		e.enqueue(q.customer, &waiter{req: w.req, at: w.at}, nil)
	}
}

// widen registers a queue that still waits with more admitters, and sends the
// demand to the directory. It doubles the number of admitters, up to the number
// of eligible requests or minAdmitters, whichever is greater.
func (e *entry) widen(q *queue) {
	n := q.eligible()
	if n == 0 {
		return
	}
	all := len(q.pool.admitters)
	if all == 0 {
		e.sendDemand(q.pool, true)
		return
	}
	if e.n.now-q.widenedAt < q.widenDelay {
		return
	}
	e.sendDemand(q.pool, true)
	most := min(all, max(minAdmitters, n))
	if q.admitterCount >= most {
		return
	}
	for i := range q.admitterCount {
		q.pool.admitters[(q.firstAdmitter+i)%all].fullUntil = e.n.now + fullDuration
	}
	q.admitterCount = min(most, 2*max(1, q.admitterCount))
	q.widenedAt, q.widenDelay = e.n.now, q.widenDelay*widenFactor
	e.markDirty(q)
}

// scheduleKeepAlive ensures that the admitter gets a keep-alive no later than
// at the given time.
func (e *entry) scheduleKeepAlive(p *admitterPeer, at time.Duration) {
	if p.keepAliveAt == 0 {
		e.keepAlivesDue = append(e.keepAlivesDue, p)
	}
	if p.keepAliveAt == 0 || at < p.keepAliveAt {
		p.keepAliveAt = at
	}
}

// keepAlive sends the keep-alives that are due.
func (e *entry) keepAlive() {
	list := e.keepAlivesDue
	e.keepAlivesDue = nil
	for _, p := range list {
		if e.peers[p.id] != p {
			continue // the admitter has restarted
		}
		if e.n.now >= p.keepAliveAt {
			e.sendKeepAlive(p)
		}
		if p.keepAliveAt > 0 {
			e.keepAlivesDue = append(e.keepAlivesDue, p)
		}
	}
}

// sendKeepAlive tells an admitter which of its grants are held. Lower grants
// that arrive later are void. Being sent soon after each grant and release, it
// confirms the grant and makes up for a lost release.
func (e *entry) sendKeepAlive(p *admitterPeer) {
	if m := e.n.messageTo(p.id); m.addressTo(p.incarnation) {
		m.HighestGrantSeen, m.KeepAlive = p.highestGrant, p.currentKeepAlive()
		m.Releases = append(m.Releases, p.sentReleases...)
	}
	p.sentReleases = nil
	p.voidUpTo = p.highestGrant
	p.received = map[uint64]bool{}
	p.keepAliveAt = 0
	if len(p.held) > 0 {
		p.keepAliveAt = e.n.now + e.n.cfg.KeepAliveInterval
	}
}

func (p *admitterPeer) currentKeepAlive() *KeepAlive {
	k := &KeepAlive{}
	for seq := range p.held {
		k.Seqs = append(k.Seqs, seq)
	}
	sort.Slice(k.Seqs, func(i, j int) bool { return k.Seqs[i] < k.Seqs[j] })
	for _, seq := range k.Seqs {
		k.Costs = append(k.Costs, p.held[seq].cost)
	}
	return k
}

// sweep deletes queues that have long been empty and repeats old registrations.
func (e *entry) sweep() {
	for _, q := range e.waitingQueues() {
		e.refresh(q)
	}
	e.allQueues = slices.DeleteFunc(e.allQueues, e.forgetIdle)
	for id, c := range e.customers {
		if c.waiting == 0 && c.running == 0 && len(c.queues) == 0 {
			delete(e.customers, id)
		}
	}
}

// forgetIdle deletes a queue that has long been empty, and reports whether it
// did.
func (e *entry) forgetIdle(q *queue) bool {
	if q.size > 0 || q.dirty || q.inActive || e.n.now-q.usedAt <= queueExpiry {
		return false
	}
	delete(e.queues, q.key)
	delete(e.byNum, q.num)
	q.customer.removeQueue(q)
	return true
}

func (c *entryCustomer) removeQueue(q *queue) {
	for i, x := range c.queues {
		if x == q {
			c.queues = append(c.queues[:i], c.queues[i+1:]...)
			return
		}
	}
}

func (e *entry) refresh(q *queue) {
	for _, a := range q.pool.admitters {
		t := q.registrations[a.id]
		if t != nil && t.count > 0 && e.n.now-t.at >= registrationRefresh {
			t.at = e.n.now
			e.sendRegistration(q, a.id, t)
		}
	}
}
