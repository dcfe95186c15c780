package member

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// Step handles a message from another router.
func (n *Node) Step(now time.Duration, from msg.RouterID, m Message) {
	if from == n.self.ID || len(from) > maxNameLen || n.self.State == Left {
		return
	}
	if n.isOutdated(from, m) {
		return
	}
	for _, u := range m.Updates[:min(len(m.Updates), maxUpdates+maxPiggyback)] {
		n.apply(now, u)
	}
	n.noteSettingsVersion(from, m.SettingsVersion)
	n.compareViews(now, from, m)
	switch m.Type {
	case Ping:
		n.sendAck(from, m.Seq)
	case Ack:
		n.handleAck(from, m)
	case PingRequest:
		n.relayPing(now, from, m)
	}
	n.gossipPending(now)
}

// isOutdated reports whether a message comes from an older incarnation than the
// known one. A Ping from it is answered with the known incarnation, in case the
// sender is running and was started with too low an incarnation.
func (n *Node) isOutdated(from msg.RouterID, m Message) bool {
	e, ok := n.members[from]
	if !ok || m.Incarnation >= e.Incarnation {
		return false
	}
	if m.Type == Ping {
		n.send(from, Message{Type: Ack, Seq: m.Seq, Updates: []Update{e.Update}})
	}
	return true
}

func (n *Node) noteSettingsVersion(from msg.RouterID, version uint64) {
	if version > n.settingsVersion && version > n.ready.Newer.Version {
		n.ready.Newer = NewerSettings{From: from, Version: version}
	}
}

func (n *Node) sendAck(to msg.RouterID, seq uint64) {
	updates := n.piggybacked()
	if e, ok := n.members[to]; ok && e.State >= Suspect {
		updates = appendUnique(updates, e.Update)
	}
	n.send(to, Message{Type: Ack, Seq: seq, Updates: updates})
}

// handleAck completes the probe or relay that the Ack answers. A direct Ack is
// sent by the target; a relayed one names it in Target.
func (n *Node) handleAck(from msg.RouterID, m Message) {
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

// relayPing pings the target of a PingRequest.
func (n *Node) relayPing(now time.Duration, from msg.RouterID, m Message) {
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
		deadline:  now + relayTimeout,
	})
	n.ping(m.Target, n.seq)
}

// compareViews starts a sync with a sender that is not in the view, or whose
// view digest has differed syncAfterMismatches times in a row. A router that has
// not joined yet starts one with any sender.
func (n *Node) compareViews(now time.Duration, from msg.RouterID, m Message) {
	e, ok := n.members[from]
	if !ok || e.Incarnation != m.Incarnation || !e.State.present() || !n.joined {
		n.sync(now, from)
		return
	}
	if m.Type != Ping {
		return
	}
	n.currentRing() // updates the digest
	if m.Digest == n.digest {
		e.digestMismatches = 0
		n.dropConfirmedUpdates()
		return
	}
	e.digestMismatches++
	if e.digestMismatches >= syncAfterMismatches {
		e.digestMismatches = 0
		n.sync(now, from)
	}
}

// dropConfirmedUpdates stops piggybacking updates after a matching digest: the
// predecessor on the ring has the same view, and a router whose view differs is
// detected by its successor. Suspicions are kept, because digests do not
// include states.
func (n *Node) dropConfirmedUpdates() {
	for id := range n.piggyback {
		if e, ok := n.members[id]; !ok || e.State != Suspect {
			delete(n.piggyback, id)
		}
	}
}

func (n *Node) sync(now time.Duration, peer msg.RouterID) {
	if now < n.nextSync {
		return
	}
	n.nextSync = now + minSyncInterval
	n.ready.Sync = append(n.ready.Sync, peer)
}

// SyncRequest returns this router's whole view, to be sent to a router listed
// in Ready.Sync.
func (n *Node) SyncRequest() SyncMessage {
	message := SyncMessage{Updates: []Update{n.self}}
	for _, id := range n.order {
		message.Updates = append(message.Updates, n.members[id].Update)
	}
	return message
}

// SyncReply merges a view sent by another router and returns the updates in
// which this router's view is newer.
func (n *Node) SyncReply(now time.Duration, request SyncMessage) SyncMessage {
	n.joined = true
	n.merge(now, request)
	peerUpdates := make(map[msg.RouterID]Update, len(request.Updates))
	for _, u := range request.Updates {
		peerUpdates[u.ID] = u
	}
	var reply SyncMessage
	for _, u := range n.SyncRequest().Updates {
		if u.newer(peerUpdates[u.ID]) {
			reply.Updates = append(reply.Updates, u)
		}
	}
	n.gossipPending(now)
	return reply
}

// SyncDone merges the reply to a SyncRequest.
func (n *Node) SyncDone(now time.Duration, reply SyncMessage) {
	n.joined = true
	n.merge(now, reply)
	n.gossipPending(now)
}

func (n *Node) merge(now time.Duration, message SyncMessage) {
	for _, u := range message.Updates[:min(len(message.Updates), maxMembers)] {
		n.apply(now, u)
	}
}
