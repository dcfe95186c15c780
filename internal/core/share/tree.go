package share

import (
	"sort"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

const (
	fanOut      = 4                       // children of a router in the tree
	mergeLeast  = 2 * time.Second         // between two merges, at least
	mergeLevel  = 1250 * time.Millisecond // likewise, for each level below the root's children
	levelDelay  = 30 * time.Millisecond   // a level sends up this much before the one above
	firstMerge  = 300 * time.Millisecond  // after a change of the members
	edgeBits    = 16
	keepRecords = 4 // Ups of which the content is remembered
)

// tree merges the admitters' service counters. The routers form a tree over
// their sorted list. Each sends its parent what it and those below have served
// since the last acknowledged Up; the root adds all up and sends the totals
// down, at every merge. A lost, repeated or overtaken message changes nothing,
// as the next one counts from the same acknowledged base.
type tree struct {
	n        *Node
	settings uint64 // in force here
	heard    uint64 // newest heard of
	parent   msg.RouterID
	kids     []msg.RouterID
	depth    int // of this router
	height   int // depth of the last router
	children map[msg.RouterID]*child
	pools    map[msg.PoolID]*treePool

	edge      uint64 // number of the edge to the parent, of this incarnation only
	edges     uint64 // how many there were
	parentInc uint64 // 0: not known yet
	base      uint64 // last acknowledged Up of the edge
	upSeq     uint64
	records   []record
	upAt      time.Duration
	floors    []PoolCount // totals known when the edge began
	downSeq   uint64      // last Down of the parent's incarnation
	merge     uint64      // number of the last merge passed on
	mergeAt   time.Duration
}

// child is the edge to a child.
type child struct {
	incarnation, edge uint64
	seq, base         uint64
	since             map[countKey]int64 // what the last Up counted since base
	slots             map[countKey]int
}

type countKey struct {
	pool msg.PoolID
	hash uint64
}

// treePool holds a pool's counters at a router.
type treePool struct {
	floor    int64 // least total of a backlogged customer; never falls
	counters map[uint64]*counter
}

// counter is a customer's service in a pool, as this router knows it.
type counter struct {
	below int64 // from the children
	acked int64 // of value: acknowledged by the parent, or added by the root
	total int64 // at the last merge; roots keep it up
	live  bool  // among the totals of the last merge
	slots int   // of the admitters where the customer waits
	seen  int   // root: merges at which it waited, less those at which it did not
	long  bool  // root: it is backlogged, not waiting by chance
}

// record is what an Up carried.
type record struct {
	seq    uint64
	values map[*counter]int64
	own    map[*account]float64
	kids   map[msg.RouterID]uint64 // the children's last Up within it
}

func newTree(n *Node) tree {
	return tree{n: n, children: map[msg.RouterID]*child{}, pools: map[msg.PoolID]*treePool{}}
}

func (t *tree) pool(id msg.PoolID) *treePool {
	p, ok := t.pools[id]
	if !ok {
		p = &treePool{counters: map[uint64]*counter{}}
		t.pools[id] = p
	}
	return p
}

func (p *treePool) counter(hash uint64) *counter {
	c, ok := p.counters[hash]
	if !ok {
		c = new(counter)
		p.counters[hash] = c
	}
	return c
}

// membersChanged works out the router's place in the tree.
func (t *tree) membersChanged() {
	list := t.n.members.list
	self := t.n.members.byID[t.n.cfg.ID]
	parent := msg.RouterID("")
	if self > 0 {
		parent = list[(self-1)/fanOut].ID
	}
	t.depth, t.height = depthOf(self), depthOf(len(list)-1)
	t.kids = t.kids[:0]
	for i := fanOut*self + 1; i <= fanOut*self+fanOut && i < len(list); i++ {
		t.kids = append(t.kids, list[i].ID)
	}
	for id := range t.children {
		if !t.hasKid(id) {
			delete(t.children, id)
		}
	}
	if parent != t.parent || t.edge == 0 {
		t.parent = parent
		t.newEdge(0)
	}
	t.mergeAt = min(t.mergeAt, t.n.now+firstMerge)
	t.upAt = min(t.upAt, t.n.now+firstMerge-time.Duration(t.depth)*levelDelay)
}

// depthOf is how far below the root the i-th router is.
func depthOf(i int) int {
	n := 0
	for ; i > 0; i = (i - 1) / fanOut {
		n++
	}
	return n
}

// interval is the time between two merges. A large fleet sends its totals over
// more edges and has a coarser service to divide, so it merges less often.
func (t *tree) interval() time.Duration {
	if set := t.n.cfg.MergeInterval; set > 0 {
		return set
	}
	return max(mergeLeast, mergeLevel*time.Duration(t.height-1))
}

func (t *tree) hasKid(id msg.RouterID) bool {
	for _, k := range t.kids {
		if k == id {
			return true
		}
	}
	return false
}

// newEdge starts to count anew to a parent that has no memory of this router.
// What the last parent has not acknowledged is sent again.
func (t *tree) newEdge(incarnation uint64) {
	t.edges++
	t.edge = t.n.cfg.Incarnation<<edgeBits | t.edges
	t.parentInc, t.downSeq, t.base, t.upSeq = incarnation, 0, 0, 0
	t.records = nil
	t.floors = t.knownTotals()
}

// knownTotals is what a parent is told that may have no memory.
func (t *tree) knownTotals() []PoolCount {
	var out []PoolCount
	for _, id := range t.sortedPools() {
		p := t.pools[id]
		if list := p.liveCounts(); len(list) > 0 {
			out = append(out, packTotals(id, p.floor, list))
		}
	}
	return out
}

func (t *tree) tick() {
	switch {
	case t.parent == "" && t.n.now >= t.mergeAt:
		t.mergeAt = t.n.now + t.interval()
		t.mergeRoot()
	case t.parent != "" && t.n.now >= t.upAt:
		t.upAt = t.n.now + t.interval()
		t.sendUp()
	}
}

// own is the account behind a counter, if this router admits to the pool.
func (t *tree) own(pool msg.PoolID, hash uint64) *account {
	p := t.n.admit.pools[pool]
	if p == nil {
		return nil
	}
	return p.byHash[hash]
}

// value is all that the router and those below have served.
func (t *tree) value(pool msg.PoolID, hash uint64, c *counter) int64 {
	if a := t.own(pool, hash); a != nil {
		return c.below + int64(a.own)
	}
	return c.below
}

// slotsOf is how many slots the admitters have, here and below, where the
// customer waits just now.
func (t *tree) slotsOf(pool msg.PoolID, hash uint64) int {
	n := 0
	if a := t.own(pool, hash); a != nil && a.waiting > 0 {
		n = a.pool.slots
	}
	for _, c := range t.children {
		n += c.slots[countKey{pool, hash}]
	}
	return n
}

// touchOwn makes counters of the accounts that have waited here.
func (t *tree) touchOwn() {
	for _, p := range t.n.admit.order {
		for hash, a := range p.byHash {
			if a.waited || a.active {
				t.pool(p.id).counter(hash)
			}
		}
	}
}

// sortedPools returns the pools' IDs in order.
func (t *tree) sortedPools() []msg.PoolID {
	ids := make([]msg.PoolID, 0, len(t.pools))
	for id := range t.pools {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// sendUp tells the parent what it has not acknowledged.
func (t *tree) sendUp() {
	t.touchOwn()
	t.upSeq++
	up := &Up{Edge: t.edge, Seq: t.upSeq, Base: t.base, Settings: max(t.settings, t.heard)}
	rec := t.newRecord()
	for _, id := range t.sortedPools() {
		var list []count
		p := t.pools[id]
		for hash, c := range p.counters {
			v, slots := t.value(id, hash, c), t.slotsOf(id, hash)
			rec.values[c] = v
			if v != c.acked || slots > 0 {
				list = append(list, count{hash, v - c.acked, slots})
			}
		}
		if len(list) > 0 {
			up.Pools = append(up.Pools, PoolCount{Pool: id, Data: pack(list)})
		}
	}
	if t.base == 0 {
		up.Floors = t.floors
	}
	t.records = append(t.records, rec)
	if len(t.records) > keepRecords {
		t.records = t.records[1:]
	}
	t.n.to(t.parent).Up = up
}

// newRecord notes what this merge includes of this router's own service, and
// starts to note afresh who waits.
func (t *tree) newRecord() record {
	rec := record{
		seq: t.upSeq, values: map[*counter]int64{},
		own: map[*account]float64{}, kids: map[msg.RouterID]uint64{},
	}
	for id, c := range t.children {
		rec.kids[id] = c.seq
	}
	for _, p := range t.n.admit.order {
		for _, a := range p.accounts {
			if a.waited || a.active {
				rec.own[a] = a.own
			}
		}
	}
	return rec
}

func (t *tree) resetWaited() {
	for _, p := range t.n.admit.order {
		for _, a := range p.accounts {
			a.waited = a.waiting > 0
		}
	}
}

// up takes a child's counts.
func (t *tree) up(from msg.RouterID, incarnation uint64, u *Up) {
	t.hear(u.Settings)
	if !t.hasKid(from) {
		return
	}
	c := t.children[from]
	if c == nil || c.incarnation < incarnation || (c.incarnation == incarnation && c.edge < u.Edge) {
		if u.Base != 0 {
			return // the child has yet to see that this router knows nothing of it
		}
		c = &child{incarnation: incarnation, edge: u.Edge, since: map[countKey]int64{}}
		t.children[from] = c
		t.adopt(u.Floors)
	}
	if c.incarnation != incarnation || c.edge != u.Edge || u.Seq <= c.seq {
		return
	}
	switch u.Base {
	case c.base:
	case c.seq:
		c.since = map[countKey]int64{}
	default:
		return
	}
	c.base, c.seq = u.Base, u.Seq
	c.slots = map[countKey]int{}
	for _, p := range u.Pools {
		tp := t.pool(p.Pool)
		for _, x := range unpack(p.Data) {
			key := countKey{p.Pool, x.hash}
			tp.counter(x.hash).below += x.value - c.since[key]
			c.since[key] = x.value
			c.slots[key] = x.slots
		}
	}
}

// adopt takes totals that a child knows and that are ahead of this router's,
// as after a restart or a partition. What this router knows is lifted by the
// difference of the floors: service had while apart is neither claimed back nor
// owed, whichever side was the faster one.
func (t *tree) adopt(floors []PoolCount) {
	for _, f := range floors {
		p := t.pool(f.Pool)
		if p.floor >= f.Floor {
			continue
		}
		for _, c := range p.counters {
			c.total += f.Floor - p.floor
		}
		p.floor = f.Floor
		for _, x := range f.totals() {
			c := p.counter(x.hash)
			if !c.live {
				c.total, c.live = x.value, true
			}
		}
	}
}

func (t *tree) hear(settings uint64) {
	if settings > t.heard {
		t.heard = settings
	}
	if t.heard > t.settings {
		t.n.ready.Settings = t.heard
	}
}
