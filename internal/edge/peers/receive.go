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
		var w heartbeat
		if err := cbor.Unmarshal(buf[:n], &w); err != nil {
			events.PeerMalformed.Log(ctx, p.Log, slog.LevelWarn, "err", err)
			continue
		}
		p.take(w, p.Now())
	}
}

// take takes a peer's report.
func (p *Peers) take(w heartbeat, now time.Time) {
	if w.Control == p.Self.Addr || w.Control == "" {
		return
	}
	p.takeEra(w.Control, w.Era)
	evacuated, as := w.evacuations(p.Wait())
	p.State.EvacuationsToldBy(evacuated, as).Log(p.Log, w.Control, as)
	version := p.State.Version()
	p.mu.Lock()
	found := p.spread.Heard(spread.Member{Addr: w.Control, DataCentre: w.DataCentre, Cores: w.Cores}, 0, now)
	for _, k := range w.Known {
		p.spread.Heard(spread.Member{Addr: k.Addr, DataCentre: k.DataCentre, Cores: float64(k.Cores)}, time.Duration(k.AgeMs)*time.Millisecond, now)
	}
	p.view(w, version, now)
	use := p.use(w)
	vouches := p.vouches(w)
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
	p.takeUpdates(w, report)
	switch use {
	case useOther:
		p.State.PeerReport(w.key(), report)
	case useTotal:
		p.State.TotalReport(w.key(), report)
	case useNone:
	}
	if p.State.Settle(time.Duration(w.FollowedMs)*time.Millisecond, w.stamp()) {
		events.ServersChanged.Log(context.Background(), p.Log, slog.LevelInfo, "from", w.Control, "followedMs", w.FollowedMs, "what", "doubtful ones forgotten")
	}
	if vouches && w.Era >= p.State.Era() && w.Version != 0 && w.Version == p.State.Version() && !w.stamp().After(p.State.Stamp()) {
		p.confirm(p.age(w))
	}
}

// takeEra takes the store's era of another router's list of servers.
func (p *Peers) takeEra(from string, era uint64) {
	before, returned := p.State.TakeEra(era)
	if !returned {
		return
	}
	events.StoreReturned.Log(context.Background(), p.Log, slog.LevelWarn, "from", from, "before", before, "era", era,
		"config", p.State.Version(), "servers", p.State.ServerCount())
}

// takeUpdates takes what is told once, and keeps it if this router tells it on.
func (p *Peers) takeUpdates(w heartbeat, r state.Report) {
	if len(r.Sent) > 0 {
		p.State.HeardSent(r.Sent)
	}
	if len(r.Firsts) > 0 {
		p.State.HeardFirsts(r.Firsts)
	}
	if w.Era < p.State.Era() {
		poison.Unstored(r.Ends) // the store may have lost them since
	}
	p.takeEnds(w.Control, r.Ends)
	if w.Kind == kindSum || w.DataCentre == p.Self.DataCentre {
		p.keepPending(w.Kind, updatesOf(r))
	}
}

// confirm takes an answer of the store of some age. One that is hardly younger than
// what is known is the same one, told on.
func (p *Peers) confirm(age time.Duration) {
	if _, known := p.State.Table(); known-age > sameReport {
		p.State.Confirm(age)
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
	return w.Kind == kindTotal && !p.spread.Reporter()
}

// view notes what the peer says of its view; the lock is held.
func (p *Peers) view(w heartbeat, version int64, now time.Time) {
	q := p.views[w.Control]
	if q == nil {
		q = &peer{}
		p.views[w.Control] = q
	}
	q.version = w.Version
	q.stamp = w.stamp()
	q.heard = now
	q.asOf = now.Add(-p.age(w))
	if w.Version > version && q.newer.IsZero() {
		q.newer = now
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
	mesh := p.spread.Mesh()
	reporter := p.spread.Reporter()
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
	}
	return useNone
}
