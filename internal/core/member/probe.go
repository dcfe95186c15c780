package member

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// probe is a Ping whose Ack is pending.
type probe struct {
	seq         uint64
	target      msg.RouterID
	incarnation uint64
	start       time.Duration
	indirect    bool // PingRequests have been sent
}

// relay is a Ping sent for a PingRequest of another router.
type relay struct {
	seq       uint64 // of the Ping to target
	origin    msg.RouterID
	originSeq uint64
	target    msg.RouterID
	deadline  time.Duration
}

// Tick advances the node's timers. It must be called every TickPeriod.
func (n *Node) Tick(now time.Duration) {
	n.extendDeadlines(now)
	n.checkProbes(now)
	n.expire(now)
	n.relays = slices.DeleteFunc(n.relays, func(r relay) bool { return now >= r.deadline })
	if now >= n.nextProbe {
		n.nextProbe += ProbePeriod
		if n.nextProbe < now {
			n.nextProbe = now + ProbePeriod
		}
		n.startProbes(now)
	}
	if now >= n.nextAbsentProbe {
		n.probeAbsent(now)
	}
	n.gossipPending(now)
}

// extendDeadlines extends probe and suspicion deadlines by the time for which
// this process was paused, during which it could not receive answers.
func (n *Node) extendDeadlines(now time.Duration) {
	pause := now - n.lastTick
	n.lastTick = now
	if pause < minPause {
		return
	}
	for i := range n.probes {
		n.probes[i].start += pause
	}
	for _, e := range n.members {
		if e.State == Suspect {
			e.deadline += pause
		}
	}
}

// startProbes probes the successor and, every fingerProbePeriods periods, one
// of the other fingers in turn.
func (n *Node) startProbes(now time.Duration) {
	target := n.successor()
	if target == "" {
		return
	}
	n.probe(now, target)
	n.periods++
	fingers := n.fingers()
	if n.periods%fingerProbePeriods == 0 && len(fingers) > 1 {
		index := n.periods / fingerProbePeriods % (len(fingers) - 1)
		n.probe(now, fingers[1+index])
	}
}

func (n *Node) probe(now time.Duration, target msg.RouterID) {
	e := n.members[target]
	n.seq++
	n.probes = append(n.probes, probe{seq: n.seq, target: target, incarnation: e.Incarnation, start: now})
	n.ping(target, n.seq)
}

func (n *Node) ping(to msg.RouterID, seq uint64) {
	updates := n.piggybacked()
	// Tell a suspect or dead member about its state, so that it can refute it.
	if e, ok := n.members[to]; ok && e.State >= Suspect {
		updates = appendUnique(updates, e.Update)
	}
	if !n.joined {
		updates = appendUnique(updates, n.self)
	}
	n.currentRing() // updates the digest
	n.send(to, Message{Type: Ping, Seq: seq, Digest: n.digest, Updates: updates})
}

func appendUnique(updates []Update, u Update) []Update {
	if slices.Contains(updates, u) {
		return updates
	}
	return append(updates, u)
}

// checkProbes starts indirect probes after ProbeTimeout and suspects members
// that have not answered within ProbeFailure.
func (n *Node) checkProbes(now time.Duration) {
	var pending []probe
	for _, p := range n.probes {
		e, ok := n.members[p.target]
		if !ok || e.Incarnation != p.incarnation || !e.State.present() {
			continue
		}
		if now-p.start >= ProbeFailure {
			n.suspect(now, e)
			continue
		}
		if now-p.start >= ProbeTimeout && !p.indirect {
			p.indirect = true
			n.sendPingRequests(p)
		}
		pending = append(pending, p)
	}
	n.probes = pending
}

func (n *Node) suspect(now time.Duration, e *entry) {
	u := e.Update
	u.State = Suspect
	n.apply(now, u)
}

// sendPingRequests requests indirect probes, preferably from fingers, because
// connections to them are already open.
func (n *Node) sendPingRequests(p probe) {
	usable := func(id msg.RouterID) bool {
		return id != p.target && n.members[id].State != Suspect
	}
	relays := slices.DeleteFunc(n.fingers(), func(id msg.RouterID) bool { return !usable(id) })
	n.config.Rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	for _, other := range n.currentRing()[1:] {
		if len(relays) >= indirectProbes {
			break
		}
		if usable(other.id) && !slices.Contains(relays, other.id) {
			relays = append(relays, other.id)
		}
	}
	for _, id := range relays[:min(len(relays), indirectProbes)] {
		n.send(id, Message{Type: PingRequest, Seq: p.seq, Target: p.target})
	}
}

// probeAbsent pings one router that may exist but is not in the view: a
// candidate, or a dead member that may be behind a network partition. The
// interval grows with the size of the fleet, so that all routers together send
// about one such ping per second.
func (n *Node) probeAbsent(now time.Duration) {
	peerCount := len(n.currentRing()) - 1
	n.nextAbsentProbe = now + min(max(time.Duration(peerCount)*time.Second, minAbsentInterval), maxAbsentInterval)
	if !n.joined {
		n.nextAbsentProbe = now + ProbePeriod
	}
	absent := n.absent()
	if len(absent) == 0 {
		return
	}
	n.absentIndex++
	n.ping(absent[n.absentIndex%len(absent)], 0)
}

// absent returns the candidates and dead members that are not in the view.
func (n *Node) absent() []msg.RouterID {
	var list []msg.RouterID
	for _, id := range n.candidateIDs {
		if e, ok := n.members[id]; !ok || !e.State.present() {
			list = append(list, id)
		}
	}
	for _, id := range n.order {
		if _, listed := n.candidates[id]; n.members[id].State == Dead && !listed {
			list = append(list, id)
		}
	}
	return list
}
