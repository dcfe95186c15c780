package peers

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
)

// publish sends this router's reports, if it is time for them.
func (p *Peers) publish(now time.Time) {
	p.mu.Lock()
	p.ticks++
	if p.ticks%p.spread.Pace() != 0 {
		p.mu.Unlock()
		return
	}
	lost := p.spread.Tick(now)
	for _, addr := range lost {
		delete(p.views, addr)
	}
	to := p.spread.Targets(now, p.sums)
	var known vouched
	repeat := p.ticks%knownEvery == 0
	var fleet []string
	trusted := false
	if repeat {
		known = p.known(now)
		fleet, trusted = p.fleet(now)
	}
	sum := p.sum(now)
	count := p.spread.Count()
	rates := p.ticks%ratesEvery == 0
	if p.ticks%sumEvery != 0 {
		to.Sum = nil
	} else {
		p.sums++
	}
	if p.ticks%totalEvery != 0 {
		to.Total = nil
	}
	p.mu.Unlock()
	for _, addr := range lost {
		events.PeerLost.Log(context.Background(), p.Log, slog.LevelWarn, "peer", addr)
	}
	p.State.SetRouters(count)
	if repeat {
		p.State.SetFleet(fleet, trusted)
	}
	own := p.State.Report()
	if !rates {
		own.Rates = nil
	}
	if repeat {
		own.Ends = append(own.Ends, p.State.RepeatEnds()...)
	}
	p.send(to.Own, p.heartbeat(kindOwn, own, known.own))
	if len(to.Sum)+len(to.Total) == 0 {
		p.keepPending(kindOwn, updatesOf(own))
		return
	}
	outward, inward := p.takePending(updatesOf(own), len(to.Sum) > 0, len(to.Total) > 0)
	sum.centre.Add(own)
	if !rates {
		sum.centre.Rates = nil
		sum.others.Rates = nil
	}
	sum.centre.Sent, sum.centre.Firsts, sum.centre.Ends = outward.sent, outward.firsts, outward.ends
	p.send(to.Sum, p.heartbeat(kindSum, sum.centre, known.centre))
	sum.others.Add(sum.centre)
	sum.others.Sent, sum.others.Firsts, sum.others.Ends = inward.sent, inward.firsts, inward.ends
	p.send(to.Total, p.heartbeat(kindTotal, sum.others, known.all))
}

// fleet returns the other routers, and whether they are known well enough to share permits
// out among all. The lock is held.
func (p *Peers) fleet(now time.Time) (others []string, trusted bool) {
	others, most := p.spread.Fleet()
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
		case now.Sub(r.at) >= spread.LiveFor:
			delete(p.reports, key)
		case r.kind == kindOwn:
			s.centre.Add(r.report)
		default:
			s.others.Add(r.report)
		}
	}
	return s
}

// vouched are the routers that a report of each kind says are live.
type vouched struct {
	own    []knownRouter // those that this router hears itself
	centre []knownRouter // those of its data centre
	all    []knownRouter
}

// known are the routers that this one vouches for. Each kind of report
// names those only that its receivers can't hear better from another: with all of 295
// routers in each, these lists were most of what reporters sent. The lock is held.
func (p *Peers) known(now time.Time) vouched {
	var v vouched
	mesh := p.spread.Mesh()
	for _, m := range p.spread.Live() {
		k := knownRouter{Addr: m.Addr, DataCentre: m.DataCentre, Cores: float32(m.Cores), AgeMs: p.spread.Age(m.Addr, now).Milliseconds()}
		v.all = append(v.all, k)
		if m.DataCentre == p.Self.DataCentre {
			v.centre = append(v.centre, k)
		}
		if q := p.views[m.Addr]; mesh || q != nil && now.Sub(q.heard) < spread.LiveFor {
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
	if err != nil {
		events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelError, "err", err)
		return
	}
	for _, control := range to {
		addr, err := netip.ParseAddrPort(control)
		if err != nil {
			events.PeerMalformed.Log(context.Background(), p.Log, slog.LevelWarn, "peer", control, "err", err)
			continue
		}
		// A datagram that can't be sent is one that is lost: the next follows.
		_, _ = p.conn.WriteToUDPAddrPort(text, netip.AddrPortFrom(addr.Addr(), p.port))
	}
}
