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
	// pushTicks is the minimum number of ticks between two heartbeats with which a reporter relays
	// changes of the server list or announces a newer configuration. A release causes dozens of
	// changes a second.
	pushTicks = 5
	// maxPushedServers is the maximum number of servers in such a heartbeat, some 50 bytes each. A
	// router that is further behind fetches what it lacks.
	maxPushedServers = 160
)

// viewVersions identifies a view.
type viewVersions struct {
	configVersion int64
	listStamp     roster.Stamp
	evacStamp     roster.Stamp
}

// pushState tracks what a reporter has relayed.
type pushState struct {
	last viewVersions
	// The list's stamps as of the last two pushes. Each change is sent twice, so that a lost
	// datagram leaves no gap.
	lastStamp, secondLastStamp roster.Stamp
	repeatDue                  bool // the last changes are to be sent once more
}

// push sends what is new in a reporter's view to its data centre at once. A router that follows the
// store also sends it to data centres without a reader.
func (p *Peers) push(now time.Time) {
	p.mu.Lock()
	if p.spread.IsMesh() || !p.spread.IsReporter() || !p.isDue(pushTicks) {
		p.mu.Unlock()
		return
	}
	_, evacStamp := p.State.EvacuationSnapshot()
	view := viewVersions{p.State.Version(), p.State.Stamp(), evacStamp}
	if view == p.pushed.last && !p.pushed.repeatDue {
		p.mu.Unlock()
		return
	}
	p.pushed.repeatDue = view != p.pushed.last
	from := p.pushed.secondLastStamp
	p.pushed.secondLastStamp, p.pushed.lastStamp = p.pushed.lastStamp, view.listStamp
	p.pushed.last = view
	to := p.pushTargets()
	p.mu.Unlock()
	w := p.newHeartbeat(kindUpdate, state.NewReport(), nil)
	w.Changes = p.encodeChangesSince(from)
	p.send(to, w)
}

// encodeChangesSince encodes the changes of the server list if they are short enough.
func (p *Peers) encodeChangesSince(from roster.Stamp) cbor.RawMessage {
	d, ok := p.State.ServerDeltaSince(from)
	if !ok || d.Size() == 0 {
		return nil
	}
	if d.Size() > maxPushedServers {
		p.Stats.countTruncated(partChanges, d.Size())
		return nil
	}
	data, err := cbor.Marshal(packDelta(d))
	if err != nil {
		return nil // peers can fetch the list
	}
	return data
}

// pushTargets returns the receivers of a push: the other reporter, this reporter's share of the
// other routers of the data centre, and the reporters of its pushedDataCentres. The caller must
// hold p.mu.
func (p *Peers) pushTargets() (to []string) {
	reporters := p.spread.Reporters(p.Self.DataCentre)
	index := slices.Index(reporters, p.Self.Addr)
	for _, m := range p.spread.Members(p.Self.DataCentre) {
		isReporter := slices.Contains(reporters, m.Addr)
		if m.Addr != p.Self.Addr && (isReporter || int(xxhash.Sum64String(m.Addr)%uint64(len(reporters))) == index) {
			to = append(to, m.Addr)
		}
	}
	for _, dataCentre := range p.pushedDataCentres() {
		to = append(to, p.spread.Reporters(dataCentre)...)
	}
	return to
}

// pushedDataCentres returns the data centres to which this router sends changes: the data centres
// without a reader are divided among the readers. The caller must hold p.mu.
func (p *Peers) pushedDataCentres() (dataCentres []string) {
	readers := p.spread.Readers()
	index := slices.Index(readers, p.Self.Addr)
	if index < 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(p.spread.Digests())) {
		reporters := p.spread.Reporters(name)
		hasReader := slices.ContainsFunc(readers, func(r string) bool { return contains(reporters, r) })
		if !hasReader && int(xxhash.Sum64String(name)%uint64(len(readers))) == index {
			dataCentres = append(dataCentres, name)
		}
	}
	return dataCentres
}

// maxMissing is the largest difference in the number of routers that later changes may still
// resolve one by one.
const maxMissing = 16

// memberSync keeps the lists of routers consistent across the fleet.
type memberSync struct {
	lastChanges   spread.Changes       // changes of the previous round, sent once more
	mismatchSince map[string]time.Time // by data centre: since when its list differs from the sender's
	sources       map[string]string    // by data centre: the sender of its digest
	lastFetched   map[string]time.Time // by router: time of the last fetch of lists from it
}

func newMemberSync() memberSync {
	return memberSync{mismatchSince: map[string]time.Time{}, sources: map[string]string{}, lastFetched: map[string]time.Time{}}
}

// withPrevious returns the changes to send: the new ones and those of the previous round.
func (m *memberSync) withPrevious(fresh spread.Changes, _ time.Time) spread.Changes {
	all := m.lastChanges.Merge(fresh)
	m.lastChanges = fresh
	return all
}

// recordMismatches records which of the data centres in a peer's digests have lists that differ
// from this router's. If more routers differ than changes are sent for at a time, the list is due
// at once.
func (m *memberSync) recordMismatches(from string, peerDigests, ownDigests map[string]spread.Digest, mismatched []string, now time.Time) {
	for name, d := range peerDigests {
		if !slices.Contains(mismatched, name) {
			delete(m.mismatchSince, name)
			continue
		}
		m.sources[name] = from
		missing := d.Routers - ownDigests[name].Routers
		switch {
		case missing > maxMissing || -missing > maxMissing:
			m.mismatchSince[name] = now.Add(-mismatchTimeout)
		case m.mismatchSince[name].IsZero():
			m.mismatchSince[name] = now
		}
	}
}

// due returns the data centres whose lists have differed for so long that a change must have been
// lost, and the router to fetch them from now.
func (m *memberSync) due(now time.Time) (from string, dataCentres []string) {
	for _, name := range slices.Sorted(maps.Keys(m.mismatchSince)) {
		since, source := m.mismatchSince[name], m.sources[name]
		if now.Sub(since) < mismatchTimeout || now.Sub(m.lastFetched[source]) < routersPullInterval || from != "" && source != from {
			continue
		}
		from = source
		dataCentres = append(dataCentres, name)
	}
	if from != "" {
		m.lastFetched[from] = now
	}
	return from, dataCentres
}
