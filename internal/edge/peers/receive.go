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

// answerInterval is the minimum time between two answers to the same router.
const answerInterval = 500 * time.Millisecond

// Receive handles the peers' datagrams until ctx ends. It then closes the socket, since the read
// would otherwise block forever if no other router sends.
func (p *Peers) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() }) // closed only here
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
		p.HandleDatagram(buf[:n])
	}
}

// HandleDatagram handles a datagram. It does not retain data.
func (p *Peers) HandleDatagram(data []byte) {
	var w heartbeat
	if err := cbor.Unmarshal(data, &w); err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "err", err)
		return
	}
	p.handleHeartbeat(w, p.Now())
}

// handleHeartbeat handles a heartbeat of a peer.
func (p *Peers) handleHeartbeat(w heartbeat, now time.Time) {
	if w.Streams != nil {
		p.handleStreams(*w.Streams)
		return
	}
	if w.Schedule != nil {
		p.handleSchedule(*w.Schedule)
		return
	}
	if w.ControlAddr == p.Self.Addr || w.ControlAddr == "" {
		return
	}
	if w.Joining {
		p.handleJoinRequest(w, now)
		return
	}
	p.applyEra(w.ControlAddr, w.ListEra)
	evacuated, evacStamp := w.evacuations(p.ProcessorWait())
	p.State.MergeEvacuations(evacuated, evacStamp).Log(p.Log, w.ControlAddr, evacStamp)
	p.applyRollouts(w.ControlAddr, w.Rollouts, p.ProcessorWait())
	p.applyChanges(w)
	version, stamp := p.State.Version(), p.State.Stamp()
	p.mu.Lock()
	revived := p.spread.ObserveDirect(w.sender(), now)
	p.applyRouters(w, now)
	p.recordView(w, version, stamp.After(w.stamp()) || stamp == w.stamp(), now)
	usage := p.usageOf(w)
	trustedAge := p.hasTrustedAge(w)
	shouldAnswer := p.shouldAnswer(w, now)
	report := w.report(p.ProcessorWait())
	if usage == useOther {
		if len(report.Rates) == 0 {
			report.Rates = p.reports[w.reportKey()].report.Rates // only some reports contain rates
		}
		p.reports[w.reportKey()] = receivedReport{receivedAt: now, kind: w.Kind, report: report}
	}
	p.mu.Unlock()
	if revived {
		events.PeerFound.Log(context.Background(), p.Log, slog.LevelInfo, "peer", w.ControlAddr, "version", w.ConfigVersion)
	}
	if shouldAnswer {
		p.sendAnswer(w.ControlAddr, nil)
	}
	if w.Answer {
		p.handleOffer(w, now)
	}
	p.applyUpdates(w, report)
	switch usage {
	case useOther:
		p.State.ApplyPeerReport(w.reportKey(), report)
		p.applyEndedAsks(w)
	case useTotal:
		p.State.ApplyTotalReport(w.reportKey(), report)
	case useNone:
	}
	if p.State.ResolveDoubt(time.Duration(w.FollowedMs)*time.Millisecond, w.stamp()) {
		events.ServersChanged.Log(context.Background(), p.Log, slog.LevelInfo, "from", w.ControlAddr, "followedMs", w.FollowedMs, "what", "doubtful servers removed")
	}
	if trustedAge && w.ListEra >= p.State.Era() && w.ConfigVersion != 0 && w.ConfigVersion == p.State.Version() && !w.stamp().After(p.State.Stamp()) {
		p.confirmViewAge(p.viewAge(w))
	}
}

// applyChanges applies the changes of the server list in a heartbeat. Changes that do not follow
// directly on this router's list are ignored; what lies between is fetched.
func (p *Peers) applyChanges(w heartbeat) {
	if len(w.Changes) == 0 {
		return
	}
	var c listChange
	if err := cbor.Unmarshal(w.Changes, &c); err != nil || c.Full {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", w.ControlAddr, "what", "changes", "err", err)
		return
	}
	if p.State.ApplyServerDelta(c.delta()) {
		p.logListChange(w.ControlAddr, c)
	}
}

// logListChange logs that the server list, or changes of it, were applied.
func (p *Peers) logListChange(from string, c listChange) {
	events.ServersChanged.Log(context.Background(), p.Log, slog.LevelInfo, "from", from, "whole", c.Full, "servers", len(c.Servers.Servers),
		"gone", len(c.Removed), "held", len(c.HeldMs), "doubtful", len(c.DoubtfulLeftMs), "era", c.To.Era, "ver", c.To.Version, "edits", c.To.Edits)
}

// applyRouters applies what a heartbeat says about other routers. The caller must hold p.mu.
func (p *Peers) applyRouters(w heartbeat, now time.Time) {
	if w.Protocol < protocolVersion {
		p.olderReleaseHeard = now
	}
	for _, k := range w.Known {
		p.spread.Observe(k.member(), k.age(), now)
	}
	if !p.isListLeader(w) {
		return
	}
	if w.Kind == kindTotal {
		p.spread.SetFleetSize(w.FleetSize)
	}
	p.spread.ApplyChanges(spread.Changes{Joined: toMembers(w.Joined), Left: toMembers(w.Left)}, now)
	p.members.recordMismatches(w.ControlAddr, w.Digests, p.spread.Digests(), p.spread.CompareDigests(w.Digests, now), now)
}

// isListLeader reports whether this router takes its lists of routers from the sender of the
// heartbeat. That is the first reporter of its data centre that it hears, or for a reporter the
// first reporter of each other data centre. The caller must hold p.mu.
func (p *Peers) isListLeader(w heartbeat) bool {
	if p.spread.IsMesh() || len(w.Digests) == 0 {
		return false
	}
	isReporter := p.spread.IsReporter()
	switch {
	case w.Kind == kindTotal && (isReporter || w.DataCentre != p.Self.DataCentre):
		return false
	case w.Kind == kindSum && (!isReporter || w.DataCentre == p.Self.DataCentre):
		return false
	case w.Kind != kindTotal && w.Kind != kindSum:
		return false
	}
	reporters := p.spread.Reporters(w.DataCentre)
	return len(reporters) > 0 && reporters[0] == w.ControlAddr
}

// shouldAnswer reports whether the sender expects a heartbeat of this router, which sends it none
// otherwise. The caller must hold p.mu.
func (p *Peers) shouldAnswer(w heartbeat, now time.Time) bool {
	if w.Kind != kindOwn || w.Answer || p.spread.IsMesh() || w.Protocol < protocolVersion {
		return false
	}
	isLocal := w.DataCentre == p.Self.DataCentre
	if isLocal && (p.spread.IsReporter() || contains(p.spread.Reporters(w.DataCentre), w.ControlAddr)) {
		return false
	}
	q := p.views[w.ControlAddr]
	if q == nil || now.Sub(q.lastAnswered) < answerInterval {
		return false
	}
	q.lastAnswered = now
	return true
}

// sendAnswer sends a heartbeat of this router, with the routers that serve their views.
func (p *Peers) sendAnswer(addr string, sources []string) {
	p.mu.Lock()
	topRanked := p.topRanked(p.Now())
	fleetSize := p.spread.FleetSize()
	p.mu.Unlock()
	w := p.newHeartbeat(kindOwn, state.NewReport(), topRanked)
	w.Answer = true
	w.FleetSize = fleetSize
	w.Sources = sources
	p.send([]string{addr}, w)
}

// applyEra applies the store era of another router's server list.
func (p *Peers) applyEra(from string, era uint64) {
	before, restored := p.State.ObserveEra(era)
	if !restored {
		return
	}
	events.StoreReturned.Log(context.Background(), p.Log, slog.LevelWarn, "from", from, "before", before, "era", era,
		"config", p.State.Version(), "servers", p.State.ServerCount())
}

// applyUpdates applies the state that is sent only once, and keeps it if this router relays it.
func (p *Peers) applyUpdates(w heartbeat, r state.Report) {
	if len(r.SentParts) > 0 {
		p.State.MergeSentParts(r.SentParts)
	}
	if len(r.FirstTokens) > 0 {
		p.State.MergeFirstTokens(r.FirstTokens)
	}
	p.applyServerSpeeds(r)
	if w.ListEra < p.State.Era() {
		poison.ClearStored(r.Crashes) // the store may have lost them when it was restored
		poison.ClearStored(r.PartCrashes)
	}
	p.applyCrashes(w.ControlAddr, poison.Contents, r.Crashes)
	p.applyCrashes(w.ControlAddr, poison.Parts, r.PartCrashes)
	if len(w.Evidence)+len(w.RemoteEvidence) > 0 {
		p.State.MergeEvidence(r.Evidence)
		p.State.MergeEvidence(evidenceFromWire(w.RemoteEvidence))
	}
	if w.Kind == kindSum || w.DataCentre == p.Self.DataCentre {
		p.addPending(w.Kind, updatesOf(r))
	}
}

// confirmViewAge applies the age of a store answer. An age that is hardly younger than the known
// one belongs to the same answer, relayed by another router.
func (p *Peers) confirmViewAge(age time.Duration) {
	if _, knownAge := p.State.Table(); knownAge-age > sameAnswerTolerance {
		p.State.ConfirmConfig(age)
	}
}

// hasTrustedAge reports whether the age of the store answer in a heartbeat may be applied. Only a
// router that follows the store itself is trusted, or a reporter by the routers it reports to. If
// ages from any router were applied, they would circulate, and each hop would make them younger by
// its delay. The caller must hold p.mu.
func (p *Peers) hasTrustedAge(w heartbeat) bool {
	if w.FollowedMs > 0 {
		return true
	}
	relayed := w.Kind == kindTotal || w.Kind == kindUpdate && w.DataCentre == p.Self.DataCentre
	return relayed && !p.spread.IsReporter()
}

// recordView records a peer's view, and whether this router's server list is at least as new. The
// caller must hold p.mu.
func (p *Peers) recordView(w heartbeat, version int64, listCurrent bool, now time.Time) {
	q := p.views[w.ControlAddr]
	if q == nil {
		q = &peerView{}
		p.views[w.ControlAddr] = q
	}
	q.dataCentre = w.DataCentre
	q.configVersion = w.ConfigVersion
	q.listStamp = w.stamp()
	q.lastHeard = now
	q.storeReadAt = now.Add(-p.viewAge(w))
	if w.ConfigVersion > version && q.configNewerSince.IsZero() {
		q.configNewerSince = now
	}
	switch {
	case listCurrent:
		q.listNewerSince = time.Time{}
	case q.listNewerSince.IsZero():
		q.listNewerSince = now
	}
}

// viewAge returns the age of the store answer that the sender's view is based on. It includes the
// time for which the datagram may have waited for a processor of this host.
func (p *Peers) viewAge(w heartbeat) time.Duration {
	return time.Duration(w.ViewAgeMs)*time.Millisecond + p.ProcessorWait()
}

// loadUsage tells how the load in a report is counted.
type loadUsage int

const (
	useNone  loadUsage = iota
	useOther           // as load of other routers
	useTotal           // as load of all routers, including this one
)

// usageOf returns how a report is counted, so that no load counts twice. The caller must hold p.mu.
func (p *Peers) usageOf(w heartbeat) loadUsage {
	if w.Answer {
		return useNone
	}
	isMesh := p.spread.IsMesh()
	isReporter := p.spread.IsReporter()
	switch w.Kind {
	case kindOwn:
		if isMesh || isReporter && w.DataCentre == p.Self.DataCentre {
			return useOther
		}
	case kindSum:
		if !isMesh && isReporter && w.DataCentre != p.Self.DataCentre {
			return useOther
		}
	case kindTotal:
		if !isMesh && !isReporter {
			return useTotal
		}
	case kindUpdate, kindStreams, kindSchedule, kindCount:
	}
	return useNone
}
