package share

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Reconnected says that the link to a router works anew. Messages may have been
// lost, so what the router needs to know is told again at once rather than
// when it is next due.
func (n *Node) Reconnected(now time.Duration, peer msg.RouterID) {
	n.advance(now)
	n.entry.reconnected(peer)
	n.admit.reconnected(peer)
	n.settle()
}

// reconnected registers what waits again, and says soon which grants are held.
func (e *entry) reconnected(peer msg.RouterID) {
	for _, q := range e.waitingQueues() {
		if t := q.told[peer]; t != nil && t.count > 0 {
			t.at = e.n.now
			e.sendWait(q, peer, t)
		}
		if e.n.members.owner(ownPool, string(q.pool.id)) == peer {
			q.pool.everAsked = false
			e.askFor(q.pool, true)
		}
	}
	if p := e.peers[peer]; p != nil {
		e.keepBy(p, e.n.now)
	}
}

// reconnected sends the grants that are not confirmed again soon, and tells the
// directories there of this router's slots.
func (a *admitter) reconnected(peer msg.RouterID) {
	for _, g := range a.unsure {
		if g.entry == peer {
			g.resend = a.n.now
		}
	}
	for _, p := range a.order {
		if a.n.members.owner(ownPool, string(p.id)) == peer {
			p.told = Have{Pool: p.id}
		}
	}
}
