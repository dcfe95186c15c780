package roster

import (
	"maps"
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

// held is an entry of the store that is not used yet.
type held struct {
	server routing.Server
	until  time.Time
}

// returned is what is remembered for the store's return from an older copy. The copy
// lacks entries of servers that live and holds entries of servers that have left, until both
// are written again.
type returned struct {
	at      time.Time         // the last return; zero: there was none
	leavers map[string]leaver // by ID
	held    map[string]held   // entries that the copy may have brought back
	absent  map[string]bool   // servers that the copy lacked
}

func newReturned() returned {
	return returned{leavers: map[string]leaver{}, held: map[string]held{}, absent: map[string]bool{}}
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
	r.keepHeld(list)
	until := r.back.at.Add(heldFor)
	for _, s := range list {
		known, listed := r.servers[s.ID]
		left, gone := r.back.leavers[s.ID]
		waits, isHeld := r.back.held[s.ID]
		switch {
		case isHeld && waits.server.Identity() == s.Identity():
			r.hold(s, waits.until)
		case !listed && gone && left.id == s.Identity(), listed && known.Identity() == s.Identity() && !known.Takes():
			r.hold(s, until)
		default:
			r.set(s)
		}
	}
	for _, id := range r.missing(list) {
		r.back.absent[id] = true
		r.doubt(id, now)
	}
}

// hold keeps an entry of the store from being used for a while.
func (r *Roster) hold(s routing.Server, until time.Time) {
	r.take(s.ID)
	delete(r.doubtful, s.ID)
	r.back.held[s.ID] = held{s, until}
}

// keepHeld drops what was held back and is not in the store's list: it has left for good.
func (r *Roster) keepHeld(list []routing.Server) {
	if len(r.back.held) == 0 {
		return
	}
	named := namedBy(list)
	maps.DeleteFunc(r.back.held, func(id string, _ held) bool {
		if !named[id] {
			r.note(id)
		}
		return !named[id]
	})
}

// forgetLeavers forgets which servers left long ago.
func (b *returned) forgetLeavers(now time.Time) {
	maps.DeleteFunc(b.leavers, func(_ string, l leaver) bool { return now.Sub(l.at) > leaversFor })
}

// due returns the entries that were held back for long enough and are still there.
func (b *returned) due(now time.Time) (ids []string) {
	for id, h := range b.held {
		if !now.Before(h.until) {
			ids = append(ids, id)
		}
	}
	return ids
}
