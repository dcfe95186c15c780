package share

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// Times of the directory's soft state.
const (
	haveInterval = 3 * time.Second        // an admitter repeats its Have
	idleInterval = 250 * time.Millisecond // at least between two idle notices
	haveExpiry   = 4 * haveInterval
	askInterval  = 3 * time.Second // a waiting entry repeats its Ask
	askExpiry    = 4 * askInterval
	settleTime   = haveExpiry // until then a new directory may not have heard of all admitters
)

// directory is a router's soft list, for the pools that rendezvous hashing
// gives it, of who admits to the pool and whose requests wait. It brings idle
// admitters and waiting entries together.
type directory struct {
	n     *Node
	pools map[msg.PoolID]*dirPool
	next  time.Duration // of the next expiry
}

type dirPool struct {
	id        msg.PoolID
	admitters []dirAdmitter // by router
	entries   []dirEntry
	turn      int // the entry whose turn it is to be offered slots
	version   uint64
	since     time.Duration // when this router began to keep it
}

type dirAdmitter struct {
	id    msg.RouterID
	inc   uint64
	slots int
	idle  int // free slots not yet offered
	at    time.Duration
}

type dirEntry struct {
	id    msg.RouterID
	count int // requests waiting and not yet offered a slot
	at    time.Duration
	knows uint64 // version of the list last sent
}

func newDirectory(n *Node) directory {
	return directory{n: n, pools: map[msg.PoolID]*dirPool{}}
}

func (d *directory) pool(id msg.PoolID) *dirPool {
	p, ok := d.pools[id]
	if !ok {
		p = &dirPool{id: id, since: d.n.now}
		d.pools[id] = p
	}
	return p
}

// have takes an admitter's notice.
func (d *directory) have(from msg.RouterID, incarnation uint64, h Have) {
	p := d.pool(h.Pool)
	i := sort.Search(len(p.admitters), func(i int) bool { return p.admitters[i].id >= from })
	known := i < len(p.admitters) && p.admitters[i].id == from
	switch {
	case h.Slots == 0 && known:
		p.admitters = append(p.admitters[:i], p.admitters[i+1:]...)
		d.changed(p)
		return
	case h.Slots == 0:
		return
	case !known:
		p.admitters = append(p.admitters, dirAdmitter{})
		copy(p.admitters[i+1:], p.admitters[i:])
		p.admitters[i] = dirAdmitter{id: from}
	}
	a := &p.admitters[i]
	if a.inc != 0 && a.inc != incarnation {
		d.restarted(p, from, incarnation)
	}
	changed := a.slots != h.Slots
	a.inc, a.slots, a.idle, a.at = incarnation, h.Slots, h.Idle, d.n.now
	if changed {
		d.changed(p)
	} else if h.Version != p.version {
		d.send(p, from)
	}
	d.offer(p)
}

// restarted tells the entries that wait that an admitter has forgotten them.
func (d *directory) restarted(p *dirPool, id msg.RouterID, incarnation uint64) {
	for _, e := range p.entries {
		if e.count > 0 {
			m := d.n.to(e.id)
			m.Offers = append(m.Offers, Offer{Pool: p.id, Admitter: id, Restart: incarnation})
		}
	}
}

// ask takes an entry's notice that it has requests waiting, or none.
func (d *directory) ask(from msg.RouterID, a Ask) {
	p := d.pool(a.Pool)
	e := p.entry(from)
	e.count, e.at, e.knows = a.Count, d.n.now, a.Version
	d.tell(p, e)
	d.offer(p)
}

func (p *dirPool) entry(id msg.RouterID) *dirEntry {
	for i := range p.entries {
		if p.entries[i].id == id {
			return &p.entries[i]
		}
	}
	p.entries = append(p.entries, dirEntry{id: id})
	return &p.entries[len(p.entries)-1]
}

// changed gives the list a new version and tells the entries that wait.
func (d *directory) changed(p *dirPool) {
	h := xxhash.New()
	for _, a := range p.admitters {
		_, _ = h.WriteString(string(a.id))
		_, _ = h.Write([]byte{0, byte(a.slots), byte(a.slots >> 8)})
	}
	p.version = h.Sum64() >> 32
	for i := range p.entries {
		if p.entries[i].count > 0 {
			d.tell(p, &p.entries[i])
		}
	}
}

// tell sends the list of admitters to an entry that does not know it.
func (d *directory) tell(p *dirPool, e *dirEntry) {
	if e.knows == p.version || (len(p.admitters) == 0 && d.n.now-p.since < settleTime) {
		return
	}
	e.knows = p.version
	d.send(p, e.id)
}

func (d *directory) send(p *dirPool, to msg.RouterID) {
	a := Admitters{Pool: p.id, Version: p.version}
	for _, x := range p.admitters {
		a.Routers = append(a.Routers, x.id)
		a.Slots = append(a.Slots, x.slots)
	}
	m := d.n.to(to)
	m.Admitters = append(m.Admitters, a)
}

// offer brings idle admitters to waiting entries, each entry in its turn.
func (d *directory) offer(p *dirPool) {
	for i := range p.admitters {
		a := &p.admitters[i]
		for tries := len(p.entries); tries > 0 && a.idle > 0; tries-- {
			p.turn = (p.turn + 1) % len(p.entries)
			e := &p.entries[p.turn]
			if e.count == 0 {
				continue
			}
			k := min(e.count, a.idle)
			e.count -= k
			a.idle -= k
			m := d.n.to(e.id)
			m.Offers = append(m.Offers, Offer{Pool: p.id, Admitter: a.id, Idle: k})
		}
	}
}

// membersChanged forgets routers that are gone, and pools that are no longer
// this router's.
func (d *directory) membersChanged() {
	for id, p := range d.pools {
		if d.n.members.owner(ownPool, string(id)) != d.n.cfg.ID {
			delete(d.pools, id)
			continue
		}
		d.keep(p, func(id msg.RouterID, _ time.Duration) bool { return d.n.members.has(id) })
	}
}

// keep drops the admitters and entries that ok refuses.
func (d *directory) keep(p *dirPool, ok func(msg.RouterID, time.Duration) bool) {
	before := len(p.admitters)
	admitters := p.admitters[:0]
	for _, a := range p.admitters {
		if ok(a.id, a.at) {
			admitters = append(admitters, a)
		}
	}
	p.admitters = admitters
	entries := p.entries[:0]
	for _, e := range p.entries {
		if ok(e.id, e.at) {
			entries = append(entries, e)
		}
	}
	p.entries = entries
	if len(admitters) != before {
		d.changed(p)
	}
}

func (d *directory) tick() {
	if d.n.now < d.next {
		return
	}
	d.next = d.n.now + haveInterval
	old := d.n.now - haveExpiry
	for _, p := range d.pools {
		d.keep(p, func(_ msg.RouterID, at time.Duration) bool { return at >= old })
	}
}
