package share

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// Intervals and lifetimes of the directory's soft state.
const (
	capacityInterval   = 3 * time.Second        // an admitter repeats its Capacity
	idleNoticeInterval = 250 * time.Millisecond // least time between two notices of idle slots
	capacityExpiry     = 4 * capacityInterval
	demandInterval     = 3 * time.Second // an entry with waiting requests repeats its Demand
	demandExpiry       = 4 * demandInterval
	directoryWarmUp    = capacityExpiry // before it has passed, a new directory may not have heard from all admitters
)

// directory keeps soft-state lists of the routers that admit to a pool and of
// the entries with waiting requests, for the pools that rendezvous hashing
// assigns to this router. It matches idle admitters with waiting entries.
type directory struct {
	n            *Node
	pools        map[msg.PoolID]*dirPool
	nextExpiryAt time.Duration
}

type dirPool struct {
	id        msg.PoolID
	admitters []dirAdmitter // sorted by router ID
	entries   []dirEntry
	nextEntry int // index of the entry that is next in the rotation of offers
	version   uint64
	since     time.Duration // when this router took over the directory
}

type dirAdmitter struct {
	id          msg.RouterID
	incarnation uint64
	slots       int
	idle        int // free slots not yet offered
	at          time.Duration
}

type dirEntry struct {
	id           msg.RouterID
	count        int // waiting requests not yet offered a slot
	at           time.Duration
	knownVersion uint64 // of the list that the entry has
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

// handleCapacity applies an admitter's Capacity.
func (d *directory) handleCapacity(from msg.RouterID, incarnation uint64, c Capacity) {
	p := d.pool(c.Pool)
	i := sort.Search(len(p.admitters), func(i int) bool { return p.admitters[i].id >= from })
	known := i < len(p.admitters) && p.admitters[i].id == from
	switch {
	case c.Slots == 0 && known:
		p.admitters = append(p.admitters[:i], p.admitters[i+1:]...)
		d.listChanged(p)
		return
	case c.Slots == 0:
		return
	case !known:
		p.admitters = append(p.admitters, dirAdmitter{})
		copy(p.admitters[i+1:], p.admitters[i:])
		p.admitters[i] = dirAdmitter{id: from}
	}
	a := &p.admitters[i]
	if a.incarnation != 0 && a.incarnation != incarnation {
		d.announceRestart(p, from, incarnation)
	}
	changed := a.slots != c.Slots
	a.incarnation, a.slots, a.idle, a.at = incarnation, c.Slots, c.Idle, d.n.now
	if changed {
		d.listChanged(p)
	} else if c.ListVersion != p.version {
		d.sendList(p, from)
	}
	d.offerSlots(p)
}

// announceRestart tells the entries with waiting requests that an admitter has
// restarted and lost their registrations.
func (d *directory) announceRestart(p *dirPool, id msg.RouterID, incarnation uint64) {
	for _, e := range p.entries {
		if e.count > 0 {
			m := d.n.messageTo(e.id)
			m.Offers = append(m.Offers, Offer{Pool: p.id, Admitter: id, NewIncarnation: incarnation})
		}
	}
}

// handleDemand applies an entry's Demand.
func (d *directory) handleDemand(from msg.RouterID, demand Demand) {
	p := d.pool(demand.Pool)
	e := p.entry(from)
	e.count, e.at, e.knownVersion = demand.Count, d.n.now, demand.ListVersion
	d.sendListIfStale(p, e)
	d.offerSlots(p)
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

// listChanged assigns the list a new version and sends it to the entries with
// waiting requests.
func (d *directory) listChanged(p *dirPool) {
	h := xxhash.New()
	for _, a := range p.admitters {
		_, _ = h.WriteString(string(a.id))
		_, _ = h.Write([]byte{0, byte(a.slots), byte(a.slots >> 8)})
	}
	p.version = h.Sum64() >> 32
	for i := range p.entries {
		if p.entries[i].count > 0 {
			d.sendListIfStale(p, &p.entries[i])
		}
	}
}

// sendListIfStale sends the list of admitters to an entry that has another
// version. An empty list is sent only once the directory has had time to hear
// from all admitters.
func (d *directory) sendListIfStale(p *dirPool, e *dirEntry) {
	if e.knownVersion == p.version || (len(p.admitters) == 0 && d.n.now-p.since < directoryWarmUp) {
		return
	}
	e.knownVersion = p.version
	d.sendList(p, e.id)
}

func (d *directory) sendList(p *dirPool, to msg.RouterID) {
	list := AdmitterList{Pool: p.id, Version: p.version}
	for _, x := range p.admitters {
		list.Routers = append(list.Routers, x.id)
		list.Slots = append(list.Slots, x.slots)
	}
	m := d.n.messageTo(to)
	m.AdmitterLists = append(m.AdmitterLists, list)
}

// offerSlots offers the slots of idle admitters to entries with waiting
// requests, in rotation.
func (d *directory) offerSlots(p *dirPool) {
	for i := range p.admitters {
		a := &p.admitters[i]
		for tries := len(p.entries); tries > 0 && a.idle > 0; tries-- {
			p.nextEntry = (p.nextEntry + 1) % len(p.entries)
			e := &p.entries[p.nextEntry]
			if e.count == 0 {
				continue
			}
			k := min(e.count, a.idle)
			e.count -= k
			a.idle -= k
			m := d.n.messageTo(e.id)
			m.Offers = append(m.Offers, Offer{Pool: p.id, Admitter: a.id, Idle: k})
		}
	}
}

// membersChanged removes routers that are gone, and pools that no longer belong
// to this router.
func (d *directory) membersChanged() {
	for id, p := range d.pools {
		if d.n.members.owner(ownerOfPool, string(id)) != d.n.cfg.ID {
			delete(d.pools, id)
			continue
		}
		d.prune(p, func(id msg.RouterID, _ time.Duration) bool { return d.n.members.contains(id) })
	}
}

// prune removes the admitters and entries for which ok returns false.
func (d *directory) prune(p *dirPool, ok func(msg.RouterID, time.Duration) bool) {
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
		d.listChanged(p)
	}
}

func (d *directory) tick() {
	if d.n.now < d.nextExpiryAt {
		return
	}
	d.nextExpiryAt = d.n.now + capacityInterval
	old := d.n.now - capacityExpiry
	for _, p := range d.pools {
		d.prune(p, func(_ msg.RouterID, at time.Duration) bool { return at >= old })
	}
}
