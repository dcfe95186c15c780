package share

import (
	"container/heap"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// lasting is how many more merges a customer must wait at than not to count as
// backlogged.
const lasting = 2

// mergeRoot adds up all that came since the last merge and sends the totals
// down.
func (t *tree) mergeRoot() {
	t.touchOwn()
	rec := t.newRecord()
	d := &Down{Settings: max(t.settings, t.heard)}
	for _, id := range t.sortedPools() {
		p := t.pools[id]
		p.add(t, id)
		p.settle()
		if list := p.liveCounts(); len(list) > 0 {
			d.Pools = append(d.Pools, packTotals(id, p.floor, list))
		}
	}
	t.apply(d.Pools, &rec)
	t.forward(d, rec.kids)
}

// add takes into the totals what was served since the last merge.
func (p *treePool) add(t *tree, id msg.PoolID) {
	for hash, c := range p.counters {
		v := t.value(id, hash, c)
		c.slots = t.slotsOf(id, hash)
		c.observe(c.slots > 0)
		if !c.live {
			c.total = p.floor
		}
		c.total += v - c.acked
		c.acked = v
	}
}

// observe judges whether the customer is backlogged or waits by chance.
func (c *counter) observe(waits bool) {
	if waits {
		c.seen = min(c.seen+1, lasting)
	} else {
		c.seen = max(c.seen-1, 0)
	}
	if c.seen == 0 || c.seen == lasting {
		c.long = c.seen == lasting
	}
}

// settle raises the floor to the least total of the backlogged customers, and
// drops those at or below it that are not backlogged: whoever comes back gets
// the floor. With nobody backlogged there is nothing to be ahead of.
func (p *treePool) settle() {
	least, any := int64(0), false
	for _, c := range p.counters {
		if c.long && (!any || c.total < least) {
			least, any = c.total, true
		}
	}
	if any && least > p.floor {
		p.floor = least
	}
	for _, c := range p.counters {
		c.live = c.long || (any && c.total > p.floor)
	}
}

func (p *treePool) liveCounts() []count {
	var list []count
	for hash, c := range p.counters {
		if c.live {
			list = append(list, count{hash, c.total - p.floor, c.slots})
		}
	}
	return list
}

// down takes the parent's totals, and passes them on.
func (t *tree) down(from msg.RouterID, incarnation uint64, d *Down) {
	t.hear(d.Settings)
	if from != t.parent || incarnation < t.parentInc || (t.parentInc == incarnation && d.Seq <= t.downSeq) {
		return
	}
	restarted := t.parentInc != 0 && incarnation != t.parentInc
	forgotten := t.base != 0 && d.Edge != t.edge
	if restarted || forgotten {
		t.newEdge(incarnation)
	}
	t.parentInc, t.downSeq = incarnation, d.Seq
	t.upAt = t.n.now + t.interval() - time.Duration(t.depth)*levelDelay
	var rec *record
	if d.Edge == t.edge {
		t.acknowledge(d.Ack)
		rec = t.recordOf(d.Included)
	}
	t.apply(d.Pools, rec)
	kids := map[msg.RouterID]uint64{}
	if rec != nil {
		kids = rec.kids
	}
	t.forward(d, kids)
}

// acknowledge moves the base of what is sent up.
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

func (t *tree) recordOf(seq uint64) *record {
	for i := range t.records {
		if t.records[i].seq == seq {
			return &t.records[i]
		}
	}
	return nil
}

// forward sends the totals to the children.
func (t *tree) forward(d *Down, included map[msg.RouterID]uint64) {
	t.merge++
	for _, id := range t.kids {
		out := &Down{Seq: t.merge, Pools: d.Pools, Settings: d.Settings}
		if c := t.children[id]; c != nil {
			out.Edge, out.Ack, out.Included = c.edge, c.seq, included[id]
		}
		t.n.to(id).Down = out
	}
}

// apply puts the totals into the accounts. rec says what they include of this
// router's own service; nil: not known.
func (t *tree) apply(pools []PoolCount, rec *record) {
	listed := map[*account]bool{}
	live := map[*counter]bool{}
	for _, pc := range pools {
		p := t.pool(pc.Pool)
		p.floor = max(p.floor, pc.Floor)
		for i, x := range pc.totals() {
			c := p.counter(x.hash)
			if t.parent != "" {
				c.total, c.slots, c.live = x.value, x.slots, true // the root's are exact
			}
			live[c] = true
			if a := t.own(pc.Pool, x.hash); a != nil {
				listed[a] = true
				a.merged(x, rec)
				a.rank = rankStep * float64(i)
			}
		}
	}
	t.forgetIdle(live)
	t.resetWaited()
	for _, p := range t.n.admit.order {
		if tp := t.pools[p.id]; tp != nil {
			p.floor = float64(tp.floor)
		}
		for _, a := range p.accounts {
			a.active = listed[a]
		}
		for _, a := range p.heap {
			a.key = a.order()
		}
		heap.Init(&p.heap)
	}
}

// merged takes a merge's total.
func (a *account) merged(c count, rec *record) {
	a.total, a.slots = float64(c.value), c.slots
	if rec == nil {
		return
	}
	if own, ok := rec.own[a]; ok {
		a.included = own
	}
}

// forgetIdle marks the counters that the totals no longer list.
func (t *tree) forgetIdle(live map[*counter]bool) {
	for _, p := range t.pools {
		for _, c := range p.counters {
			if !live[c] {
				c.live, c.slots = false, 0
			}
		}
	}
}

// accountIdle is how long the account of a customer that does not come is kept.
const accountIdle = 10 * time.Minute

// forgetIdleAccounts drops accounts long unused. What they have served stays in
// the counters.
func (t *tree) forgetIdleAccounts(p *admitPool) {
	for id, a := range p.accounts {
		if len(a.regs) > 0 || a.active || a.waited || t.n.now-a.usedAt < accountIdle {
			continue
		}
		t.pool(p.id).counter(a.hash).below += int64(a.own)
		delete(p.accounts, id)
		delete(p.byHash, a.hash)
	}
}
