package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// changesMost bounds the changes that a list remembers for other routers: who is further behind
// takes the whole list, which is shorter than so many changes of it.
const changesMost = 2048

// logged is a server whose entry changed, as of the list's stamp.
type logged struct {
	id string
	as Stamp
}

// gapsMost bounds the gaps that are remembered.
const gapsMost = 8

// Gap is a span within which a list has no stamps: the whole list was taken anew, and a server
// that changed and changed back in between is noted nowhere.
type Gap struct{ After, Upto Stamp }

// within reports whether the stamp lies inside of it.
func (g Gap) within(s Stamp) bool { return s.After(g.After) && g.Upto.After(s) }

// changeLog holds the latest changes of a list: all of those after base, for who has the list
// as of a stamp that is in no gap.
type changeLog struct {
	base Stamp
	list []logged
	gaps []Gap
}

// skip notes a gap. What differs behind it is to be added as of its end.
func (l *changeLog) skip(g Gap) {
	if g.After.Era != g.Upto.Era || len(l.gaps) == gapsMost {
		l.reset(g.Upto)
		return
	}
	if g.Upto.After(g.After) {
		l.gaps = append(l.gaps, g)
	}
}

// add notes a change.
func (l *changeLog) add(id string, as Stamp) {
	l.list = append(l.list, logged{id, as})
	if len(l.list) < 2*changesMost {
		return
	}
	// Changes of one stamp are kept or dropped together.
	cut := len(l.list) - changesMost
	for cut < len(l.list) && l.list[cut].as == l.list[cut-1].as {
		cut++
	}
	l.base = l.list[cut-1].as
	l.list = slices.Clone(l.list[cut:])
	l.gaps = slices.DeleteFunc(l.gaps, func(g Gap) bool { return !g.Upto.After(l.base) })
}

// reset forgets all changes up to the stamp.
func (l *changeLog) reset(as Stamp) { *l = changeLog{base: as} }

// since returns the servers that changed after the stamp; ok is false if it goes back too far.
func (l *changeLog) since(from Stamp) (ids []string, ok bool) {
	if l.base.After(from) || l.base.Era != from.Era {
		return nil, false
	}
	if slices.ContainsFunc(l.gaps, func(g Gap) bool { return g.within(from) }) {
		return nil, false
	}
	seen := map[string]bool{}
	for i := len(l.list) - 1; i >= 0 && l.list[i].as.After(from); i-- {
		if id := l.list[i].id; !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids, true
}

// Delta is what has changed of a list, as one router tells it to another whose list is as of
// From or newer. Of the servers that changed it names those that are listed and those that have
// gone; what the teller holds back or doubts it names whole.
type Delta struct {
	From Stamp
	As   Stamp // of the teller's list
	Told
	Gone []string
	Gaps []Gap // of the teller's list since From
}

// Size returns how many servers the delta names.
func (d Delta) Size() int { return len(d.Servers) + len(d.Held) + len(d.Doubtful) + len(d.Gone) }

// Since returns what has changed of the list since the stamp. ok is false if that is not known,
// or the store has just come back from a copy: then a whole list is needed.
func (r *Roster) Since(from Stamp, now time.Time) (_ Delta, ok bool) {
	ids, ok := r.log.since(from)
	if !ok || r.back.within(heldFor, now) {
		return Delta{}, false
	}
	d := Delta{From: from, As: r.stamp}
	for _, g := range r.log.gaps {
		if g.Upto.After(from) {
			d.Gaps = append(d.Gaps, g)
		}
	}
	for _, id := range ids {
		s, listed := r.servers[id]
		h, held := r.back.held[id]
		switch _, doubted := r.doubtful[id]; {
		case held:
			d.Servers = append(d.Servers, h.server)
		case !listed:
			d.Gone = append(d.Gone, id)
		case !doubted:
			d.Servers = append(d.Servers, s)
		}
	}
	d.Held, d.Doubtful = r.unsure(now)
	slices.SortFunc(d.Servers, func(a, b routing.Server) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(d.Gone)
	return d, true
}

// ApplyDelta takes another router's changes and reports whether they follow on this list: it is
// as old as the delta's start or newer, of the same era, and not as new as its end.
func (r *Roster) ApplyDelta(d Delta, now time.Time) bool {
	if r.stamp.Era != d.As.Era || d.From.After(r.stamp) || !d.As.After(r.stamp) || r.back.within(heldFor, now) {
		return false
	}
	r.stamp = d.As
	for _, g := range d.Gaps {
		r.log.skip(g)
	}
	for _, s := range d.Servers {
		r.note(s.ID)
		r.set(s)
	}
	for _, id := range d.Gone {
		r.note(id)
		r.forget(id, now)
		delete(r.back.held, id)
	}
	for id, left := range d.Held {
		if s, listed := r.servers[id]; listed && left > 0 {
			r.hold(s, now.Add(min(left, heldFor)))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.doubtful)) {
		r.note(id)
		r.forget(id, now) // those still in doubt are named again
	}
	for _, doubtful := range d.Doubtful {
		r.note(doubtful.Server.ID)
		r.forget(doubtful.Server.ID, now) // its entry is missing
	}
	r.takeDoubtful(d.Doubtful, now)
	return true
}

// Changed returns the servers that may have changed since it was called last, and whether they
// are so many that the whole list is to be looked at.
func (r *Roster) Changed() (changed []routing.Server, gone []string, whole bool) {
	touched, anew := r.touched, r.anew
	r.touched, r.anew = map[string]bool{}, false
	if anew || len(touched) > len(r.servers)/changedPart {
		return nil, nil, true
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		if s, listed := r.servers[id]; listed {
			changed = append(changed, s)
		} else {
			gone = append(gone, id)
		}
	}
	return changed, gone, false
}

// changedPart is the part of a list, one in so many, above which it counts as new.
const changedPart = 4

// touch notes that a server's entry is another one than before.
func (r *Roster) touch(id string) {
	if !r.anew {
		r.touched[id] = true
	}
}

// begin prepares an empty list for so many servers.
func (r *Roster) begin(n int) {
	r.servers = make(map[string]routing.Server, n)
	r.filling = true
	r.anew = true
}

// note notes for other routers that an entry has changed as of the list's stamp. One that is the
// same as before is noted too: in between it may have been another, as other routers know it.
func (r *Roster) note(id string) {
	if !r.filling {
		r.log.add(id, r.stamp)
	}
}

// counted is under what servers are counted.
type counted struct{ service, dataCentre string }

// Len returns how many servers are listed.
func (r *Roster) Len() int { return len(r.servers) }

// Get returns the entry of a listed server.
func (r *Roster) Get(id string) (routing.Server, bool) {
	s, listed := r.servers[id]
	return s, listed
}

// Each calls f for each listed server, in any order.
func (r *Roster) Each(f func(routing.Server)) {
	for _, s := range r.servers {
		f(s)
	}
}

// EachCount calls f for each service and data centre in which it has servers.
func (r *Roster) EachCount(f func(service, dataCentre string, n int)) {
	for c, n := range r.counts {
		f(c.service, c.dataCentre, n)
	}
}

// count adds to the number of a server's service and data centre.
func (r *Roster) count(s routing.Server, n int) {
	c := counted{s.Service, s.DataCentre}
	if r.counts[c] += n; r.counts[c] == 0 {
		delete(r.counts, c)
	}
}

// put lists a server.
func (r *Roster) put(s routing.Server) {
	if before, listed := r.servers[s.ID]; listed {
		r.count(before, -1)
	}
	r.count(s, 1)
	r.servers[s.ID] = s
	r.touch(s.ID)
}

// take takes a server off the list.
func (r *Roster) take(id string) {
	s, listed := r.servers[id]
	if !listed {
		return
	}
	r.count(s, -1)
	delete(r.servers, id)
	r.touch(id)
}
