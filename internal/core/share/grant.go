package share

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// grantResendDelay is the time after which an unconfirmed grant is first sent
// again. The delay doubles with each resend.
const grantResendDelay = 150 * time.Millisecond

// grantAll grants free slots until none is left or nothing waits for one.
func (a *admitter) grantAll() {
	if !a.dirty {
		return
	}
	a.dirty = false
	for a.grantOne() {
	}
	for _, p := range a.poolsByID {
		p.markWaiting()
	}
}

// markWaiting marks the customers that were not granted a slot at once.
func (p *admitPool) markWaiting() {
	for _, c := range p.newlyQueued {
		c.waitedSinceMerge = c.waitedSinceMerge || c.waiting > 0
	}
	p.newlyQueued = p.newlyQueued[:0]
}

// grantOne grants a slot of the server with the most free ones, and reports
// whether there was a free slot that a request waits for.
func (a *admitter) grantOne() bool {
	var best *poolServer
	var to *registeredQueue
	for _, s := range a.ownedServers {
		if s.freeSlots() <= 0 || (best != nil && s.freeSlots() <= best.freeSlots()) {
			continue
		}
		if r := a.nextForServer(s); r != nil {
			best, to = s, r
		}
	}
	if best == nil {
		return false
	}
	a.grant(best, to)
	return true
}

// nextForServer returns the queue that gets the server's next slot: that of the
// least served customer of the first pool with an eligible one. The pools take
// turns.
func (a *admitter) nextForServer(s *poolServer) *registeredQueue {
	for i := range s.pools {
		p := a.pools[s.pools[(s.nextPool+i)%len(s.pools)]]
		if r := p.nextRegistration(s.id); r != nil {
			return r
		}
	}
	return nil
}

// nextRegistration returns the pool's queue that gets the server's next slot.
// Accounts beyond the first of the heap are considered only if all queues of
// the first one avoid the server.
func (p *admitPool) nextRegistration(server msg.ServerID) *registeredQueue {
	if len(p.heap) == 0 {
		return nil
	}
	if r := p.heap[0].nextRegistration(server); r != nil {
		return r
	}
	var best *registeredQueue
	for _, c := range p.heap {
		if best != nil && c.key >= best.account.key {
			continue
		}
		if r := c.nextRegistration(server); r != nil {
			best = r
		}
	}
	return best
}

// nextRegistration returns the customer's next queue, in rotation, that accepts
// the server.
func (c *account) nextRegistration(server msg.ServerID) *registeredQueue {
	for i := range c.regs {
		r := c.regs[(c.nextRegIndex+i)%len(c.regs)]
		if r.count > 0 && !slices.Contains(r.avoid, server) {
			return r
		}
	}
	return nil
}

// grant grants the queue a slot of the server and charges the estimated cost.
func (a *admitter) grant(s *poolServer, r *registeredQueue) {
	c := r.account
	s.nextPool++
	c.nextRegIndex = (slices.Index(c.regs, r) + 1) % len(c.regs)
	a.lastSeq++
	g := &grantRecord{
		seq: a.lastSeq, server: s, account: c, reg: r, entry: r.entry,
		charged: estimateCost(c.mean, c.pool.mean), at: a.n.now, keptAliveAt: a.n.now,
	}
	g.estimated = g.charged
	a.stats.Granted++
	a.grants[g.seq] = g
	a.entries[r.entry].grants[g.seq] = g
	s.addOutstanding(a.n.now, 1)
	r.count--
	r.unseen = append(r.unseen, g.seq)
	c.charge(g.charged)
	c.setWaiting(c.waiting - 1)
	if r.entry != a.n.cfg.ID {
		g.unconfirmed, g.resendDelay, g.resendAt = true, grantResendDelay, a.n.now+grantResendDelay
		a.unconfirmed = append(a.unconfirmed, g)
	}
	a.sendGrant(g)
}

func (a *admitter) sendGrant(g *grantRecord) {
	m := a.n.messageTo(g.entry)
	if !m.addressTo(a.entries[g.entry].incarnation) {
		return // the entry has restarted
	}
	m.Grants = append(m.Grants, Grant{Seq: g.seq, QueueID: g.reg.queue, Server: g.server.id, Addr: a.n.addrs[g.server.id]})
}
