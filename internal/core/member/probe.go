package member

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// probe is a Ping that waits for its Ack.
type probe struct {
	seq         uint64
	target      msg.RouterID
	incarnation uint64
	start       time.Duration
	indirect    bool // others were asked
}

// relay is a Ping sent on behalf of another router.
type relay struct {
	seq       uint64 // of our Ping
	origin    msg.RouterID
	originSeq uint64
	target    msg.RouterID
	deadline  time.Duration
}

// Tick lets time pass. It is called each TickPeriod.
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
	if now >= n.nextContact {
		n.contact(now)
	}
	n.flood(now)
}

// extendDeadlines extends them by the time for which this process was paused: no
// answer could have been heard in it.
func (n *Node) extendDeadlines(now time.Duration) {
	pause := now - n.lastTick
	n.lastTick = now
	if pause < pauseMin {
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

// startProbes probes the successor, and now and then another finger.
func (n *Node) startProbes(now time.Duration) {
	target := n.successor()
	if target == "" {
		return
	}
	n.probe(now, target)
	n.periods++
	fingers := n.fingers()
	if n.periods%fingerEvery == 0 && len(fingers) > 1 {
		turn := n.periods / fingerEvery % (len(fingers) - 1)
		n.probe(now, fingers[1+turn])
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
	// A member that is not held alive hears so, and can refute.
	if e, ok := n.members[to]; ok && e.State >= Suspect {
		updates = with(updates, e.Update)
	}
	if !n.joined {
		updates = with(updates, n.self)
	}
	n.view() // renews the digest
	n.send(to, Message{Type: Ping, Seq: seq, Digest: n.digest, Updates: updates})
}

// with adds an update unless it is there.
func with(updates []Update, u Update) []Update {
	if slices.Contains(updates, u) {
		return updates
	}
	return append(updates, u)
}

// checkProbes asks others for help with a late Ack and ends what is overdue.
func (n *Node) checkProbes(now time.Duration) {
	var open []probe
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
			n.askOthers(p)
		}
		open = append(open, p)
	}
	n.probes = open
}

func (n *Node) suspect(now time.Duration, e *entry) {
	u := e.Update
	u.State = Suspect
	n.apply(now, u)
}

// askOthers sends PingRequests, to fingers first: links to them are open.
func (n *Node) askOthers(p probe) {
	usable := func(id msg.RouterID) bool {
		return id != p.target && n.members[id].State != Suspect
	}
	helpers := slices.DeleteFunc(n.fingers(), func(id msg.RouterID) bool { return !usable(id) })
	n.config.Rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, place := range n.view()[1:] {
		if len(helpers) >= indirectProbes {
			break
		}
		if usable(place.id) && !slices.Contains(helpers, place.id) {
			helpers = append(helpers, place.id)
		}
	}
	for _, id := range helpers[:min(len(helpers), indirectProbes)] {
		n.send(id, Message{Type: PingRequest, Seq: p.seq, Target: p.target})
	}
}

// contact pings one router that may exist but is not in the view: a
// candidate, or a member taken for dead that may sit behind a partition. All
// routers together do so about once a second.
func (n *Node) contact(now time.Duration) {
	others := len(n.view()) - 1
	n.nextContact = now + min(max(time.Duration(others)*time.Second, contactMin), contactMax)
	if !n.joined {
		n.nextContact = now + ProbePeriod
	}
	absent := n.absent()
	if len(absent) == 0 {
		return
	}
	n.contactTurn++
	n.ping(absent[n.contactTurn%len(absent)], 0)
}

// absent lists who may exist but is not in the view.
func (n *Node) absent() []msg.RouterID {
	var list []msg.RouterID
	for _, id := range n.contacts {
		if e, ok := n.members[id]; !ok || !e.State.present() {
			list = append(list, id)
		}
	}
	for _, id := range n.order {
		if _, listed := n.hints[id]; n.members[id].State == Dead && !listed {
			list = append(list, id)
		}
	}
	return list
}
