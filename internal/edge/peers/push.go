package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/spread"
	"github.com/windscale/windscale/internal/edge/state"
)

const (
	// pushEvery is in how many ticks at least a reporter tells on what has changed of the list of
	// servers, or that there is a newer configuration: changes of a release come by the dozen a
	// second.
	pushEvery = 5
	// pushMost bounds the servers that such a heartbeat names, some 50 bytes each. Who is further
	// behind fetches what it lacks.
	pushMost = 160
)

// seen is the view that a router last told on.
type seen struct {
	version int64
	stamp   roster.Stamp
	evac    roster.Stamp
}

// pushed is what a reporter has told on.
type pushed struct {
	last seen
	// from is the list's stamp two heartbeats ago: each change is told twice, so that a lost
	// datagram leaves no gap.
	from, before roster.Stamp
	again        bool // the last changes are to be told once more
}

// push has a reporter tell on at once what is new in its view: in its data centre, and a router
// that follows the store in those that have none which does.
func (p *Peers) push(now time.Time) {
	p.mu.Lock()
	if p.spread.IsMesh() || !p.spread.IsReporter() || !p.every(pushEvery) {
		p.mu.Unlock()
		return
	}
	_, evac := p.State.EvacuationSnapshot()
	view := seen{p.State.Version(), p.State.Stamp(), evac}
	if view == p.pushed.last && !p.pushed.again {
		p.mu.Unlock()
		return
	}
	p.pushed.again = view != p.pushed.last
	from := p.pushed.before
	p.pushed.before, p.pushed.from = p.pushed.from, view.stamp
	p.pushed.last = view
	to := p.pushTargets()
	p.mu.Unlock()
	w := p.heartbeat(kindUpdate, state.NewReport(), nil)
	w.Changes = p.changesSince(from)
	p.send(to, w)
}

// changesSince renders what has changed of the list of servers, if it is short enough.
func (p *Peers) changesSince(from roster.Stamp) cbor.RawMessage {
	d, ok := p.State.ServerDeltaSince(from)
	if !ok || d.Size() == 0 {
		return nil
	}
	if d.Size() > pushMost {
		p.Stats.leaveOut(partChanges, d.Size())
		return nil
	}
	text, err := cbor.Marshal(packDelta(d))
	if err != nil {
		return nil // the list can be fetched
	}
	return text
}

// pushTargets returns whom to tell: the other reporter, this one's part of the data centre's
// other routers, and the reporters of the data centres that this router tells. The lock is held.
func (p *Peers) pushTargets() (to []string) {
	mine := p.spread.Reporters(p.Self.DataCentre)
	place := slices.Index(mine, p.Self.Addr)
	for _, m := range p.spread.Members(p.Self.DataCentre) {
		other := slices.Contains(mine, m.Addr)
		if m.Addr != p.Self.Addr && (other || int(xxhash.Sum64String(m.Addr)%uint64(len(mine))) == place) {
			to = append(to, m.Addr)
		}
	}
	for _, centre := range p.tells() {
		to = append(to, p.spread.Reporters(centre)...)
	}
	return to
}

// tells returns the data centres that this router tells of changes: the readers share out those
// that have no reader of their own. The lock is held.
func (p *Peers) tells() (centres []string) {
	readers := p.spread.Readers()
	at := slices.Index(readers, p.Self.Addr)
	if at < 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(p.spread.Digests())) {
		own := p.spread.Reporters(name)
		follows := slices.ContainsFunc(readers, func(r string) bool { return contains(own, r) })
		if !follows && int(xxhash.Sum64String(name)%uint64(len(readers))) == at {
			centres = append(centres, name)
		}
	}
	return centres
}

// missingMost is how many routers changes may still tell of, one after the other.
const missingMost = 16

// memberSync is how the lists of routers are kept alike.
type memberSync struct {
	told    spread.Changes       // the last changes, told twice
	differ  map[string]time.Time // since when a data centre's list differs from that of who tells it
	sources map[string]string    // who does
	fetched map[string]time.Time // when lists were fetched from a router last
}

func newMemberSync() memberSync {
	return memberSync{differ: map[string]time.Time{}, sources: map[string]string{}, fetched: map[string]time.Time{}}
}

// tell returns the changes to tell: the new ones and those before.
func (m *memberSync) tell(fresh spread.Changes, _ time.Time) spread.Changes {
	all := m.told.Merge(fresh)
	m.told = fresh
	return all
}

// compare notes the data centres of which another router told, and of those the ones whose lists
// differ from this router's. Where more routers are missing than changes are told at a time, the
// list is due at once.
func (m *memberSync) compare(from string, told, own map[string]spread.Digest, differ []string, now time.Time) {
	for name, d := range told {
		if !slices.Contains(differ, name) {
			delete(m.differ, name)
			continue
		}
		m.sources[name] = from
		missing := d.Routers - own[name].Routers
		switch {
		case missing > missingMost || -missing > missingMost:
			m.differ[name] = now.Add(-differAfter)
		case m.differ[name].IsZero():
			m.differ[name] = now
		}
	}
}

// due returns the data centres whose lists have differed for so long that a change was lost, and
// who is to be asked for them now.
func (m *memberSync) due(now time.Time) (from string, centres []string) {
	for _, name := range slices.Sorted(maps.Keys(m.differ)) {
		since, source := m.differ[name], m.sources[name]
		if now.Sub(since) < differAfter || now.Sub(m.fetched[source]) < routersEvery || from != "" && source != from {
			continue
		}
		from = source
		centres = append(centres, name)
	}
	if from != "" {
		m.fetched[from] = now
	}
	return from, centres
}
