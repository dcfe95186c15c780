package share

import (
	"sort"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

const (
	fanOut                = 4 // maximum children of a router in the tree
	minMergeInterval      = 2 * time.Second
	mergeIntervalPerLevel = 1250 * time.Millisecond // least merge interval for each level below the root's children
	levelStagger          = 30 * time.Millisecond   // each level reports this much earlier than the level above
	firstMergeDelay       = 300 * time.Millisecond  // after a change of the members
	edgeCountBits         = 16                      // low bits of an edge ID, which hold the edge count
	maxRecords            = 4                       // sent reports whose contents are remembered
)

// tree aggregates the admitters' service counters. The routers form a tree over
// their sorted list. At every merge, each router reports to its parent what it
// and its descendants have served since the last acknowledged report; the root
// adds everything up and sends the totals down. Lost, duplicated or reordered
// messages do no harm, because the next report counts from the same
// acknowledged base.
type tree struct {
	n              *Node
	settings       uint64 // version of the settings in force here
	newestSettings uint64 // newest version that any router has announced
	parent         msg.RouterID
	childIDs       []msg.RouterID
	depth          int // of this router
	height         int // depth of the last router
	children       map[msg.RouterID]*child
	pools          map[msg.PoolID]*treePool

	edgeID            uint64 // of the edge to the parent; unique across incarnations
	edgeCount         uint64 // edges to parents so far
	parentIncarnation uint64 // 0: not known yet
	base              uint64 // last acknowledged report of the edge
	reportSeq         uint64
	records           []reportRecord
	nextReportAt      time.Duration
	totalsAtReset     []PoolCounters // totals known when the edge was created
	totalsSeq         uint64         // last FleetTotals of the parent's incarnation
	mergeSeq          uint64         // number of the last merge that was forwarded
	nextMergeAt       time.Duration
}

// child is the edge to a child.
type child struct {
	incarnation, edgeID uint64
	seq, base           uint64
	sinceBase           map[countKey]int64 // service that the last report counts since base
	slots               map[countKey]int
}

type countKey struct {
	pool msg.PoolID
	hash uint64
}

// treePool holds a router's counters of a pool.
type treePool struct {
	floor    int64 // least total of a backlogged customer; never decreases
	counters map[uint64]*counter
}

// counter is a customer's service in a pool, as known to this router.
type counter struct {
	fromChildren int64 // served by descendants and by deleted local accounts
	acked        int64 // the part of servedInSubtree that the parent has acknowledged, or that the root has added to total
	total        int64 // as of the last merge; the root accumulates it
	listed       bool  // included in the totals of the last merge
	slots        int   // of all admitters where the customer waits
	waitScore    int   // root only: rises at merges where the customer waits, falls at the others
	backlogged   bool  // root only: the customer waits persistently, not by chance
}

// reportRecord is what a ServiceReport or a merge at the root included.
type reportRecord struct {
	seq         uint64
	values      map[*counter]int64
	localServed map[*account]float64
	childSeqs   map[msg.RouterID]uint64 // the last report of each child that it includes
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

// membersChanged determines the router's place in the tree.
func (t *tree) membersChanged() {
	list := t.n.members.list
	self := t.n.members.byID[t.n.cfg.ID]
	parent := msg.RouterID("")
	if self > 0 {
		parent = list[(self-1)/fanOut].ID
	}
	t.depth, t.height = depthOf(self), depthOf(len(list)-1)
	t.childIDs = t.childIDs[:0]
	for i := fanOut*self + 1; i <= fanOut*self+fanOut && i < len(list); i++ {
		t.childIDs = append(t.childIDs, list[i].ID)
	}
	for id := range t.children {
		if !t.hasChild(id) {
			delete(t.children, id)
		}
	}
	if parent != t.parent || t.edgeID == 0 {
		t.parent = parent
		t.resetEdge(0)
	}
	t.nextMergeAt = min(t.nextMergeAt, t.n.now+firstMergeDelay)
	t.nextReportAt = min(t.nextReportAt, t.n.now+firstMergeDelay-time.Duration(t.depth)*levelStagger)
}

// depthOf returns the depth of the i-th router.
func depthOf(i int) int {
	n := 0
	for ; i > 0; i = (i - 1) / fanOut {
		n++
	}
	return n
}

// interval returns the time between two merges. A larger fleet merges less
// often, as it sends its totals over more edges and divides the service in
// coarser portions.
func (t *tree) interval() time.Duration {
	if set := t.n.cfg.MergeInterval; set > 0 {
		return set
	}
	return max(minMergeInterval, mergeIntervalPerLevel*time.Duration(t.height-1))
}

func (t *tree) hasChild(id msg.RouterID) bool {
	for _, k := range t.childIDs {
		if k == id {
			return true
		}
	}
	return false
}

// resetEdge starts a new edge to the parent, which is assumed to know nothing
// of this router. Whatever the last parent has not acknowledged is reported
// again.
func (t *tree) resetEdge(incarnation uint64) {
	t.edgeCount++
	t.edgeID = t.n.cfg.Incarnation<<edgeCountBits | t.edgeCount
	t.parentIncarnation, t.totalsSeq, t.base, t.reportSeq = incarnation, 0, 0, 0
	t.records = nil
	t.totalsAtReset = t.knownTotals()
}

// knownTotals returns the totals that are sent to a parent that may know none.
func (t *tree) knownTotals() []PoolCounters {
	var out []PoolCounters
	for _, id := range t.sortedPools() {
		p := t.pools[id]
		if list := p.listedCounts(); len(list) > 0 {
			out = append(out, packTotals(id, p.floor, list))
		}
	}
	return out
}

func (t *tree) tick() {
	switch {
	case t.parent == "" && t.n.now >= t.nextMergeAt:
		t.nextMergeAt = t.n.now + t.interval()
		t.mergeAtRoot()
	case t.parent != "" && t.n.now >= t.nextReportAt:
		t.nextReportAt = t.n.now + t.interval()
		t.sendReport()
	}
}

// localAccount returns the customer's account here, or nil if this router does
// not admit to the pool or has no such account.
func (t *tree) localAccount(pool msg.PoolID, hash uint64) *account {
	p := t.n.admit.pools[pool]
	if p == nil {
		return nil
	}
	return p.byHash[hash]
}

// servedInSubtree returns the service by this router and its descendants.
func (t *tree) servedInSubtree(pool msg.PoolID, hash uint64, c *counter) int64 {
	if a := t.localAccount(pool, hash); a != nil {
		return c.fromChildren + int64(a.localServed)
	}
	return c.fromChildren
}

// slotsOf returns the slots of the admitters, at this router and its
// descendants, where the customer currently waits.
func (t *tree) slotsOf(pool msg.PoolID, hash uint64) int {
	n := 0
	if a := t.localAccount(pool, hash); a != nil && a.waiting > 0 {
		n = a.pool.slots
	}
	for _, c := range t.children {
		n += c.slots[countKey{pool, hash}]
	}
	return n
}

// addLocalCounters ensures that each local account that has waited has a
// counter.
func (t *tree) addLocalCounters() {
	for _, p := range t.n.admit.poolsByID {
		for hash, a := range p.byHash {
			if a.waitedSinceMerge || a.active {
				t.pool(p.id).counter(hash)
			}
		}
	}
}

// sortedPools returns the pool IDs in order.
func (t *tree) sortedPools() []msg.PoolID {
	ids := make([]msg.PoolID, 0, len(t.pools))
	for id := range t.pools {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// sendReport sends the parent a report of what it has not acknowledged.
func (t *tree) sendReport() {
	t.addLocalCounters()
	t.reportSeq++
	report := &ServiceReport{EdgeID: t.edgeID, Seq: t.reportSeq, BaseSeq: t.base, SettingsVersion: max(t.settings, t.newestSettings)}
	rec := t.newRecord()
	for _, id := range t.sortedPools() {
		var list []counterValue
		p := t.pools[id]
		for hash, c := range p.counters {
			v, slots := t.servedInSubtree(id, hash, c), t.slotsOf(id, hash)
			rec.values[c] = v
			if v != c.acked || slots > 0 {
				list = append(list, counterValue{hash, v - c.acked, slots})
			}
		}
		if len(list) > 0 {
			report.Pools = append(report.Pools, PoolCounters{Pool: id, PackedCounters: pack(list)})
		}
	}
	if t.base == 0 {
		report.KnownTotals = t.totalsAtReset
	}
	t.records = append(t.records, rec)
	if len(t.records) > maxRecords {
		t.records = t.records[1:]
	}
	t.n.messageTo(t.parent).ServiceReport = report
}

// newRecord returns a record of the local service and the children's reports
// that the current merge includes.
func (t *tree) newRecord() reportRecord {
	rec := reportRecord{
		seq: t.reportSeq, values: map[*counter]int64{},
		localServed: map[*account]float64{}, childSeqs: map[msg.RouterID]uint64{},
	}
	for id, c := range t.children {
		rec.childSeqs[id] = c.seq
	}
	for _, p := range t.n.admit.poolsByID {
		for _, a := range p.accounts {
			if a.waitedSinceMerge || a.active {
				rec.localServed[a] = a.localServed
			}
		}
	}
	return rec
}

func (t *tree) resetWaitedSinceMerge() {
	for _, p := range t.n.admit.poolsByID {
		for _, a := range p.accounts {
			a.waitedSinceMerge = a.waiting > 0
		}
	}
}

// handleReport applies a child's report.
func (t *tree) handleReport(from msg.RouterID, incarnation uint64, report *ServiceReport) {
	t.noteSettingsVersion(report.SettingsVersion)
	if !t.hasChild(from) {
		return
	}
	c := t.children[from]
	if c == nil || c.incarnation < incarnation || (c.incarnation == incarnation && c.edgeID < report.EdgeID) {
		if report.BaseSeq != 0 {
			return // the child does not know yet that this router has no record of its base
		}
		c = &child{incarnation: incarnation, edgeID: report.EdgeID, sinceBase: map[countKey]int64{}}
		t.children[from] = c
		t.adoptTotals(report.KnownTotals)
	}
	if c.incarnation != incarnation || c.edgeID != report.EdgeID || report.Seq <= c.seq {
		return
	}
	switch report.BaseSeq {
	case c.base:
	case c.seq:
		c.sinceBase = map[countKey]int64{}
	default:
		return
	}
	c.base, c.seq = report.BaseSeq, report.Seq
	c.slots = map[countKey]int{}
	for _, p := range report.Pools {
		tp := t.pool(p.Pool)
		for _, x := range unpack(p.PackedCounters) {
			key := countKey{p.Pool, x.hash}
			tp.counter(x.hash).fromChildren += x.value - c.sinceBase[key]
			c.sinceBase[key] = x.value
			c.slots[key] = x.slots
		}
	}
}

// adoptTotals adopts a child's totals that are ahead of this router's, as after
// a restart or a partition. This router's own totals are raised by the
// difference of the floors, so that service received while apart is neither
// reclaimed nor owed, whichever side was faster.
func (t *tree) adoptTotals(totals []PoolCounters) {
	for _, f := range totals {
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
			if !c.listed {
				c.total, c.listed = x.value, true
			}
		}
	}
}

// noteSettingsVersion records a version of the settings that another router has
// announced, and tells the shell if it is newer than the one in force.
func (t *tree) noteSettingsVersion(settings uint64) {
	if settings > t.newestSettings {
		t.newestSettings = settings
	}
	if t.newestSettings > t.settings {
		t.n.ready.SettingsVersion = t.newestSettings
	}
}
