package peers

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

// olderFor is how long after a heartbeat of a router of an earlier release whole lists of routers
// are told, as that release needs them.
const olderFor = 10 * time.Second

// round is what a router tells at a time.
type round struct {
	to      spread.Targets
	lost    []string
	mesh    bool
	heads   []knownRouter
	known   vouched // nothing, unless older releases need it
	fleet   []string
	trusted bool
	repeat  bool // what is told again and again is due
	rates   bool
	sums    sums
	count   int
	digests map[string]spread.Digest
	changes spread.Changes
}

// publish sends this router's reports, if it is time for them.
func (p *Peers) publish(now time.Time) {
	p.mu.Lock()
	if !p.every(p.spread.ReportPeriod()) {
		p.mu.Unlock()
		return
	}
	r := p.beginRound(now)
	p.mu.Unlock()
	for _, addr := range r.lost {
		events.PeerLost.Log(context.Background(), p.Log, slog.LevelWarn, "peer", addr)
	}
	p.State.SetRouterCount(r.count)
	if r.repeat {
		p.State.SetFleet(r.fleet, r.trusted)
	}
	own := p.State.Report()
	if !r.rates {
		own.Rates = nil
	}
	if r.repeat {
		own.Crashes = append(own.Crashes, p.State.CrashesToRepeat()...)
	}
	w := r.add(p.heartbeat(kindOwn, own, r.tell(r.known.own)), nil)
	w.EvidenceFar = wireEvidence(p.takeFellow())
	p.send(r.to.Own, w)
	if len(r.to.Sum)+len(r.to.Total) == 0 {
		p.keepPending(kindOwn, updatesOf(own))
		return
	}
	outward, inward := p.takePending(updatesOf(own), len(r.to.Sum) > 0, len(r.to.Total) > 0)
	sum := r.sums
	sum.centre.Add(own)
	p.State.OmitLightLoads(sum.centre)
	if !r.rates {
		sum.centre.Rates = nil
		sum.others.Rates = nil
	}
	sum.centre.SentParts, sum.centre.FirstTokens, sum.centre.Crashes = outward.sent, outward.firsts, outward.crashes
	sum.centre.Evidence = outward.evidence
	p.send(r.to.Sum, r.add(p.heartbeat(kindSum, sum.centre, r.tell(r.known.centre)), []string{p.Self.DataCentre}))
	sum.others.Add(sum.centre)
	p.State.OmitLightLoads(sum.others)
	sum.others.SentParts, sum.others.FirstTokens, sum.others.Crashes = inward.sent, inward.firsts, inward.crashes
	p.send(r.to.Total, r.add(p.heartbeat(kindTotal, sum.others, r.tell(r.known.all)), r.centres()))
}

// beginRound gathers what is to be told; the lock is held.
func (p *Peers) beginRound(now time.Time) round {
	lost := p.spread.Tick(now)
	for _, addr := range lost {
		delete(p.views, addr)
	}
	r := round{
		to:     p.spread.Targets(now, p.sums),
		lost:   lost,
		mesh:   p.spread.IsMesh(),
		repeat: p.every(headsEvery),
		rates:  p.every(ratesEvery),
		sums:   p.sum(now),
		count:  p.spread.FleetSize(),
	}
	if r.repeat {
		r.fleet, r.trusted = p.fleet(now)
		r.heads = p.heads(now)
		if r.mesh || now.Sub(p.older) < olderFor {
			r.known = p.known(now)
		}
	}
	if !r.mesh {
		r.digests = p.spread.Digests()
		r.changes = p.members.tell(p.spread.TakeChanges(), now)
	}
	if p.every(sumEvery) {
		p.sums++
	} else {
		r.to.Sum = nil
	}
	if !p.every(totalEvery) {
		r.to.Total = nil
	}
	return r
}

// tell returns the routers to name: those that an earlier release needs, or the heads.
func (r *round) tell(known []knownRouter) []knownRouter {
	if len(known) > 0 || r.mesh {
		return known
	}
	return r.heads
}

// centres are all data centres of which something is known.
func (r *round) centres() []string { return slices.Sorted(maps.Keys(r.digests)) }

// add has a heartbeat tell of the routers of data centres.
func (r *round) add(w heartbeat, centres []string) heartbeat {
	w.Fleet = r.count
	for _, name := range centres {
		d, known := r.digests[name]
		if !known {
			continue
		}
		if w.Digests == nil {
			w.Digests = map[string]spread.Digest{}
		}
		w.Digests[name] = d
		of := r.changes.In(name)
		w.Joined = append(w.Joined, knownOf(of.Joined)...)
		w.Left = append(w.Left, knownOf(of.Left)...)
	}
	return w
}

// fleet returns the other routers, and whether they are known well enough to share permits
// out among all. The lock is held.
func (p *Peers) fleet(now time.Time) (others []string, trusted bool) {
	others, most := p.spread.KnownRouters()
	if p.began.IsZero() {
		p.began = now
	}
	return others, most && now.Sub(p.began) >= joinFor
}

// sums are what a reporter has heard.
type sums struct {
	centre state.Report // of the other routers of this data centre
	others state.Report // of the other data centres
}

// sum adds up the reports heard lately; the lock is held.
func (p *Peers) sum(now time.Time) sums {
	s := sums{centre: state.NewReport(), others: state.NewReport()}
	for key, r := range p.reports {
		switch {
		case now.Sub(r.at) >= spread.LiveTimeout:
			delete(p.reports, key)
		case r.kind == kindOwn:
			s.centre.Add(r.report)
		default:
			s.others.Add(r.report)
		}
	}
	return s
}

// heads are the first routers in the ranking of each data centre; the lock is held.
func (p *Peers) heads(now time.Time) (list []knownRouter) {
	for _, v := range p.spread.TopRanked(now) {
		list = append(list, knownRouter{Addr: v.Addr, DataCentre: v.DataCentre, Cores: v.Cores, AgeMs: v.Age.Milliseconds()})
	}
	return list
}

// vouched are the routers that a report of each kind says are live.
type vouched struct {
	own    []knownRouter // those that this router hears itself
	centre []knownRouter // those of its data centre
	all    []knownRouter
}

// knownMost is how many routers a heartbeat names where whole lists are told: in small fleets, and
// to routers of an earlier release.
func (p *Peers) knownMost() int { return maxDatagram / 2 / knownSize }

// knownSize is about what a router takes in a list.
const knownSize = 40

// known are the routers that this one vouches for. Each kind of report
// names those only that its receivers can't hear better from another. The lock is held.
func (p *Peers) known(now time.Time) vouched {
	var v vouched
	mesh := p.spread.IsMesh()
	for _, m := range p.spread.Live() {
		k := knownRouter{Addr: m.Addr, DataCentre: m.DataCentre, Cores: m.Cores, AgeMs: p.spread.Age(m.Addr, now).Milliseconds()}
		v.all = append(v.all, k)
		if m.DataCentre == p.Self.DataCentre {
			v.centre = append(v.centre, k)
		}
		if q := p.views[m.Addr]; mesh || q != nil && now.Sub(q.heard) < spread.LiveTimeout {
			v.own = append(v.own, k)
		}
	}
	return v
}

// send sends one report to each address.
func (p *Peers) send(to []string, w heartbeat) {
	if len(to) == 0 {
		return
	}
	text, err := cbor.Marshal(w)
	if err == nil && len(text) > maxDatagram {
		err = &TooLongError{Kind: w.Kind.String(), Bytes: len(text)}
	}
	if err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelError, "err", err)
		return
	}
	for _, control := range to {
		if err := p.Net.Send(control, text); err != nil {
			events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", control, "err", err)
			continue
		}
		p.Stats.sent[w.Kind].add(1, len(text))
	}
}

// TooLongError says that a heartbeat is longer than a datagram may be.
type TooLongError struct {
	Kind  string
	Bytes int
}

// Error implements error.
func (e *TooLongError) Error() string { return "heartbeat too long for a datagram: " + e.Kind }

// contains reports whether the address is one of them.
func contains(addrs []string, addr string) bool { return slices.Contains(addrs, addr) }
