package share

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// fullFor is how long an admitter that did not grant at once is passed over
// for requests that wait nowhere yet.
const fullFor = 100 * time.Millisecond

// entryPool is a pool as an entry knows it from the pool's directory.
type entryPool struct {
	id        msg.PoolID
	version   uint64
	admitters []poolAdmitter // in an order of this entry's own
	slots     int
	waiting   int // requests of all customers
	asked     int // what the directory was last told
	askedAt   time.Duration
	everAsked bool
}

type poolAdmitter struct {
	id    msg.RouterID
	slots int
	full  time.Duration // believed to have no free slot until then
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

// admitters takes a directory's list.
func (e *entry) admitters(a Admitters) {
	p := e.pool(a.Pool)
	if len(a.Routers) != len(a.Slots) || (a.Version != 0 && p.version == a.Version) {
		return
	}
	e.n.admit.pool(a.Pool).place(e.n.cfg.ID, a)
	p.version, p.slots = a.Version, 0
	p.admitters = p.admitters[:0]
	for i, id := range a.Routers {
		if !e.n.members.has(id) {
			p.version = 0 // to be told again
			continue
		}
		p.admitters = append(p.admitters, poolAdmitter{id: id, slots: a.Slots[i]})
		p.slots += a.Slots[i]
	}
	e.shuffle(p)
	e.restart(p)
}

// shuffle orders the admitters by a hash of this router and theirs, so that
// entries do not all go to the same ones.
func (e *entry) shuffle(p *entryPool) {
	own := xxhash.Sum64String(string(e.n.cfg.ID))
	rank := func(i int) uint64 { return mix(own ^ xxhash.Sum64String(string(p.admitters[i].id))) }
	sort.Slice(p.admitters, func(i, j int) bool { return rank(i) < rank(j) })
}

// restart lets the pool's queues spread anew over a changed list.
func (e *entry) restart(p *entryPool) {
	for _, q := range e.active {
		if q.pool == p && q.size > 0 {
			q.start, q.spread = p.pick(e.pickSeed()), 0
			e.touch(q)
		}
	}
}

func (e *entry) pickSeed() uint64 {
	e.picks++
	return mix(e.picks ^ xxhash.Sum64String(string(e.n.cfg.ID)))
}

// pick chooses an admitter by its slots, rather one that may have a free slot.
func (p *entryPool) pick(seed uint64) int {
	if p.slots == 0 {
		return 0
	}
	at := p.at(int(seed % uint64(p.slots)))
	other := p.at(int(mix(seed) % uint64(p.slots)))
	if p.admitters[other].full < p.admitters[at].full {
		return other
	}
	return at
}

// at returns the admitter of the pool's i-th slot.
func (p *entryPool) at(i int) int {
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

// granted notes that the admitter had a free slot.
func (p *entryPool) granted(id msg.RouterID) {
	if i := p.find(id); i >= 0 {
		p.admitters[i].full = 0
	}
}

// sync tells admitters what changed in the queues.
func (e *entry) sync() {
	list := e.dirty
	e.dirty = nil
	for _, q := range list {
		q.dirty = false
		e.syncQueue(q)
	}
	for _, q := range list {
		e.askFor(q.pool, false)
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
	if q.spread == 0 {
		q.start = q.pool.pick(e.pickSeed())
		q.spreadAt, q.widenAfter = e.n.now, e.n.cfg.SpreadDelay
	}
	q.spread = min(all, max(q.spread, n))
	want := (n + q.spread - 1) / q.spread
	if q.lasting(e.n) {
		want = n
	}
	q.slots = 0
	for i := range q.spread {
		q.slots += q.pool.admitters[(q.start+i)%all].slots
	}
	for i := range q.spread {
		e.tellOne(q, q.pool.admitters[(q.start+i)%all].id, want, false)
	}
}

// lasting tells whether the queue has waited longer than a free slot takes.
func (q *queue) lasting(n *Node) bool {
	w := q.head()
	return w != nil && n.now-w.at > 2*n.cfg.SpreadDelay
}

// tellOne registers the queue with an admitter, unless what the admitter knows
// is near enough.
func (e *entry) tellOne(q *queue, to msg.RouterID, want int, always bool) {
	t := q.told[to]
	if t == nil {
		t = new(told)
		q.told[to] = t
	}
	near := t.count*2 > want && t.count <= 2*want
	if near && !always {
		return
	}
	t.count, t.at = want, e.n.now
	e.sendWait(q, to, t)
}

// withdraw tells all admitters that nothing waits.
func (e *entry) withdraw(q *queue) {
	for _, a := range q.pool.admitters {
		if t := q.told[a.id]; t != nil && t.count > 0 {
			t.count, t.at = 0, e.n.now
			e.sendWait(q, a.id, t)
		}
	}
	q.spread = 0
}

// sendWait sends what the admitter is now told.
func (e *entry) sendWait(q *queue, to msg.RouterID, t *told) {
	m := e.n.to(to)
	e.n.seq++
	m.Seq = e.n.seq
	if p := e.peers[to]; p != nil && m.about(p.incarnation) {
		m.Seen = p.seen
	}
	w := Wait{Queue: q.num, Count: t.count, Slots: q.slots}
	if !t.known {
		w.Pool, w.Customer, w.Avoid = q.pool.id, q.key.customer, q.avoid
	}
	if !t.known || t.weight != q.weight {
		w.Weight, t.weight = q.weight, q.weight
	}
	m.Waits = append(m.Waits, w)
}

// forgot takes an admitter's word that it has no registration of a queue.
func (e *entry) forgot(from msg.RouterID, num uint64) {
	if q := e.byNum[num]; q != nil && q.told[from] != nil {
		delete(q.told, from)
		e.touch(q)
	}
}

// askFor tells the pool's directory how many requests wait, when it does not
// know nearly enough.
func (e *entry) askFor(p *entryPool, always bool) {
	n := p.waiting
	if len(p.admitters) > 0 && !always && p.asked == 0 {
		return // may be granted at once; the spreading asks
	}
	near := p.everAsked && (n > 0) == (p.asked > 0) && n <= 2*p.asked && 4*n >= p.asked
	if near && (n == 0 || e.n.now-p.askedAt < askInterval) {
		return
	}
	p.asked, p.askedAt, p.everAsked = n, e.n.now, true
	m := e.n.to(e.n.members.owner(ownPool, string(p.id)))
	m.Asks = append(m.Asks, Ask{Pool: p.id, Count: n, Version: p.version})
}

// offer takes word of an admitter with free slots: the longest waiting queues
// register with it.
func (e *entry) offer(o Offer) {
	p := e.pool(o.Pool)
	if p.find(o.Admitter) < 0 {
		return
	}
	if o.Restart > 0 {
		e.peerOf(o.Admitter, o.Restart)
		return
	}
	p.granted(o.Admitter)
	p.asked = max(0, p.asked-o.Idle)
	left := o.Idle
	for _, q := range e.oldest(p) {
		if left <= 0 {
			return
		}
		n := q.eligible()
		e.tellOne(q, o.Admitter, n, true)
		left -= n
	}
}

// oldest returns the pool's queues with requests that could run, by the age of
// their oldest request.
func (e *entry) oldest(p *entryPool) []*queue {
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

// membersChanged forgets what gone admitters were told, and asks anew.
func (e *entry) membersChanged() {
	for id := range e.peers {
		i, ok := e.n.members.byID[id]
		if !ok {
			e.untell(id) // what it has granted is still held
			continue
		}
		if inc := e.n.members.list[i].Incarnation; inc > e.peers[id].incarnation {
			e.peerOf(id, inc)
		}
	}
	for _, p := range e.poolList {
		e.dropGone(p)
		p.everAsked = false
	}
}

func (e *entry) dropGone(p *entryPool) {
	list := p.admitters[:0]
	p.slots = 0
	for _, a := range p.admitters {
		if e.n.members.has(a.id) {
			list = append(list, a)
			p.slots += a.slots
		}
	}
	if len(list) != len(p.admitters) {
		p.admitters, p.version = list, 0
		e.restart(p)
	}
}
