package peers

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

// answerEvery is the least time between two answers to the same router.
const answerEvery = 500 * time.Millisecond

// Receive takes the peers' datagrams until ctx ends, and closes the socket then: a router
// that hears no other would wait for a datagram and never end.
func (p *Peers) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() }) // it is closed once
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			events.PeerMalformed.Log(ctx, p.Log, slog.LevelWarn, "err", err)
			continue
		}
		p.Take(buf[:n])
	}
}

// Take takes a datagram. The text may be changed afterwards.
func (p *Peers) Take(text []byte) {
	var w heartbeat
	if err := cbor.Unmarshal(text, &w); err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "err", err)
		return
	}
	p.take(w, p.Now())
}

// take takes a peer's report.
func (p *Peers) take(w heartbeat, now time.Time) {
	if w.Control == p.Self.Addr || w.Control == "" {
		return
	}
	if w.Joining {
		p.takeHello(w, now)
		return
	}
	p.takeEra(w.Control, w.Era)
	evacuated, as := w.evacuations(p.Wait())
	p.State.MergeEvacuations(evacuated, as).Log(p.Log, w.Control, as)
	p.takeRollouts(w.Control, w.Rollouts, p.Wait())
	p.takeChanges(w)
	version, stamp := p.State.Version(), p.State.Stamp()
	p.mu.Lock()
	found := p.spread.ObserveDirect(w.sender(), now)
	p.takeRouters(w, now)
	p.view(w, version, stamp.After(w.stamp()) || stamp == w.stamp(), now)
	use := p.use(w)
	vouches := p.vouches(w)
	answer := p.owesAnswer(w, now)
	report := w.report(p.Wait())
	if use == useOther {
		if len(report.Rates) == 0 {
			report.Rates = p.reports[w.key()].report.Rates // told every few reports
		}
		p.reports[w.key()] = heardReport{at: now, kind: w.Kind, report: report}
	}
	p.mu.Unlock()
	if found {
		events.PeerFound.Log(context.Background(), p.Log, slog.LevelInfo, "peer", w.Control, "version", w.Version)
	}
	if answer {
		p.answer(w.Control, nil)
	}
	if w.Answer {
		p.takeOffer(w, now)
	}
	p.takeUpdates(w, report)
	switch use {
	case useOther:
		p.State.ApplyPeerReport(w.key(), report)
	case useTotal:
		p.State.ApplyTotalReport(w.key(), report)
	case useNone:
	}
	if p.State.ResolveDoubt(time.Duration(w.FollowedMs)*time.Millisecond, w.stamp()) {
		events.ServersChanged.Log(context.Background(), p.Log, slog.LevelInfo, "from", w.Control, "followedMs", w.FollowedMs, "what", "doubtful ones forgotten")
	}
	if vouches && w.Era >= p.State.Era() && w.Version != 0 && w.Version == p.State.Version() && !w.stamp().After(p.State.Stamp()) {
		p.confirm(p.age(w))
	}
}

// takeChanges takes what a heartbeat tells of changes of the list of servers. Changes that don't
// follow on this router's list are left: what lies between is fetched.
func (p *Peers) takeChanges(w heartbeat) {
	if len(w.Changes) == 0 {
		return
	}
	var c listChange
	if err := cbor.Unmarshal(w.Changes, &c); err != nil || c.Whole {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", w.Control, "what", "changes", "err", err)
		return
	}
	if p.State.ApplyServerDelta(c.delta()) {
		p.logList(w.Control, c)
	}
}

// logList notes that another router's list, or changes, were taken.
func (p *Peers) logList(from string, c listChange) {
	events.ServersChanged.Log(context.Background(), p.Log, slog.LevelInfo, "from", from, "whole", c.Whole, "servers", len(c.Servers.Servers),
		"gone", len(c.Gone), "held", len(c.Held), "doubtful", len(c.Left), "era", c.As.Era, "ver", c.As.Version, "edits", c.As.Edits)
}

// takeRouters takes what a heartbeat tells of other routers; the lock is held.
func (p *Peers) takeRouters(w heartbeat, now time.Time) {
	if w.Protocol < protocol {
		p.older = now
	}
	for _, k := range w.Known {
		p.spread.Observe(k.member(), k.age(), now)
	}
	if !p.leads(w) {
		return
	}
	if w.Kind == kindTotal {
		p.spread.SetFleetSize(w.Fleet)
	}
	p.spread.ApplyChanges(spread.Changes{Joined: membersOf(w.Joined), Left: membersOf(w.Left)}, now)
	p.members.compare(w.Control, w.Digests, p.spread.Digests(), p.spread.CompareDigests(w.Digests, now), now)
}

// leads reports whether the heartbeat's sender is the one whose lists of routers this router
// follows: the first of its data centre's reporters that it hears, or for a reporter the first one
// of the other data centre. The lock is held.
func (p *Peers) leads(w heartbeat) bool {
	if p.spread.IsMesh() || len(w.Digests) == 0 {
		return false
	}
	reporter := p.spread.IsReporter()
	switch {
	case w.Kind == kindTotal && (reporter || w.DataCentre != p.Self.DataCentre):
		return false
	case w.Kind == kindSum && (!reporter || w.DataCentre == p.Self.DataCentre):
		return false
	case w.Kind != kindTotal && w.Kind != kindSum:
		return false
	}
	leaders := p.spread.Reporters(w.DataCentre)
	return len(leaders) > 0 && leaders[0] == w.Control
}

// owesAnswer reports whether the sender expects to hear of this router, which would not tell it by
// itself; the lock is held.
func (p *Peers) owesAnswer(w heartbeat, now time.Time) bool {
	if w.Kind != kindOwn || w.Answer || p.spread.IsMesh() || w.Protocol < protocol {
		return false
	}
	near := w.DataCentre == p.Self.DataCentre
	if near && (p.spread.IsReporter() || contains(p.spread.Reporters(w.DataCentre), w.Control)) {
		return false
	}
	q := p.views[w.Control]
	if q == nil || now.Sub(q.answered) < answerEvery {
		return false
	}
	q.answered = now
	return true
}

// answer tells a router of this one, and of routers that give their views.
func (p *Peers) answer(to string, sources []string) {
	p.mu.Lock()
	heads := p.heads(p.Now())
	count := p.spread.FleetSize()
	p.mu.Unlock()
	w := p.heartbeat(kindOwn, state.NewReport(), heads)
	w.Answer = true
	w.Fleet = count
	w.Sources = sources
	p.send([]string{to}, w)
}

// takeEra takes the store's era of another router's list of servers.
func (p *Peers) takeEra(from string, era uint64) {
	before, returned := p.State.ObserveEra(era)
	if !returned {
		return
	}
	events.StoreReturned.Log(context.Background(), p.Log, slog.LevelWarn, "from", from, "before", before, "era", era,
		"config", p.State.Version(), "servers", p.State.ServerCount())
}

// takeUpdates takes what is told once, and keeps it if this router tells it on.
func (p *Peers) takeUpdates(w heartbeat, r state.Report) {
	if len(r.SentParts) > 0 {
		p.State.MergeSentParts(r.SentParts)
	}
	if len(r.FirstTokens) > 0 {
		p.State.MergeFirstTokens(r.FirstTokens)
	}
	if w.Era < p.State.Era() {
		poison.ClearStored(r.Crashes) // the store may have lost them since
	}
	p.takeCrashes(w.Control, r.Crashes)
	if len(w.Evidence)+len(w.EvidenceFar) > 0 {
		p.State.MergeEvidence(r.Evidence)
		p.State.MergeEvidence(evidenceOf(w.EvidenceFar))
	}
	if w.Kind == kindSum || w.DataCentre == p.Self.DataCentre {
		p.keepPending(w.Kind, updatesOf(r))
	}
}

// confirm takes an answer of the store of some age. One that is hardly younger than
// what is known is the same one, told on.
func (p *Peers) confirm(age time.Duration) {
	if _, known := p.State.Table(); known-age > sameReport {
		p.State.ConfirmConfig(age)
	}
}

// vouches reports whether the report's age of the store may be taken over: that of
// a router which follows the store itself, or of a reporter by one that it tells.
// Were it that of any router, ages would go round, and each way makes them
// younger by its delay. The lock is held.
func (p *Peers) vouches(w heartbeat) bool {
	if w.FollowedMs > 0 {
		return true
	}
	told := w.Kind == kindTotal || w.Kind == kindUpdate && w.DataCentre == p.Self.DataCentre
	return told && !p.spread.IsReporter()
}

// view notes what the peer says of its view, and whether this router's list is as new; the lock is
// held.
func (p *Peers) view(w heartbeat, version int64, listed bool, now time.Time) {
	q := p.views[w.Control]
	if q == nil {
		q = &peer{}
		p.views[w.Control] = q
	}
	q.dataCentre = w.DataCentre
	q.version = w.Version
	q.stamp = w.stamp()
	q.heard = now
	q.asOf = now.Add(-p.age(w))
	if w.Version > version && q.newer.IsZero() {
		q.newer = now
	}
	switch {
	case listed:
		q.ahead = time.Time{}
	case q.ahead.IsZero():
		q.ahead = now
	}
}

// age is how old the store's answer is on which the view of w rests. The datagram
// may have waited here until this host had time for it.
func (p *Peers) age(w heartbeat) time.Duration {
	return time.Duration(w.AgeMs)*time.Millisecond + p.Wait()
}

// How a report counts.
type usage int

const (
	useNone  usage = iota
	useOther       // load of other routers
	useTotal       // load of all routers, this one included
)

// use says how a report counts, so that no load counts twice; the lock is held.
func (p *Peers) use(w heartbeat) usage {
	if w.Answer {
		return useNone
	}
	mesh := p.spread.IsMesh()
	reporter := p.spread.IsReporter()
	switch w.Kind {
	case kindOwn:
		if mesh || reporter && w.DataCentre == p.Self.DataCentre {
			return useOther
		}
	case kindSum:
		if !mesh && reporter && w.DataCentre != p.Self.DataCentre {
			return useOther
		}
	case kindTotal:
		if !mesh && !reporter {
			return useTotal
		}
	case kindUpdate, kinds:
	}
	return useNone
}
