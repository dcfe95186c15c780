package share

import (
	"container/heap"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// backlogMerges is how many more merges a customer must wait at than not, to
// count as backlogged.
const backlogMerges = 2

// mergeAtRoot adds what was reported since the last merge to the totals, and
// sends them down.
func (t *tree) mergeAtRoot() {
	t.addLocalCounters()
	rec := t.newRecord()
	d := &FleetTotals{SettingsVersion: max(t.settings, t.newestSettings)}
	for _, id := range t.sortedPools() {
		p := t.pools[id]
		p.addServed(t, id)
		p.updateFloor()
		if list := p.listedCounts(); len(list) > 0 {
			d.Pools = append(d.Pools, packTotals(id, p.floor, list))
		}
	}
	t.applyTotals(d.Pools, &rec)
	t.forward(d, rec.childSeqs)
}

// addServed adds the service since the last merge to the totals.
func (p *treePool) addServed(t *tree, id msg.PoolID) {
	for hash, c := range p.counters {
		v := t.servedInSubtree(id, hash, c)
		c.slots = t.slotsOf(id, hash)
		c.observe(c.slots > 0)
		if !c.listed {
			c.total = p.floor
		}
		c.total += v - c.acked
		c.acked = v
	}
}

// observe updates whether the customer is backlogged or waits only by chance.
func (c *counter) observe(waits bool) {
	if waits {
		c.waitScore = min(c.waitScore+1, backlogMerges)
	} else {
		c.waitScore = max(c.waitScore-1, 0)
	}
	if c.waitScore == 0 || c.waitScore == backlogMerges {
		c.backlogged = c.waitScore == backlogMerges
	}
}

// updateFloor raises the floor to the least total of the backlogged customers.
// It unlists customers that are not backlogged and at or below the floor, since
// a customer that returns starts at the floor anyway. If nobody is backlogged,
// all are unlisted, as there is nobody to be ahead of.
func (p *treePool) updateFloor() {
	least, any := int64(0), false
	for _, c := range p.counters {
		if c.backlogged && (!any || c.total < least) {
			least, any = c.total, true
		}
	}
	if any && least > p.floor {
		p.floor = least
	}
	for _, c := range p.counters {
		c.listed = c.backlogged || (any && c.total > p.floor)
	}
}

func (p *treePool) listedCounts() []counterValue {
	var list []counterValue
	for hash, c := range p.counters {
		if c.listed {
			list = append(list, counterValue{hash, c.total - p.floor, c.slots})
		}
	}
	return list
}

// handleTotals applies the parent's totals and forwards them.
func (t *tree) handleTotals(from msg.RouterID, incarnation uint64, d *FleetTotals) {
	t.noteSettingsVersion(d.SettingsVersion)
	if from != t.parent || incarnation < t.parentIncarnation || (t.parentIncarnation == incarnation && d.Seq <= t.totalsSeq) {
		return
	}
	restarted := t.parentIncarnation != 0 && incarnation != t.parentIncarnation
	forgotten := t.base != 0 && d.EdgeID != t.edgeID
	if restarted || forgotten {
		t.resetEdge(incarnation)
	}
	t.parentIncarnation, t.totalsSeq = incarnation, d.Seq
	t.nextReportAt = t.n.now + t.interval() - time.Duration(t.depth)*levelStagger
	var rec *reportRecord
	if d.EdgeID == t.edgeID {
		t.acknowledge(d.AckSeq)
		rec = t.recordOf(d.IncludedSeq)
	}
	t.applyTotals(d.Pools, rec)
	childSeqs := map[msg.RouterID]uint64{}
	if rec != nil {
		childSeqs = rec.childSeqs
	}
	t.forward(d, childSeqs)
}

// acknowledge advances the base of the reports to an acknowledged one.
func (t *tree) acknowledge(seq uint64) {
	rec := t.recordOf(seq)
	if rec == nil || seq <= t.base {
		return
	}
	t.base = seq
	for c, v := range rec.values {
		c.acked = v
	}
}

func (t *tree) recordOf(seq uint64) *reportRecord {
	for i := range t.records {
		if t.records[i].seq == seq {
			return &t.records[i]
		}
	}
	return nil
}

// forward sends the totals to the children.
func (t *tree) forward(d *FleetTotals, included map[msg.RouterID]uint64) {
	t.mergeSeq++
	for _, id := range t.childIDs {
		out := &FleetTotals{Seq: t.mergeSeq, Pools: d.Pools, SettingsVersion: d.SettingsVersion}
		if c := t.children[id]; c != nil {
			out.EdgeID, out.AckSeq, out.IncludedSeq = c.edgeID, c.seq, included[id]
		}
		t.n.messageTo(id).FleetTotals = out
	}
}

// applyTotals copies the totals into the accounts. rec records the local
// service that they include; nil: unknown.
func (t *tree) applyTotals(pools []PoolCounters, rec *reportRecord) {
	listedAccounts := map[*account]bool{}
	listedCounters := map[*counter]bool{}
	for _, pc := range pools {
		p := t.pool(pc.Pool)
		p.floor = max(p.floor, pc.Floor)
		for i, x := range pc.totals() {
			c := p.counter(x.hash)
			if t.parent != "" {
				c.total, c.slots, c.listed = x.value, x.slots, true // the root's own totals are exact, these are rounded
			}
			listedCounters[c] = true
			if a := t.localAccount(pc.Pool, x.hash); a != nil {
				listedAccounts[a] = true
				a.applyMerge(x, rec)
				a.rank = rankStep * float64(i)
			}
		}
	}
	t.unlistCounters(listedCounters)
	t.resetWaitedSinceMerge()
	for _, p := range t.n.admit.poolsByID {
		if tp := t.pools[p.id]; tp != nil {
			p.floor = float64(tp.floor)
		}
		for _, a := range p.accounts {
			a.active = listedAccounts[a]
		}
		for _, a := range p.heap {
			a.key = a.sortKey()
		}
		heap.Init(&p.heap)
	}
}

// applyMerge applies the customer's total of a merge.
func (a *account) applyMerge(c counterValue, rec *reportRecord) {
	a.mergedTotal, a.slots = float64(c.value), c.slots
	if rec == nil {
		return
	}
	if own, ok := rec.localServed[a]; ok {
		a.localMerged = own
	}
}

// unlistCounters marks the counters that are no longer in the totals.
func (t *tree) unlistCounters(listed map[*counter]bool) {
	for _, p := range t.pools {
		for _, c := range p.counters {
			if !listed[c] {
				c.listed, c.slots = false, 0
			}
		}
	}
}

// accountExpiry is how long the account of an inactive customer is kept.
const accountExpiry = 10 * time.Minute

// forgetIdleAccounts deletes accounts that have long been unused. Their service
// stays in the counters.
func (t *tree) forgetIdleAccounts(p *admitPool) {
	for id, a := range p.accounts {
		if len(a.regs) > 0 || a.active || a.waitedSinceMerge || t.n.now-a.usedAt < accountExpiry {
			continue
		}
		t.pool(p.id).counter(a.hash).fromChildren += int64(a.localServed)
		delete(p.accounts, id)
		delete(p.byHash, a.hash)
	}
}
