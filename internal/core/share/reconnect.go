package share

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// HandleReconnect reports that the link to a router was re-established.
// Messages may have been lost, so the Node sends what the peer needs at once
// instead of at the next regular time.
func (n *Node) HandleReconnect(now time.Duration, peer msg.RouterID) {
	n.advance(now)
	n.entry.reconnected(peer)
	n.admit.reconnected(peer)
	n.process()
}

// reconnected repeats the registrations and demands that the peer needs, and
// schedules a keep-alive at once.
func (e *entry) reconnected(peer msg.RouterID) {
	for _, q := range e.waitingQueues() {
		if t := q.registrations[peer]; t != nil && t.count > 0 {
			t.at = e.n.now
			e.sendRegistration(q, peer, t)
		}
		if e.n.members.owner(ownerOfPool, string(q.pool.id)) == peer {
			q.pool.demandSent = false
			e.sendDemand(q.pool, true)
		}
	}
	if p := e.peers[peer]; p != nil {
		e.scheduleKeepAlive(p, e.n.now)
	}
}

// reconnected schedules the resending of unconfirmed grants at once, and the
// sending of this router's capacity to the pools' directories at the peer.
func (a *admitter) reconnected(peer msg.RouterID) {
	for _, g := range a.unconfirmed {
		if g.entry == peer {
			g.resendAt = a.n.now
		}
	}
	for _, p := range a.poolsByID {
		if a.n.members.owner(ownerOfPool, string(p.id)) == peer {
			p.lastCapacity = Capacity{Pool: p.id}
		}
	}
}
