package share

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// resendAfter is how long after it was sent a grant that is not confirmed is
// sent again; each further time takes twice as long.
const resendAfter = 150 * time.Millisecond

// grantAll hands out free slots until none is free or nothing waits for one.
func (a *admitter) grantAll() {
	if !a.dirty {
		return
	}
	a.dirty = false
	for a.grantOne() {
	}
	for _, p := range a.order {
		p.markWaited()
	}
}

// markWaited notes who was not granted a slot at once.
func (p *admitPool) markWaited() {
	for _, c := range p.fresh {
		c.waited = c.waited || c.waiting > 0
	}
	p.fresh = p.fresh[:0]
}

// grantOne hands out a slot of the server with the most free ones, and tells
// whether there was one that something waits for.
func (a *admitter) grantOne() bool {
	var best *poolServer
	var to *registration
	for _, s := range a.mine {
		if s.free() <= 0 || (best != nil && s.free() <= best.free()) {
			continue
		}
		if r := a.next(s); r != nil {
			best, to = s, r
		}
	}
	if best == nil {
		return false
	}
	a.grant(best, to)
	return true
}

// next returns the registration that a slot of the server should go to: of
// the least served customer, the server's pools in turn.
func (a *admitter) next(s *poolServer) *registration {
	for i := range s.pools {
		p := a.pools[s.pools[(s.turn+i)%len(s.pools)]]
		if r := p.next(s.id); r != nil {
			return r
		}
	}
	return nil
}

// next returns the registration of the pool that is next for a slot of the
// server. The heap's order is followed past its first account only if all
// that one's registrations avoid the server.
func (p *admitPool) next(server msg.ServerID) *registration {
	if len(p.heap) == 0 {
		return nil
	}
	if r := p.heap[0].nextReg(server); r != nil {
		return r
	}
	var best *registration
	for _, c := range p.heap {
		if best != nil && c.key >= best.account.key {
			continue
		}
		if r := c.nextReg(server); r != nil {
			best = r
		}
	}
	return best
}

// nextReg returns the customer's next registration that takes the server, in
// turn.
func (c *account) nextReg(server msg.ServerID) *registration {
	for i := range c.regs {
		r := c.regs[(c.turn+i)%len(c.regs)]
		if r.count > 0 && !slices.Contains(r.avoid, server) {
			return r
		}
	}
	return nil
}

// grant gives the registration a slot of the server and charges the estimate.
func (a *admitter) grant(s *poolServer, r *registration) {
	c := r.account
	s.turn++
	c.turn = (slices.Index(c.regs, r) + 1) % len(c.regs)
	a.lastSeq++
	g := &grantRecord{
		seq: a.lastSeq, server: s, account: c, reg: r, entry: r.entry,
		charged: estimate(c.mean, c.pool.mean), at: a.n.now, alive: a.n.now,
	}
	g.guess = g.charged
	a.stats.Granted++
	a.grants[g.seq] = g
	a.entries[r.entry].grants[g.seq] = g
	s.hold(a.n.now, 1)
	r.count--
	r.pending = append(r.pending, g.seq)
	c.charge(g.charged)
	c.setWaiting(c.waiting - 1)
	if r.entry != a.n.cfg.ID {
		g.sent, g.wait, g.resend = true, resendAfter, a.n.now+resendAfter
		a.unsure = append(a.unsure, g)
	}
	a.send(g)
}

func (a *admitter) send(g *grantRecord) {
	m := a.n.to(g.entry)
	if !m.about(a.entries[g.entry].incarnation) {
		return // the entry has restarted
	}
	m.Grants = append(m.Grants, Grant{Seq: g.seq, Queue: g.reg.queue, Server: g.server.id, Addr: a.n.addrs[g.server.id]})
}
