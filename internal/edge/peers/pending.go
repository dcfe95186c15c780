package peers

import (
	"slices"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/edge/state"
)

// sentMost bounds the parts of one server that a reporter tells on at once. What is
// not told is read again once, or fetched from a home in vain; a report of 60 servers
// with so many parts is as long as a datagram may be.
const sentMost = 200

// updates are what is told once: the parts of prompts that were sent to servers, the
// first tokens that were seen, and the contents under which servers crashed.
type updates struct {
	sent    pick.SentParts
	firsts  map[string]pick.FirstTokenSums
	crashes []poison.Record
	// evidence is on new versions of servers.
	evidence rollout.Evidence
}

func newUpdates() updates {
	return updates{sent: pick.SentParts{}, firsts: map[string]pick.FirstTokenSums{}, evidence: rollout.Evidence{}}
}

// updatesOf are those of a report.
func updatesOf(r state.Report) updates {
	return updates{sent: r.SentParts, firsts: r.FirstTokens, crashes: r.Crashes, evidence: r.Evidence}
}

// empty reports whether there is nothing to tell.
func (u updates) empty() bool { return len(u.sent)+len(u.firsts)+len(u.crashes)+len(u.evidence) == 0 }

// addCrashes adds contents that are not there yet, as many as a report tells of. A content that
// stands there is told more of in the next report of its router.
func (u *updates) addCrashes(crashes []poison.Record) {
	for _, r := range crashes {
		known := slices.ContainsFunc(u.crashes, func(k poison.Record) bool { return k.Content == r.Content && len(k.Crashes) >= len(r.Crashes) })
		if !known && len(u.crashes) < crashesMost {
			u.crashes = append(u.crashes, r)
		}
	}
}

// addSent adds parts, as many as are kept.
func (u updates) addSent(sent pick.SentParts) {
	for key, parts := range sent {
		if len(u.sent[key])+len(parts) <= sentMost {
			u.sent[key] = append(u.sent[key], parts...)
		}
	}
}

// addFirsts adds first tokens.
func (u updates) addFirsts(firsts map[string]pick.FirstTokenSums) {
	for service, f := range firsts {
		u.firsts[service] = u.firsts[service].Plus(f)
	}
}

// pending is what a reporter has yet to tell on.
type pending struct {
	outward updates // to the other data centres: what was told in this one
	inward  updates // to the routers of this data centre: what was told in any
	// fellow is evidence of other data centres, which each tell one reporter of this one: it is
	// for the other reporter.
	fellow rollout.Evidence
}

func newPending() pending {
	return pending{outward: newUpdates(), inward: newUpdates(), fellow: rollout.Evidence{}}
}

// keep keeps what a report of the kind told. Both reporters of a data centre hear all
// its routers: parts are told by both, since one datagram may be lost; first tokens
// by the first of them only, since each counts.
func (n *pending) keep(k kind, u updates, first bool) {
	if k == kindOwn {
		n.outward.addSent(u.sent)
		n.outward.addCrashes(u.crashes)
	}
	n.inward.addSent(u.sent)
	n.inward.addCrashes(u.crashes)
	if k == kindSum {
		n.fellow.Add(u.evidence)
	}
	if k == kindOwn && !first {
		return
	}
	if k == kindOwn {
		n.outward.evidence.Add(u.evidence)
	}
	if k == kindOwn {
		n.outward.addFirsts(u.firsts)
	}
	n.inward.addFirsts(u.firsts)
}

// keepPending keeps what a report of the kind told, if this router tells it on.
func (p *Peers) keepPending(k kind, u updates) {
	if u.empty() || k == kindTotal {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.spread.IsMesh() && p.spread.IsReporter() {
		p.pending.keep(k, u, p.spread.IsFirstReporter())
	}
}

// takeFellow returns the evidence that is for the other reporter of this data centre, once.
func (p *Peers) takeFellow() rollout.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	fellow := p.pending.fellow
	p.pending.fellow = rollout.Evidence{}
	return fellow
}

// takePending adds this router's own updates to those kept and empties those that are
// told now.
func (p *Peers) takePending(own updates, out, in bool) (outward, inward updates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.keep(kindOwn, own, p.spread.IsFirstReporter())
	if out {
		outward, p.pending.outward = p.pending.outward, newUpdates()
	}
	if in {
		inward, p.pending.inward = p.pending.inward, newUpdates()
	}
	return outward, inward
}
