package member

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Step takes a message from another router.
func (n *Node) Step(now time.Duration, from msg.RouterID, m Message) {
	if from == n.self.ID || len(from) > maxName || n.self.State == Left {
		return
	}
	if n.outdated(from, m) {
		return
	}
	for _, u := range m.Updates[:min(len(m.Updates), maxUpdates+maxPiggyback)] {
		n.apply(now, u)
	}
	n.noteSettings(from, m.Settings)
	n.compare(now, from, m)
	switch m.Type {
	case Ping:
		n.ack(from, m.Seq)
	case Ack:
		n.acked(from, m)
	case PingRequest:
		n.relay(now, from, m)
	}
	n.flood(now)
}

// outdated says whether a message comes from an incarnation that is over. It
// is told so, in case it lives and its incarnation was badly chosen.
func (n *Node) outdated(from msg.RouterID, m Message) bool {
	e, ok := n.members[from]
	if !ok || m.Incarnation >= e.Incarnation {
		return false
	}
	if m.Type == Ping {
		n.send(from, Message{Type: Ack, Seq: m.Seq, Updates: []Update{e.Update}})
	}
	return true
}

func (n *Node) noteSettings(from msg.RouterID, version uint64) {
	if version > n.settings && version > n.ready.Newer.Version {
		n.ready.Newer = NewerSettings{From: from, Version: version}
	}
}

func (n *Node) ack(to msg.RouterID, seq uint64) {
	updates := n.piggybacked()
	if e, ok := n.members[to]; ok && e.State >= Suspect {
		updates = with(updates, e.Update)
	}
	n.send(to, Message{Type: Ack, Seq: seq, Updates: updates})
}

// acked ends the probe or relay that the Ack answers. A direct Ack comes
// from the target, an indirect one names it.
func (n *Node) acked(from msg.RouterID, m Message) {
	target := from
	if m.Target != "" {
		target = m.Target
	}
	n.probes = slices.DeleteFunc(n.probes, func(p probe) bool {
		return p.seq == m.Seq && p.target == target
	})
	for i, r := range n.relays {
		if r.seq == m.Seq && r.target == from && m.Target == "" {
			n.send(r.origin, Message{Type: Ack, Seq: r.originSeq, Target: from})
			n.relays = slices.Delete(n.relays, i, i+1)
			return
		}
	}
}

// relay pings the target for another router.
func (n *Node) relay(now time.Duration, from msg.RouterID, m Message) {
	e, ok := n.members[m.Target]
	if !ok || !e.State.present() || len(n.relays) >= maxRelays {
		return
	}
	n.seq++
	n.relays = append(n.relays, relay{
		seq:       n.seq,
		origin:    from,
		originSeq: m.Seq,
		target:    m.Target,
		deadline:  now + relayTime,
	})
	n.ping(m.Target, n.seq)
}

// compare starts an exchange of views with a sender whose view differs, or
// that is not in the view itself.
func (n *Node) compare(now time.Duration, from msg.RouterID, m Message) {
	e, ok := n.members[from]
	if !ok || e.Incarnation != m.Incarnation || !e.State.present() || !n.joined {
		n.sync(now, from)
		return
	}
	if m.Type != Ping {
		return
	}
	n.view() // renews the digest
	if m.Digest == n.digest {
		e.differ = 0
		n.settled()
		return
	}
	e.differ++
	if e.differ >= mismatches {
		e.differ = 0
		n.sync(now, from)
	}
}

// settled stops the repetition of updates, but for suspicions, which digests
// do not show: the router before this one has the same view, and if another
// has not, the one behind it finds out.
func (n *Node) settled() {
	for id := range n.piggyback {
		if e, ok := n.members[id]; !ok || e.State != Suspect {
			delete(n.piggyback, id)
		}
	}
}

func (n *Node) sync(now time.Duration, with msg.RouterID) {
	if now < n.nextSync {
		return
	}
	n.nextSync = now + syncGap
	n.ready.Sync = append(n.ready.Sync, with)
}

// SyncRequest returns this router's view, to be sent to one of Ready.Sync.
func (n *Node) SyncRequest() Full {
	full := Full{Updates: []Update{n.self}}
	for _, id := range n.order {
		full.Updates = append(full.Updates, n.members[id].Update)
	}
	return full
}

// SyncReply takes the view that another router sent and returns what is newer
// here.
func (n *Node) SyncReply(now time.Duration, request Full) Full {
	n.joined = true
	n.merge(now, request)
	theirs := make(map[msg.RouterID]Update, len(request.Updates))
	for _, u := range request.Updates {
		theirs[u.ID] = u
	}
	var reply Full
	for _, u := range n.SyncRequest().Updates {
		if u.newer(theirs[u.ID]) {
			reply.Updates = append(reply.Updates, u)
		}
	}
	n.flood(now)
	return reply
}

// SyncDone takes the answer to a SyncRequest.
func (n *Node) SyncDone(now time.Duration, reply Full) {
	n.joined = true
	n.merge(now, reply)
	n.flood(now)
}

func (n *Node) merge(now time.Duration, full Full) {
	for _, u := range full.Updates[:min(len(full.Updates), maxMembers)] {
		n.apply(now, u)
	}
}
