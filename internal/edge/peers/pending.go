package peers

import "github.com/windscale/windscale/internal/core/pick"

// sentMost bounds the parts of one server that a reporter tells on at once. What is
// not told is read again once, or fetched from a home in vain; a report of 60 servers
// with so many parts is as long as a datagram may be.
const sentMost = 200

// pending are the parts of prompts that were sent to servers, as a reporter has yet
// to tell them on.
type pending struct {
	outward pick.Sent // to the other data centres: what was sent from this one
	inward  pick.Sent // to the routers of this data centre: what was sent from any
}

func newPending() pending { return pending{outward: pick.Sent{}, inward: pick.Sent{}} }

// keep keeps what a report of the kind told.
func (n *pending) keep(k kind, sent pick.Sent) {
	if k == kindOwn {
		addSent(n.outward, sent)
	}
	addSent(n.inward, sent)
}

// addSent adds from to what is kept in to.
func addSent(to, from pick.Sent) {
	for id, parts := range from {
		if len(to[id])+len(parts) <= sentMost {
			to[id] = append(to[id], parts...)
		}
	}
}

// keepPending keeps what a report of the kind told, if this router tells it on.
func (p *Peers) keepPending(k kind, sent pick.Sent) {
	if len(sent) == 0 || k == kindTotal {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.spread.Mesh() && p.spread.Reporter() {
		p.pending.keep(k, sent)
	}
}

// takePending adds this router's own pending to those kept and empties those that are
// told now.
func (p *Peers) takePending(own pick.Sent, out, in bool) (outward, inward pick.Sent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.keep(kindOwn, own)
	if out {
		outward, p.pending.outward = p.pending.outward, pick.Sent{}
	}
	if in {
		inward, p.pending.inward = p.pending.inward, pick.Sent{}
	}
	return outward, inward
}
