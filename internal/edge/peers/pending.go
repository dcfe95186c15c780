package peers

import (
	"slices"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
)

// maxSentPerServer is the maximum number of parts of one server that a reporter relays at once. A
// report of 60 servers with that many parts has the maximum length of a datagram. A part that is
// not relayed is prefilled once more, or fetched in vain from the prompt's home server.
const maxSentPerServer = 200

// updates is the state that is sent only once: the parts of prompts that were sent to servers, the
// observed first tokens and first events of servers, the contents under which servers crashed, and evidence.
type updates struct {
	sent     pick.SentParts
	firsts   map[string]pick.FirstTokenSums
	times    map[routing.ServerKey]pick.ServerTimes
	crashes  []poison.Record
	evidence rollout.Evidence // on new versions of servers

	partCrashes []poison.Record
}

func newUpdates() updates {
	return updates{sent: pick.SentParts{}, firsts: map[string]pick.FirstTokenSums{}, times: map[routing.ServerKey]pick.ServerTimes{}, evidence: rollout.Evidence{}}
}

// updatesOf returns the updates in a report.
func updatesOf(r state.Report) updates {
	return updates{sent: r.SentParts, firsts: r.FirstTokens, times: r.ServerTimes, crashes: r.Crashes, partCrashes: r.PartCrashes, evidence: r.Evidence}
}

func (u updates) isEmpty() bool {
	return len(u.sent)+len(u.firsts)+len(u.times)+len(u.crashes)+len(u.partCrashes)+len(u.evidence) == 0
}

// addCrashes adds records that say something new to a list of up to maxCrashRecords. Routers that saw
// different crashes of one content or part have different records of it.
func addCrashes(list *[]poison.Record, crashes []poison.Record) {
	for _, r := range crashes {
		covered := slices.ContainsFunc(*list, func(known poison.Record) bool { return covers(known, r) })
		if !covered && len(*list) < maxCrashRecords {
			*list = append(*list, r)
		}
	}
}

// covers reports whether a record says everything that another one says.
func covers(known, r poison.Record) bool {
	if known.Content != r.Content || r.Blocked && !known.Blocked || r.SucceededAge > 0 && known.SucceededAge == 0 {
		return false
	}
	for _, crash := range r.Crashes {
		if !slices.ContainsFunc(known.Crashes, func(k poison.CrashAge) bool { return k.Server == crash.Server }) {
			return false
		}
	}
	return true
}

// addSent adds parts, up to maxSentPerServer for each server.
func (u updates) addSent(sent pick.SentParts) {
	for key, parts := range sent {
		if len(u.sent[key])+len(parts) <= maxSentPerServer {
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

// pending holds the updates that a reporter has yet to relay.
type pending struct {
	remote updates // for the other data centres: the updates of this one
	local  updates // for the routers of this data centre: the updates of all
	// remoteTimes are the first events of servers for the other data centres, which get them less often.
	remoteTimes updates
	// otherReporter is evidence of other data centres for the other reporter of this one, since a
	// data centre sends its evidence to only one of the two.
	otherReporter rollout.Evidence
}

func newPending() pending {
	return pending{remote: newUpdates(), local: newUpdates(), remoteTimes: newUpdates(), otherReporter: rollout.Evidence{}}
}

// add adds the updates of a report of the given kind. Both reporters of a data centre hear all its
// routers. Both relay the parts, since a datagram may be lost, but only the first reporter relays
// first tokens and evidence, since each relayed copy would be counted.
func (n *pending) add(k kind, u updates, first bool) {
	if k == kindOwn {
		n.remote.addSent(u.sent)
		addCrashes(&n.remote.crashes, u.crashes)
		addCrashes(&n.remote.partCrashes, u.partCrashes)
	}
	n.local.addSent(u.sent)
	addCrashes(&n.local.crashes, u.crashes)
	addCrashes(&n.local.partCrashes, u.partCrashes)
	if k == kindSum {
		n.otherReporter.Add(u.evidence)
	}
	if k == kindOwn && !first {
		return
	}
	if k == kindOwn {
		n.remote.evidence.Add(u.evidence)
	}
	if k == kindOwn {
		n.remote.addFirsts(u.firsts)
		n.remoteTimes.addTimes(u.times)
	}
	n.local.addFirsts(u.firsts)
	n.local.addTimes(u.times)
}

// addPending adds the updates of a report of the given kind if this router relays them.
func (p *Peers) addPending(k kind, u updates) {
	if u.isEmpty() || k == kindTotal {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.spread.IsMesh() && p.spread.IsReporter() {
		p.pending.add(k, u, p.spread.IsFirstReporter())
	}
}

// takeOtherReporterEvidence returns and clears the evidence for the other reporter of this data
// centre.
func (p *Peers) takeOtherReporterEvidence() rollout.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	evidence := p.pending.otherReporter
	p.pending.otherReporter = rollout.Evidence{}
	return evidence
}

// takePending adds this router's own updates to the pending ones, and returns and clears those that
// are sent now.
func (p *Peers) takePending(own updates, takeRemote, takeLocal bool) (remote, local updates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.add(kindOwn, own, p.spread.IsFirstReporter())
	if takeRemote {
		remote, p.pending.remote = p.pending.remote, newUpdates()
	}
	if takeLocal {
		local, p.pending.local = p.pending.local, newUpdates()
	}
	return remote, local
}
