package member

import (
	"math"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// apply merges an update into the view if it is newer.
func (n *Node) apply(now time.Duration, u Update) {
	if !u.valid() {
		return
	}
	if u.ID == n.self.ID {
		n.applySelf(u)
		return
	}
	e, known := n.members[u.ID]
	if !known {
		n.insert(now, u)
		return
	}
	// A member is never removed on the report of another router alone, but only
	// after a local suspicion timeout in which it can refute. After a network
	// partition, each side reports the members of the other side as dead.
	if u.State == Dead && e.State.present() {
		u.State = Suspect
	}
	if u.newer(e.Update) {
		n.setUpdate(now, e, u)
	}
}

// insert adds a previously unknown member. Dead and Left members are not added;
// otherwise routers would keep spreading expired tombstones to each other.
func (n *Node) insert(now time.Duration, u Update) {
	if !u.State.present() || len(n.members) >= maxMembers {
		return
	}
	e := &entry{}
	n.members[u.ID] = e
	index, _ := slices.BinarySearch(n.order, u.ID)
	n.order = slices.Insert(n.order, index, u.ID)
	n.setUpdate(now, e, u)
}

func (n *Node) setUpdate(now time.Duration, e *entry, u Update) {
	e.Update = u
	switch u.State {
	case Suspect:
		e.deadline = now + SuspicionTime
	case Dead, Left:
		e.deadline = now + tombstoneTTL
	}
	n.viewChanged()
	n.disseminate(u.ID)
}

// applySelf handles an update about this router and refutes it if it is wrong.
func (n *Node) applySelf(u Update) {
	switch {
	case u.Incarnation > n.self.Incarnation:
		n.ready.Superseded = max(n.ready.Superseded, u.Incarnation)
	case u.Incarnation < n.self.Incarnation:
		n.disseminate(n.self.ID) // the sender does not know this incarnation yet
	case u.State < Suspect || u.Refutation < n.self.Refutation || n.self.State == Left:
		return
	case u.Refutation == math.MaxUint32:
		n.ready.Superseded = u.Incarnation // the refutation number cannot be increased further
	default:
		n.self.Refutation = u.Refutation + 1
		n.viewChanged()
		n.disseminate(n.self.ID)
	}
}

// expire declares suspects dead after their timeout and removes expired
// tombstones.
func (n *Node) expire(now time.Duration) {
	for _, id := range slices.Clone(n.order) {
		e := n.members[id]
		if e.State < Suspect || now < e.deadline {
			continue
		}
		if e.State == Suspect {
			n.declareDead(now, e)
			continue
		}
		n.remove(id)
	}
}

// declareDead marks a suspect as dead. This is not disseminated, because the
// suspicion expires at the other routers at about the same time.
func (n *Node) declareDead(now time.Duration, e *entry) {
	e.State = Dead
	e.deadline = now + tombstoneTTL
	delete(n.piggyback, e.ID)
	n.viewChanged()
}

func (n *Node) remove(id msg.RouterID) {
	delete(n.members, id)
	delete(n.piggyback, id)
	index, _ := slices.BinarySearch(n.order, id)
	n.order = slices.Delete(n.order, index, index+1)
}

// disseminate schedules the member's update for gossip and piggybacking.
func (n *Node) disseminate(id msg.RouterID) {
	n.piggyback[id] = retransmissions
	if !slices.Contains(n.pendingGossip, id) {
		n.pendingGossip = append(n.pendingGossip, id)
	}
}

// lookup returns the current update for a member, which may be this router.
func (n *Node) lookup(id msg.RouterID) (Update, bool) {
	if id == n.self.ID {
		return n.self, true
	}
	e, ok := n.members[id]
	if !ok {
		return Update{}, false
	}
	return e.Update, true
}

// gossipPending sends pending updates to the fingers, at most once per tick, so
// that simultaneous changes share messages.
func (n *Node) gossipPending(now time.Duration) {
	if now < n.nextGossip || len(n.pendingGossip) == 0 && !n.announceSettings {
		return
	}
	targets := n.fingers()
	if len(targets) == 0 {
		return
	}
	n.nextGossip = now + TickPeriod
	var updates []Update
	for _, id := range n.pendingGossip {
		u, ok := n.lookup(id)
		if !ok {
			continue
		}
		updates = append(updates, u)
		if u.State == Suspect && !slices.Contains(targets, id) {
			n.send(id, Message{Type: Gossip, Updates: []Update{u}}) // so that it can refute
		}
	}
	n.pendingGossip = nil
	n.announceSettings = false
	for _, to := range targets {
		n.sendGossip(to, updates)
	}
}

func (n *Node) sendGossip(to msg.RouterID, updates []Update) {
	if len(updates) == 0 {
		n.send(to, Message{Type: Gossip})
	}
	for batch := range slices.Chunk(updates, maxUpdates) {
		n.send(to, Message{Type: Gossip, Updates: batch})
	}
}

// piggybacked returns the updates to attach to a Ping or Ack.
func (n *Node) piggybacked() []Update {
	if len(n.piggyback) == 0 {
		return nil
	}
	var updates []Update
	for _, id := range append([]msg.RouterID{n.self.ID}, n.order...) {
		remaining, ok := n.piggyback[id]
		if !ok || len(updates) == maxPiggyback {
			continue
		}
		u, _ := n.lookup(id)
		updates = append(updates, u)
		n.piggyback[id] = remaining - 1
		if remaining <= 1 {
			delete(n.piggyback, id)
		}
	}
	return updates
}
