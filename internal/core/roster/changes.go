package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// maxChanges limits the logged changes. A peer that is further behind takes the whole list, which
// is shorter than that many changes.
const maxChanges = 2048

// changeEntry records that a server's entry changed as of a stamp.
type changeEntry struct {
	id    string
	stamp Stamp
}

// maxGaps limits the recorded gaps.
const maxGaps = 8

// Gap is a range of stamps for which the change log is incomplete: the whole list was read again,
// so a server that changed and changed back in between is not logged.
type Gap struct{ After, Upto Stamp }

// contains reports whether the stamp is strictly inside the gap.
func (g Gap) contains(s Stamp) bool { return s.After(g.After) && g.Upto.After(s) }

// changeLog holds all changes of a list after base. It is complete for peers whose stamp is not
// inside a gap.
type changeLog struct {
	base    Stamp
	entries []changeEntry
	gaps    []Gap
}

// addGap records a gap. Differences found by reading the list again must be added with the gap's
// end as their stamp.
func (l *changeLog) addGap(g Gap) {
	if g.After.Era != g.Upto.Era || len(l.gaps) == maxGaps {
		l.reset(g.Upto)
		return
	}
	if g.Upto.After(g.After) {
		l.gaps = append(l.gaps, g)
	}
}

// add appends a change and trims the log.
func (l *changeLog) add(id string, stamp Stamp) {
	l.entries = append(l.entries, changeEntry{id, stamp})
	if len(l.entries) < 2*maxChanges {
		return
	}
	// Changes with the same stamp are kept or dropped together.
	cut := len(l.entries) - maxChanges
	for cut < len(l.entries) && l.entries[cut].stamp == l.entries[cut-1].stamp {
		cut++
	}
	l.base = l.entries[cut-1].stamp
	l.entries = slices.Clone(l.entries[cut:])
	l.gaps = slices.DeleteFunc(l.gaps, func(g Gap) bool { return !g.Upto.After(l.base) })
}

// reset drops all changes and starts the log at the stamp.
func (l *changeLog) reset(stamp Stamp) { *l = changeLog{base: stamp} }

// since returns the servers that changed after the stamp. ok is false if the log does not cover
// that range.
func (l *changeLog) since(from Stamp) (ids []string, ok bool) {
	if l.base.After(from) || l.base.Era != from.Era {
		return nil, false
	}
	if slices.ContainsFunc(l.gaps, func(g Gap) bool { return g.contains(from) }) {
		return nil, false
	}
	seen := map[string]bool{}
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].stamp.After(from); i-- {
		if id := l.entries[i].id; !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids, true
}

// Delta holds the changes of a list that one router sends to another whose list is at From or
// newer. Of the changed servers, those still listed are in Servers and the others in Removed. Held
// and Doubtful are complete, not only changes.
type Delta struct {
	From Stamp
	To   Stamp // stamp of the sender's list
	Snapshot
	Removed []string
	Gaps    []Gap // of the sender's list since From
}

// Size returns the number of servers that the delta contains.
func (d Delta) Size() int { return len(d.Servers) + len(d.Held) + len(d.Doubtful) + len(d.Removed) }

// DeltaSince returns the changes of the list since the stamp. ok is false if they are not known,
// or if the store was restored from a copy shortly before: then the whole list is needed.
func (r *Roster) DeltaSince(from Stamp, now time.Time) (_ Delta, ok bool) {
	ids, ok := r.changes.since(from)
	if !ok || r.restore.within(holdTime, now) {
		return Delta{}, false
	}
	d := Delta{From: from, To: r.stamp}
	for _, g := range r.changes.gaps {
		if g.Upto.After(from) {
			d.Gaps = append(d.Gaps, g)
		}
	}
	for _, id := range ids {
		s, listed := r.servers[id]
		entry, held := r.restore.held[id]
		switch _, doubted := r.doubtful[id]; {
		case held:
			d.Servers = append(d.Servers, entry.server)
		case !listed:
			d.Removed = append(d.Removed, id)
		case !doubted:
			d.Servers = append(d.Servers, s)
		}
	}
	d.Held, d.Doubtful = r.provisional(now)
	slices.SortFunc(d.Servers, func(a, b routing.Server) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(d.Removed)
	return d, true
}

// ApplyDelta applies a peer's changes and reports whether they apply to this list: it must be at
// the delta's start or newer, of the same era, and older than the delta's end.
func (r *Roster) ApplyDelta(d Delta, now time.Time) bool {
	if r.stamp.Era != d.To.Era || d.From.After(r.stamp) || !d.To.After(r.stamp) || r.restore.within(holdTime, now) {
		return false
	}
	r.stamp = d.To
	for _, g := range d.Gaps {
		r.changes.addGap(g)
	}
	for _, s := range d.Servers {
		r.logChange(s.ID)
		r.set(s)
	}
	for _, id := range d.Removed {
		r.logChange(id)
		r.remove(id, now)
		delete(r.restore.held, id)
	}
	for id, left := range d.Held {
		if s, listed := r.servers[id]; listed && left > 0 {
			r.hold(s, now.Add(min(left, holdTime)))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.doubtful)) {
		r.logChange(id)
		r.remove(id, now) // those still doubtful are in the delta
	}
	for _, doubtful := range d.Doubtful {
		r.logChange(doubtful.Server.ID)
		r.remove(doubtful.Server.ID, now) // the store has no entry for it
	}
	r.adoptDoubtful(d.Doubtful, now)
	return true
}

// TakeChanges returns the servers that may have changed since the previous call. whole is true if
// the caller must go through the whole list instead.
func (r *Roster) TakeChanges() (changed []routing.Server, removed []string, whole bool) {
	touched, refilled := r.touched, r.refilled
	r.touched, r.refilled = map[string]bool{}, false
	if refilled || len(touched) > len(r.servers)/fullScanDivisor {
		return nil, nil, true
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		if s, listed := r.servers[id]; listed {
			changed = append(changed, s)
		} else {
			removed = append(removed, id)
		}
	}
	return changed, removed, false
}

// fullScanDivisor: if more than this fraction of the list changed (one in fullScanDivisor),
// TakeChanges requests a full scan.
const fullScanDivisor = 4

// markTouched records for TakeChanges that a server's entry changed.
func (r *Roster) markTouched(id string) {
	if !r.refilled {
		r.touched[id] = true
	}
}

// startFill prepares an empty list for n servers.
func (r *Roster) startFill(n int) {
	r.servers = make(map[string]routing.Server, n)
	r.filling = true
	r.refilled = true
}

// logChange logs for peers that an entry changed as of the list's stamp. Unchanged entries are
// logged too: a peer may know a different entry from in between.
func (r *Roster) logChange(id string) {
	if !r.filling {
		r.changes.add(id, r.stamp)
	}
}

// countKey is the key by which servers are counted.
type countKey struct{ service, dataCentre string }

// Len returns the number of listed servers.
func (r *Roster) Len() int { return len(r.servers) }

// Get returns a server's entry and whether it is listed.
func (r *Roster) Get(id string) (routing.Server, bool) {
	s, listed := r.servers[id]
	return s, listed
}

// Each calls f for each listed server, in no particular order.
func (r *Roster) Each(f func(routing.Server)) {
	for _, s := range r.servers {
		f(s)
	}
}

// EachCount calls f with the number of servers of each service in each data centre.
func (r *Roster) EachCount(f func(service, dataCentre string, n int)) {
	for c, n := range r.counts {
		f(c.service, c.dataCentre, n)
	}
}

// addCount adjusts the count for a server's service and data centre.
func (r *Roster) addCount(s routing.Server, n int) {
	c := countKey{s.Service, s.DataCentre}
	if r.counts[c] += n; r.counts[c] == 0 {
		delete(r.counts, c)
	}
}

// insert adds or replaces a server.
func (r *Roster) insert(s routing.Server) {
	if before, listed := r.servers[s.ID]; listed {
		r.addCount(before, -1)
	}
	r.addCount(s, 1)
	r.servers[s.ID] = s
	r.markTouched(s.ID)
}

// unlist removes a server from the list.
func (r *Roster) unlist(id string) {
	s, listed := r.servers[id]
	if !listed {
		return
	}
	r.addCount(s, -1)
	delete(r.servers, id)
	r.markTouched(id)
}
