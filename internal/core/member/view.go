package member

import (
	"math"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// apply takes an update into the view if it is newer.
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
	// Nobody drops a member on another's word, but only after a suspicion time
	// of its own, in which the member can refute: after a partition each side
	// calls the other dead.
	if u.State == Dead && e.State.present() {
		u.State = Suspect
	}
	if u.newer(e.Update) {
		n.set(now, e, u)
	}
}

// insert takes up a member not known before. The dead are not taken up, else
// the routers would remind each other of them for ever.
func (n *Node) insert(now time.Duration, u Update) {
	if !u.State.present() || len(n.members) >= maxMembers {
		return
	}
	e := &entry{}
	n.members[u.ID] = e
	at, _ := slices.BinarySearch(n.order, u.ID)
	n.order = slices.Insert(n.order, at, u.ID)
	n.set(now, e, u)
}

func (n *Node) set(now time.Duration, e *entry, u Update) {
	e.Update = u
	switch u.State {
	case Suspect:
		e.deadline = now + SuspicionTime
	case Dead, Left:
		e.deadline = now + tombstoneTime
	}
	n.changed()
	n.disseminate(u.ID)
}

// applySelf hears what others say of this router, and refutes it if wrong.
func (n *Node) applySelf(u Update) {
	switch {
	case u.Incarnation > n.self.Incarnation:
		n.ready.Superseded = max(n.ready.Superseded, u.Incarnation)
	case u.Incarnation < n.self.Incarnation:
		n.disseminate(n.self.ID) // somebody has not heard of this incarnation
	case u.State < Suspect || u.Refutation < n.self.Refutation || n.self.State == Left:
		return
	case u.Refutation == math.MaxUint32:
		n.ready.Superseded = u.Incarnation // it cannot be refuted
	default:
		n.self.Refutation = u.Refutation + 1
		n.changed()
		n.disseminate(n.self.ID)
	}
}

// expire ends suspicions and forgets the dead of long ago.
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
		n.forget(id)
	}
}

// declareDead ends a suspicion. The others end theirs at about the same time, so
// there is nothing to pass on.
func (n *Node) declareDead(now time.Duration, e *entry) {
	e.State = Dead
	e.deadline = now + tombstoneTime
	delete(n.piggyback, e.ID)
	n.changed()
}

func (n *Node) forget(id msg.RouterID) {
	delete(n.members, id)
	delete(n.piggyback, id)
	at, _ := slices.BinarySearch(n.order, id)
	n.order = slices.Delete(n.order, at, at+1)
}

// disseminate notes that a member's update is to be passed on.
func (n *Node) disseminate(id msg.RouterID) {
	n.piggyback[id] = retransmissions
	if !slices.Contains(n.fresh, id) {
		n.fresh = append(n.fresh, id)
	}
}

// lookup returns the newest update on a member.
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

// flood passes fresh updates on to the fingers. It does so at most once a
// tick, so that many changes at once share messages.
func (n *Node) flood(now time.Duration) {
	if now < n.nextFlood || len(n.fresh) == 0 && !n.announce {
		return
	}
	targets := n.fingers()
	if len(targets) == 0 {
		return
	}
	n.nextFlood = now + TickPeriod
	var updates []Update
	for _, id := range n.fresh {
		u, ok := n.lookup(id)
		if !ok {
			continue
		}
		updates = append(updates, u)
		if u.State == Suspect && !slices.Contains(targets, id) {
			n.send(id, Message{Type: Gossip, Updates: []Update{u}}) // so that it can refute
		}
	}
	n.fresh = nil
	n.announce = false
	for _, to := range targets {
		n.gossip(to, updates)
	}
}

func (n *Node) gossip(to msg.RouterID, updates []Update) {
	if len(updates) == 0 {
		n.send(to, Message{Type: Gossip})
	}
	for part := range slices.Chunk(updates, maxUpdates) {
		n.send(to, Message{Type: Gossip, Updates: part})
	}
}

// piggybacked returns updates to put on a probe or its answer.
func (n *Node) piggybacked() []Update {
	if len(n.piggyback) == 0 {
		return nil
	}
	var updates []Update
	for _, id := range append([]msg.RouterID{n.self.ID}, n.order...) {
		left, ok := n.piggyback[id]
		if !ok || len(updates) == maxPiggyback {
			continue
		}
		u, _ := n.lookup(id)
		updates = append(updates, u)
		n.piggyback[id] = left - 1
		if left <= 1 {
			delete(n.piggyback, id)
		}
	}
	return updates
}
