package roster

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// heldFor is how long after the store's return from a copy an entry is not believed that
	// the copy may have brought back: a server that lives writes within about 2 s, and one
	// that does not is taken off after three heartbeat intervals of silence (1.2 s each).
	heldFor = 5 * time.Second
	// leaversFor is how long it is remembered which servers have left. A copy is some
	// seconds old.
	leaversFor = time.Minute
)

// leaver is a server that has left.
type leaver struct {
	id routing.Identity
	at time.Time
}

// returned is what is remembered for the store's return from an older copy. The copy
// lacks entries of servers that live and holds entries of servers that have left, until both
// are written again.
type returned struct {
	at      time.Time                 // the last return; zero: there was none
	leavers map[string]leaver         // by ID
	held    map[string]routing.Server // entries that the copy may have brought back
	absent  map[string]bool           // servers that the copy lacked
}

func newReturned() returned {
	return returned{leavers: map[string]leaver{}, held: map[string]routing.Server{}, absent: map[string]bool{}}
}

// within reports whether the last return was less than d ago.
func (b *returned) within(d time.Duration, now time.Time) bool {
	return !b.at.IsZero() && now.Sub(b.at) < d
}

// leaves notes that a server has left.
func (b *returned) leaves(s routing.Server, now time.Time) {
	b.leavers[s.ID] = leaver{s.Identity(), now}
}

// written notes that an entry was written, or removed, since the return: the copy does not
// matter for it any more.
func (b *returned) written(id string) {
	delete(b.leavers, id)
	delete(b.held, id)
	delete(b.absent, id)
}

// lacks reports whether the server was lacking in the copy and may yet write its entry.
func (b *returned) lacks(id string, now time.Time) bool {
	return b.absent[id] && b.within(ReturnGrace, now)
}

// Returned notes that the store has come back from a copy: the time in which servers write
// their entries again begins, and which of them are missing is in doubt.
func (r *Roster) Returned(now time.Time) {
	r.since = time.Time{}
	r.blindAt = now
	r.backAt = now
	r.back.at = now
	clear(r.back.absent)
}

// merge takes a whole list while the copy shows in it: of what this router knew and what
// the copy says, the more careful. A server that has left is not used for it, one that was
// leaving goes on leaving, and one that is missing has its time to write its entry.
func (r *Roster) merge(list []routing.Server, now time.Time) {
	clear(r.back.held) // what was held back and is not in this list has left for good
	for _, s := range list {
		known, listed := r.servers[s.ID]
		left, gone := r.back.leavers[s.ID]
		switch {
		case !listed && gone && left.id == s.Identity():
			r.back.held[s.ID] = s
		case listed && known.Identity() == s.Identity() && !known.Takes():
			s.State = known.State
			r.set(s)
		default:
			r.set(s)
		}
	}
	for _, id := range r.missing(list) {
		r.back.absent[id] = true
		r.doubt(id, now)
	}
}

// Told returns the list for other routers: without the servers that a copy lacks. Those that
// know of the return doubt by themselves what is missing, and one that has just started
// would take for sure what is only not given up yet.
func (r *Roster) Told() []routing.Server {
	return slices.DeleteFunc(r.List(), func(s routing.Server) bool { return r.back.absent[s.ID] })
}

// release lists the entries that were held back and are still there, forgets old leavers,
// and reports whether the list has changed.
func (r *Roster) release(now time.Time) bool {
	for id, l := range r.back.leavers {
		if now.Sub(l.at) > leaversFor {
			delete(r.back.leavers, id)
		}
	}
	if len(r.back.held) == 0 || r.back.within(heldFor, now) {
		return false
	}
	for _, s := range r.back.held {
		r.set(s)
	}
	return true
}
