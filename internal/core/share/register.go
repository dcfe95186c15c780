package share

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// fullDuration is how long an admitter that did not grant at once is avoided
// for requests that are not registered anywhere yet.
const fullDuration = 100 * time.Millisecond

// entryPool is an entry's state of a pool, as learned from the pool's
// directory.
type entryPool struct {
	id             msg.PoolID
	version        uint64
	admitters      []poolAdmitter // in an order specific to this entry
	slots          int
	waiting        int // requests of all customers
	reportedDemand int // last sent to the directory, less the slots it has offered since
	demandSentAt   time.Duration
	demandSent     bool
}

type poolAdmitter struct {
	id        msg.RouterID
	slots     int
	fullUntil time.Duration // presumed to have no free slot until then
}

func (e *entry) pool(id msg.PoolID) *entryPool {
	p, ok := e.pools[id]
	if !ok {
		p = &entryPool{id: id}
		e.pools[id] = p
		e.poolList = append(e.poolList, p)
	}
	return p
}

// handleAdmitterList applies a directory's list.
func (e *entry) handleAdmitterList(list AdmitterList) {
	p := e.pool(list.Pool)
	if len(list.Routers) != len(list.Slots) || (list.Version != 0 && p.version == list.Version) {
		return
	}
	e.n.admit.pool(list.Pool).updatePosition(e.n.cfg.ID, list)
	p.version, p.slots = list.Version, 0
	p.admitters = p.admitters[:0]
	for i, id := range list.Routers {
		if !e.n.members.contains(id) {
			p.version = 0 // so that the directory sends the list again
			continue
		}
		p.admitters = append(p.admitters, poolAdmitter{id: id, slots: list.Slots[i]})
		p.slots += list.Slots[i]
	}
	e.shuffle(p)
	e.restartRegistrations(p)
}

// shuffle orders the admitters by a hash of this router's and their IDs, so
// that entries do not all prefer the same ones.
func (e *entry) shuffle(p *entryPool) {
	own := xxhash.Sum64String(string(e.n.cfg.ID))
	rank := func(i int) uint64 { return mix64(own ^ xxhash.Sum64String(string(p.admitters[i].id))) }
	sort.Slice(p.admitters, func(i, j int) bool { return rank(i) < rank(j) })
}

// restartRegistrations registers the pool's queues anew after a change of the
// list.
func (e *entry) restartRegistrations(p *entryPool) {
	for _, q := range e.active {
		if q.pool == p && q.size > 0 {
			q.firstAdmitter, q.admitterCount = p.pickAdmitter(e.nextPickSeed()), 0
			e.markDirty(q)
		}
	}
}

func (e *entry) nextPickSeed() uint64 {
	e.pickCount++
	return mix64(e.pickCount ^ xxhash.Sum64String(string(e.n.cfg.ID)))
}

// pickAdmitter selects an admitter at random, weighted by slots. Of two
// candidates it prefers the one that is more likely to have a free slot.
func (p *entryPool) pickAdmitter(seed uint64) int {
	if p.slots == 0 {
		return 0
	}
	at := p.admitterOfSlot(int(seed % uint64(p.slots)))
	other := p.admitterOfSlot(int(mix64(seed) % uint64(p.slots)))
	if p.admitters[other].fullUntil < p.admitters[at].fullUntil {
		return other
	}
	return at
}

// admitterOfSlot returns the index of the admitter of the pool's i-th slot.
func (p *entryPool) admitterOfSlot(i int) int {
	for k, a := range p.admitters {
		if i < a.slots {
			return k
		}
		i -= a.slots
	}
	return 0
}

func (p *entryPool) find(id msg.RouterID) int {
	for i := range p.admitters {
		if p.admitters[i].id == id {
			return i
		}
	}
	return -1
}

// noteGrant records that the admitter had a free slot.
func (p *entryPool) noteGrant(id msg.RouterID) {
	if i := p.find(id); i >= 0 {
		p.admitters[i].fullUntil = 0
	}
}

// syncRegistrations sends the admitters the changes in the queues.
func (e *entry) syncRegistrations() {
	list := e.dirty
	e.dirty = nil
	for _, q := range list {
		q.dirty = false
		e.syncQueue(q)
	}
	for _, q := range list {
		e.sendDemand(q.pool, false)
	}
}

func (e *entry) syncQueue(q *queue) {
	n := q.eligible()
	if n == 0 {
		e.withdraw(q)
		return
	}
	all := len(q.pool.admitters)
	if all == 0 {
		return
	}
	if q.admitterCount == 0 {
		q.firstAdmitter = q.pool.pickAdmitter(e.nextPickSeed())
		q.widenedAt, q.widenDelay = e.n.now, e.n.cfg.WidenDelay
	}
	q.admitterCount = min(all, max(q.admitterCount, n))
	want := (n + q.admitterCount - 1) / q.admitterCount
	if q.waitsLong(e.n) {
		want = n
	}
	q.admitterSlots = 0
	for i := range q.admitterCount {
		q.admitterSlots += q.pool.admitters[(q.firstAdmitter+i)%all].slots
	}
	for i := range q.admitterCount {
		e.register(q, q.pool.admitters[(q.firstAdmitter+i)%all].id, want, false)
	}
}

// waitsLong reports whether the queue has waited longer than it takes to get a
// free slot.
func (q *queue) waitsLong(n *Node) bool {
	w := q.head()
	return w != nil && n.now-w.at > 2*n.cfg.WidenDelay
}

// register registers count requests of the queue with an admitter. Unless always
// is set, it sends nothing if the last count sent is within a factor of two.
func (e *entry) register(q *queue, to msg.RouterID, count int, always bool) {
	last := q.registrations[to]
	if last == nil {
		last = new(sentRegistration)
		q.registrations[to] = last
	}
	closeEnough := last.count*2 > count && last.count <= 2*count
	if closeEnough && !always {
		return
	}
	last.count, last.at = count, e.n.now
	e.sendRegistration(q, to, last)
}

// withdraw tells all admitters that the queue is empty.
func (e *entry) withdraw(q *queue) {
	for _, a := range q.pool.admitters {
		if t := q.registrations[a.id]; t != nil && t.count > 0 {
			t.count, t.at = 0, e.n.now
			e.sendRegistration(q, a.id, t)
		}
	}
	q.admitterCount = 0
}

// sendRegistration sends the registration to the admitter.
func (e *entry) sendRegistration(q *queue, to msg.RouterID, last *sentRegistration) {
	m := e.n.messageTo(to)
	e.n.seq++
	m.Seq = e.n.seq
	if p := e.peers[to]; p != nil && m.addressTo(p.incarnation) {
		m.HighestGrantSeen = p.highestGrant
	}
	reg := Registration{QueueID: q.num, Count: last.count, AdmitterSlots: q.admitterSlots}
	if !last.established {
		reg.Pool, reg.Customer, reg.Avoid = q.pool.id, q.key.customer, q.avoid
	}
	if !last.established || last.weight != q.weight {
		reg.Weight, last.weight = q.weight, q.weight
	}
	m.Registrations = append(m.Registrations, reg)
}

// handleUnknownQueue handles an admitter's notice that it has no registration
// of a queue.
func (e *entry) handleUnknownQueue(from msg.RouterID, num uint64) {
	if q := e.byNum[num]; q != nil && q.registrations[from] != nil {
		delete(q.registrations, from)
		e.markDirty(q)
	}
}

// sendDemand tells the pool's directory how many requests wait, unless a
// similar number was sent recently.
func (e *entry) sendDemand(p *entryPool, always bool) {
	n := p.waiting
	if len(p.admitters) > 0 && !always && p.reportedDemand == 0 {
		return // a slot may be granted at once; widen sends the demand if not
	}
	closeEnough := p.demandSent && (n > 0) == (p.reportedDemand > 0) && n <= 2*p.reportedDemand && 4*n >= p.reportedDemand
	if closeEnough && (n == 0 || e.n.now-p.demandSentAt < demandInterval) {
		return
	}
	p.reportedDemand, p.demandSentAt, p.demandSent = n, e.n.now, true
	m := e.n.messageTo(e.n.members.owner(ownerOfPool, string(p.id)))
	m.Demands = append(m.Demands, Demand{Pool: p.id, Count: n, ListVersion: p.version})
}

// handleOffer handles an offer of free slots: the queues that have waited
// longest register with the admitter.
func (e *entry) handleOffer(o Offer) {
	p := e.pool(o.Pool)
	if p.find(o.Admitter) < 0 {
		return
	}
	if o.NewIncarnation > 0 {
		e.peerOf(o.Admitter, o.NewIncarnation)
		return
	}
	p.noteGrant(o.Admitter)
	p.reportedDemand = max(0, p.reportedDemand-o.Idle)
	left := o.Idle
	for _, q := range e.queuesByAge(p) {
		if left <= 0 {
			return
		}
		n := q.eligible()
		e.register(q, o.Admitter, n, true)
		left -= n
	}
}

// queuesByAge returns the pool's queues with eligible requests, those with the
// oldest request first.
func (e *entry) queuesByAge(p *entryPool) []*queue {
	var list []*queue
	for _, q := range e.active {
		if q.pool == p && q.eligible() > 0 {
			list = append(list, q)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].head().at, list[j].head().at
		return a < b || (a == b && list[i].num < list[j].num)
	})
	return list
}

// membersChanged discards the registrations with removed admitters, and lets
// demands be sent again.
func (e *entry) membersChanged() {
	for id := range e.peers {
		i, ok := e.n.members.byID[id]
		if !ok {
			e.forgetRegistrations(id) // its grants are still held
			continue
		}
		if inc := e.n.members.list[i].Incarnation; inc > e.peers[id].incarnation {
			e.peerOf(id, inc)
		}
	}
	for _, p := range e.poolList {
		e.dropRemovedAdmitters(p)
		p.demandSent = false
	}
}

func (e *entry) dropRemovedAdmitters(p *entryPool) {
	list := p.admitters[:0]
	p.slots = 0
	for _, a := range p.admitters {
		if e.n.members.contains(a.id) {
			list = append(list, a)
			p.slots += a.slots
		}
	}
	if len(list) != len(p.admitters) {
		p.admitters, p.version = list, 0
		e.restartRegistrations(p)
	}
}
