package peers

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

// olderReleaseWindow is how long after a heartbeat of a router of an earlier release whole lists of
// routers are sent, since that release needs them.
const olderReleaseWindow = 10 * time.Second

// reportRound holds what a router sends in one round of reports.
type reportRound struct {
	targets      spread.Targets
	lost         []string
	isMesh       bool
	isFirst      bool // this router is the first reporter of its data centre
	topRanked    []knownRouter
	known        liveRouters // empty unless needed by earlier releases
	fleet        []string
	trusted      bool
	repeat       bool // state that is sent repeatedly is due
	includeRates bool
	loads        peerLoads
	fleetSize    int
	digests      map[string]spread.Digest
	changes      spread.Changes
}

// publish sends this router's reports if they are due.
func (p *Peers) publish(now time.Time) {
	p.mu.Lock()
	if !p.isDue(p.spread.ReportPeriod()) {
		p.mu.Unlock()
		return
	}
	r := p.newReportRound(now)
	p.mu.Unlock()
	for _, addr := range r.lost {
		events.PeerLost.Log(context.Background(), p.Log, slog.LevelWarn, "peer", addr)
	}
	p.State.SetRouterCount(r.fleetSize)
	if r.repeat {
		p.State.SetFleet(r.fleet, r.trusted)
	}
	endedAsks, openAsks := p.asking.ended() // before the report, which contains their effects
	own := p.State.Report()
	if !r.includeRates {
		own.Rates = nil
	}
	if r.repeat {
		own.Crashes = append(own.Crashes, p.State.CrashesToRepeat(poison.Contents)...)
		own.PartCrashes = append(own.PartCrashes, p.State.CrashesToRepeat(poison.Parts)...)
	}
	own.SpeedClasses = p.localClasses(r)
	w := r.withDigests(p.newHeartbeat(kindOwn, own, r.namedRouters(r.known.direct)), nil)
	w.EndedAsks, w.OpenAsks = endedAsks, openAsks
	w.RemoteEvidence = evidenceToWire(p.takeOtherReporterEvidence())
	p.send(r.targets.Own, w)
	if len(r.targets.Sum)+len(r.targets.Total) == 0 {
		p.addPending(kindOwn, updatesOf(own))
		return
	}
	remote, local := p.takePending(updatesOf(own), len(r.targets.Sum) > 0, len(r.targets.Total) > 0)
	loads := r.loads
	loads.dataCentre.Add(own)
	p.State.OmitLightLoads(loads.dataCentre)
	if !r.includeRates {
		loads.dataCentre.Rates = nil
		loads.others.Rates = nil
	}
	loads.dataCentre.SentParts, loads.dataCentre.FirstTokens, loads.dataCentre.Crashes = remote.sent, remote.firsts, remote.crashes
	loads.dataCentre.PartCrashes = remote.partCrashes
	loads.dataCentre.Evidence = remote.evidence
	p.setServerSpeeds(r, &loads.dataCentre, &loads.others, local, own.SpeedClasses)
	p.send(r.targets.Sum, r.withDigests(p.newHeartbeat(kindSum, loads.dataCentre, r.namedRouters(r.known.dataCentre)), []string{p.Self.DataCentre}))
	loads.others.Add(loads.dataCentre)
	p.State.OmitLightLoads(loads.others)
	loads.others.SentParts, loads.others.FirstTokens, loads.others.Crashes = local.sent, local.firsts, local.crashes
	loads.others.PartCrashes = local.partCrashes
	p.send(r.targets.Total, r.withDigests(p.newHeartbeat(kindTotal, loads.others, r.namedRouters(r.known.all)), r.dataCentres()))
}

// newReportRound collects what is to be sent. The caller must hold p.mu.
func (p *Peers) newReportRound(now time.Time) reportRound {
	lost := p.spread.Tick(now)
	for _, addr := range lost {
		delete(p.views, addr)
	}
	r := reportRound{
		targets:      p.spread.Targets(now, p.sumRounds),
		lost:         lost,
		isMesh:       p.spread.IsMesh(),
		isFirst:      p.spread.IsFirstReporter(),
		repeat:       p.isDue(repeatTicks),
		includeRates: p.isDue(ratesTicks),
		loads:        p.sumReports(now),
		fleetSize:    p.spread.FleetSize(),
	}
	if r.repeat {
		r.fleet, r.trusted = p.knownFleet(now)
		r.topRanked = p.topRanked(now)
		if r.isMesh || now.Sub(p.olderReleaseHeard) < olderReleaseWindow {
			r.known = p.liveRouters(now)
		}
	}
	if !r.isMesh {
		r.digests = p.spread.Digests()
		r.changes = p.members.withPrevious(p.spread.TakeChanges(), now)
	}
	if p.isDue(sumTicks) {
		p.sumRounds++
	} else {
		r.targets.Sum = nil
	}
	if !p.isDue(totalTicks) {
		r.targets.Total = nil
	}
	return r
}

// namedRouters returns the routers that a heartbeat names: those that an earlier release needs, or
// the top-ranked ones.
func (r *reportRound) namedRouters(known []knownRouter) []knownRouter {
	if len(known) > 0 || r.isMesh {
		return known
	}
	return r.topRanked
}

// dataCentres returns all known data centres.
func (r *reportRound) dataCentres() []string { return slices.Sorted(maps.Keys(r.digests)) }

// withDigests adds the digests of the data centres and the changes of their routers to a heartbeat.
func (r *reportRound) withDigests(w heartbeat, dataCentres []string) heartbeat {
	w.FleetSize = r.fleetSize
	for _, name := range dataCentres {
		d, known := r.digests[name]
		if !known {
			continue
		}
		if w.Digests == nil {
			w.Digests = map[string]spread.Digest{}
		}
		w.Digests[name] = d
		changes := r.changes.In(name)
		w.Joined = append(w.Joined, toKnownRouters(changes.Joined)...)
		w.Left = append(w.Left, toKnownRouters(changes.Left)...)
	}
	return w
}

// knownFleet returns the other routers, and whether they are known well enough to distribute
// permits among all of them. The caller must hold p.mu.
func (p *Peers) knownFleet(now time.Time) (others []string, trusted bool) {
	others, knowsMost := p.spread.KnownRouters()
	if p.firstReportAt.IsZero() {
		p.firstReportAt = now
	}
	return others, knowsMost && now.Sub(p.firstReportAt) >= discoveryTime
}

// peerLoads are the loads that a reporter has received.
type peerLoads struct {
	dataCentre state.Report // of the other routers of this data centre
	others     state.Report // of the other data centres
}

// sumReports adds up the recent reports. The caller must hold p.mu.
func (p *Peers) sumReports(now time.Time) peerLoads {
	s := peerLoads{dataCentre: state.NewReport(), others: state.NewReport()}
	for key, r := range p.reports {
		switch {
		case now.Sub(r.receivedAt) >= spread.LiveTimeout:
			delete(p.reports, key)
		case r.kind == kindOwn:
			s.dataCentre.Add(r.report)
		default:
			s.others.Add(r.report)
		}
	}
	return s
}

// topRanked returns the top-ranked routers of each data centre. The caller must hold p.mu.
func (p *Peers) topRanked(now time.Time) (list []knownRouter) {
	for _, v := range p.spread.TopRanked(now) {
		list = append(list, knownRouter{Addr: v.Addr, DataCentre: v.DataCentre, Cores: v.Cores, AgeMs: v.Age.Milliseconds()})
	}
	return list
}

// liveRouters holds the routers that a report of each kind declares live.
type liveRouters struct {
	direct     []knownRouter // heard by this router itself
	dataCentre []knownRouter // of its data centre
	all        []knownRouter
}

// maxKnownRouters returns how many routers a heartbeat names where whole lists are sent: in small
// fleets, and to routers of an earlier release.
func (p *Peers) maxKnownRouters() int { return maxDatagram / 2 / knownRouterSize }

// knownRouterSize is the approximate encoded size of a knownRouter.
const knownRouterSize = 40

// liveRouters returns the routers that this one declares live. Each kind of report names only those
// about which its receivers have no better source. The caller must hold p.mu.
func (p *Peers) liveRouters(now time.Time) liveRouters {
	var v liveRouters
	isMesh := p.spread.IsMesh()
	for _, m := range p.spread.Live() {
		k := knownRouter{Addr: m.Addr, DataCentre: m.DataCentre, Cores: m.Cores, AgeMs: p.spread.Age(m.Addr, now).Milliseconds()}
		v.all = append(v.all, k)
		if m.DataCentre == p.Self.DataCentre {
			v.dataCentre = append(v.dataCentre, k)
		}
		if q := p.views[m.Addr]; isMesh || q != nil && now.Sub(q.lastHeard) < spread.LiveTimeout {
			v.direct = append(v.direct, k)
		}
	}
	return v
}

// send sends a heartbeat to each address.
func (p *Peers) send(addrs []string, w heartbeat) {
	if len(addrs) == 0 {
		return
	}
	data, err := cbor.Marshal(w)
	if err == nil && len(data) > maxDatagram {
		err = &TooLongError{Kind: w.Kind.String(), Bytes: len(data)}
	}
	if err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelError, "err", err)
		return
	}
	for _, addr := range addrs {
		if err := p.Net.Send(addr, data); err != nil {
			events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", addr, "err", err)
			continue
		}
		p.Stats.sent[w.Kind].add(1, len(data))
	}
}

// TooLongError means that a heartbeat exceeds the maximum length of a datagram.
type TooLongError struct {
	Kind  string
	Bytes int
}

// Error implements error.
func (e *TooLongError) Error() string { return "heartbeat too long for a datagram: " + e.Kind }

func contains(addrs []string, addr string) bool { return slices.Contains(addrs, addr) }
