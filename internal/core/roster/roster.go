// Package roster keeps the list of backend servers as the platform's store
// tells it. Entries may lapse while the store can't be reached though the
// servers live; those are doubtful for a while after it is back, and are
// forgotten only then. It has no input or output.
package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// ReturnGrace is how long after the store is back an entry that is missing
// counts as doubtful: servers that live write theirs within about 2 s
// (PROTOCOL, service discovery), and no bound on removed servers holds until
// 3 s after.
const ReturnGrace = 2200 * time.Millisecond

// doubtMost bounds the doubt of one entry once the store is back: a server that
// left must get no request later than 2 s after (bound drainMs).
const doubtMost = 1600 * time.Millisecond

// Roster is the list. It is not safe for concurrent use.
type Roster struct {
	servers  map[string]routing.Server
	doubtful map[string]doubt // those of them that the store lacks
	downAt   time.Time        // zero: the store answers
	backAt   time.Time
	blindAt  time.Time // when the store was lost last
	since    time.Time // the store is followed without a gap since then; zero: it is not
	stamp    Stamp
	was      Stamp    // before SetStamp was called last
	back     returned // what is remembered of a return of the store from a copy
	log      changeLog
	touched  map[string]bool // since Changed was called last
	anew     bool            // the list was empty since then
	filling  bool            // it is empty, and is being taken
	counts   map[counted]int
}

// doubt is that about a server whose entry is missing.
type doubt struct {
	since time.Time
	until time.Time // as another router told it; zero: this one works it out
}

// Stamp orders the lists that routers have, and the answers of the store: by the store's
// era, which rises when the store comes back from an older copy and gives versions out
// again, by the version of the last change, and then by what was forgotten since without
// the store's answer.
type Stamp struct {
	Era     uint64
	Version uint64
	Edits   uint32
}

// After reports whether the list of s is newer than that of o.
func (s Stamp) After(o Stamp) bool {
	return cmp.Or(cmp.Compare(s.Era, o.Era), cmp.Compare(s.Version, o.Version), cmp.Compare(s.Edits, o.Edits)) > 0
}

// Stamp returns the list's.
func (r *Roster) Stamp() Stamp { return r.stamp }

// SetStamp notes that the list, with what is told next, is as of the stamp.
func (r *Roster) SetStamp(s Stamp) {
	if s.Era != r.stamp.Era {
		r.log.reset(s)
	}
	r.was = r.stamp
	r.stamp = s
}

// New returns an empty list.
func New() *Roster {
	return &Roster{
		servers:  map[string]routing.Server{},
		doubtful: map[string]doubt{},
		back:     newReturned(),
		touched:  map[string]bool{},
		counts:   map[counted]int{},
	}
}

// StoreDown notes that the store does not answer.
func (r *Roster) StoreDown(now time.Time) {
	r.since = time.Time{}
	if r.downAt.IsZero() {
		r.downAt = now
		r.blindAt = now
	}
}

// NotFollowed notes that the list comes from other routers.
func (r *Roster) NotFollowed() { r.since = time.Time{} }

// Followed returns for how long the store has been followed without a gap.
func (r *Roster) Followed(now time.Time) time.Duration {
	if r.since.IsZero() {
		return 0
	}
	return now.Sub(r.since)
}

// Settle ends the doubt about missing entries at the report of a router that has
// followed the store without a gap for so long: if that began before this one
// lost the store, the store was there, and only this router was cut off. It
// reports whether there was any doubt.
func (r *Roster) Settle(followed time.Duration, now time.Time) bool {
	if len(r.doubtful) == 0 || followed <= now.Sub(r.blindAt) || r.back.within(ReturnGrace, now) {
		return false
	}
	r.edited()
	for id := range r.doubtful {
		r.note(id)
		r.forget(id, now)
	}
	return true
}

// edited notes that the list is being changed without the store's answer. Only who follows the
// store counts that in the stamp: a router that is told by others would count its own changes
// as if they were theirs, and take a later list of theirs for one that it has.
func (r *Roster) edited() {
	if !r.since.IsZero() {
		r.stamp.Edits++
	}
}

// StoreBack notes that the store answers.
func (r *Roster) StoreBack(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	if r.downAt.IsZero() {
		return
	}
	r.downAt = time.Time{}
	r.backAt = now
}

// shaky reports whether a missing entry may be that of a server that lives.
func (r *Roster) shaky(now time.Time) bool {
	if !r.downAt.IsZero() {
		return true
	}
	return !r.backAt.IsZero() && now.Sub(r.backAt) < ReturnGrace
}

// Apply takes changed and removed entries.
func (r *Roster) Apply(changed []routing.Server, gone []string, now time.Time) {
	for _, s := range changed {
		r.note(s.ID)
		r.set(s)
	}
	for _, id := range gone {
		r.note(id)
		r.lose(id, now)
	}
}

// differs reports whether the entry changes the list.
func (r *Roster) differs(s routing.Server) bool {
	known, listed := r.servers[s.ID]
	_, doubted := r.doubtful[s.ID]
	_, held := r.back.held[s.ID]
	return !listed || known != s || doubted || held
}

// set takes an entry.
func (r *Roster) set(s routing.Server) {
	if r.differs(s) {
		r.put(s)
	}
	delete(r.doubtful, s.ID)
	r.back.written(s.ID)
}

// Replace takes the whole list anew. sure says that a missing entry is that of
// a server that has left, also if this router can't ask the store: the list is
// that of a router which can. For a while after the store's return from a copy
// no list is believed so far: see merge.
func (r *Roster) Replace(list []routing.Server, sure bool, now time.Time) {
	if len(r.servers) == 0 {
		r.begin(len(list))
	}
	defer func() { r.filling = false }()
	if r.filling || r.back.within(heldFor, now) {
		r.log.reset(r.stamp)
	} else {
		r.log.skip(Gap{r.was, r.stamp})
	}
	if r.back.within(heldFor, now) {
		r.merge(list, now)
		return
	}
	r.keepHeld(list)
	for _, s := range list {
		if h, ok := r.back.held[s.ID]; ok && !sure && h.server.Identity() == s.Identity() {
			continue
		}
		if r.differs(s) {
			r.note(s.ID)
		}
		r.set(s)
	}
	for _, id := range r.missing(list) {
		r.note(id)
		if sure {
			r.forget(id, now)
			continue
		}
		r.lose(id, now)
	}
}

// missing returns the IDs of the servers that the list lacks.
func (r *Roster) missing(list []routing.Server) (ids []string) {
	if r.filling && len(r.servers) == len(list) {
		return nil
	}
	named := namedBy(list)
	for id := range r.servers {
		if !named[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// namedBy returns the IDs of the servers of a list.
func namedBy(list []routing.Server) map[string]bool {
	named := make(map[string]bool, len(list))
	for _, s := range list {
		named[s.ID] = true
	}
	return named
}

// Forget drops a server whose entry has become unusable, without doubt: the entry is there and
// says so, as of a version of the store. It reports whether the server was listed.
func (r *Roster) Forget(id string, as Stamp, now time.Time) bool {
	if _, known := r.servers[id]; !known {
		return false
	}
	r.stamp.Edits++ // other routers take the list without it
	if as.After(r.stamp) {
		r.stamp = as
	}
	r.note(id)
	r.forget(id, now)
	return true
}

// forget drops an entry.
func (r *Roster) forget(id string, now time.Time) {
	if s, known := r.servers[id]; known {
		r.back.leaves(s, now)
	}
	r.take(id)
	delete(r.doubtful, id)
}

// lose forgets an entry, or doubts it.
func (r *Roster) lose(id string, now time.Time) {
	r.back.written(id) // that it was removed
	if _, known := r.servers[id]; !known {
		return
	}
	if !r.shaky(now) {
		r.forget(id, now)
		return
	}
	r.doubt(id, now)
}

// doubt notes since when an entry is missing.
func (r *Roster) doubt(id string, now time.Time) {
	if _, already := r.doubtful[id]; !already {
		r.doubtful[id] = doubt{since: now}
		r.touch(id)
	}
}

// Tick forgets the doubtful entries whose time is over, and reports whether
// there were any. While the store is down nothing is forgotten that this router doubts.
func (r *Roster) Tick(now time.Time) bool {
	r.back.forgetLeavers(now)
	var release []string
	if r.downAt.IsZero() {
		release = r.back.due(now)
	}
	var over []string
	for id := range r.doubtful {
		if r.doubtLeft(id, now) <= 0 {
			over = append(over, id)
		}
	}
	if len(release)+len(over) == 0 {
		return false
	}
	r.edited()
	for _, id := range release {
		r.note(id)
		r.set(r.back.held[id].server)
	}
	for _, id := range over {
		r.note(id)
		r.forget(id, now)
	}
	return true
}

// doubtLeft is for how much longer a missing server counts as one that lives.
func (r *Roster) doubtLeft(id string, now time.Time) time.Duration {
	d := r.doubtful[id]
	switch {
	case !d.until.IsZero():
		return d.until.Sub(now)
	case !r.downAt.IsZero():
		return ReturnGrace
	}
	since := d.since
	if since.Before(r.backAt) {
		since = r.backAt
	}
	left := min(since.Add(doubtMost).Sub(now), r.backAt.Add(ReturnGrace).Sub(now))
	if r.back.lacks(id, now) {
		left = max(left, r.back.at.Add(ReturnGrace).Sub(now))
	}
	return left
}

// List returns the servers in the order of their IDs.
func (r *Roster) List() []routing.Server {
	list := make([]routing.Server, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b routing.Server) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Doubtful reports whether the entry was missing when the list was last read.
func (r *Roster) Doubtful(id string) bool {
	_, ok := r.doubtful[id]
	return ok
}
