// Package roster maintains the list of backend servers from the platform's store. While the store
// is unreachable, entries of live servers may expire. When it is reachable again, such entries are
// doubtful for a while before they are removed. The package does no I/O.
package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// RecoveryGrace is how long a missing entry counts as doubtful after the store is reachable again:
// live servers write theirs within about 2 s (PROTOCOL, service discovery), and the bound on
// removed servers does not apply until 3 s after.
const RecoveryGrace = 2200 * time.Millisecond

// maxDoubt limits how long one entry is doubtful once the store is reachable: a server that has
// left must get no request later than 2 s after (bound drainMs).
const maxDoubt = 1600 * time.Millisecond

// Roster is the list of backend servers. It is not safe for concurrent use.
type Roster struct {
	servers       map[string]routing.Server
	doubtful      map[string]doubt // listed servers that are missing from the store
	storeDownAt   time.Time        // zero if the store is reachable
	storeUpAt     time.Time
	storeLostAt   time.Time // when the store was last lost
	followedSince time.Time // since when the store is followed without a gap; zero if it is not
	stamp         Stamp
	prevStamp     Stamp        // stamp before the last SetStamp
	restore       restoreState // state kept after the store was restored from a copy
	changes       changeLog
	touched       map[string]bool // servers changed since the last TakeChanges
	refilled      bool            // the list was filled from empty since then
	filling       bool            // the empty list is being filled
	counts        map[countKey]int
}

// doubt is the state of a server whose entry is missing.
type doubt struct {
	since time.Time
	until time.Time // as reported by a peer; zero if computed here
}

// Stamp orders the lists of routers and the answers of the store: first by the store's era, which
// increases when the store is restored from an older copy and reuses versions, then by the version
// of the last change, then by the number of changes made since then without an answer of the
// store.
type Stamp struct {
	Era     uint64
	Version uint64
	Edits   uint32
}

// After reports whether a list with stamp s is newer than one with stamp o.
func (s Stamp) After(o Stamp) bool {
	return cmp.Or(cmp.Compare(s.Era, o.Era), cmp.Compare(s.Version, o.Version), cmp.Compare(s.Edits, o.Edits)) > 0
}

// Stamp returns the stamp of the list.
func (r *Roster) Stamp() Stamp { return r.stamp }

// SetStamp sets the stamp of the list and of the updates applied next.
func (r *Roster) SetStamp(s Stamp) {
	if s.Era != r.stamp.Era {
		r.changes.reset(s)
	}
	r.prevStamp = r.stamp
	r.stamp = s
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		servers:  map[string]routing.Server{},
		doubtful: map[string]doubt{},
		restore:  newRestoreState(),
		touched:  map[string]bool{},
		counts:   map[countKey]int{},
	}
}

// StoreDown records that the store is unreachable.
func (r *Roster) StoreDown(now time.Time) {
	r.followedSince = time.Time{}
	if r.storeDownAt.IsZero() {
		r.storeDownAt = now
		r.storeLostAt = now
	}
}

// StopFollowing records that the list now comes from peers instead of the store.
func (r *Roster) StopFollowing() { r.followedSince = time.Time{} }

// FollowedFor returns how long the store has been followed without a gap.
func (r *Roster) FollowedFor(now time.Time) time.Duration {
	if r.followedSince.IsZero() {
		return 0
	}
	return now.Sub(r.followedSince)
}

// ResolveDoubt removes the doubtful servers on the report of a peer that has followed the store
// without a gap for the given time. If that began before this router lost the store, the store was
// reachable and only this router was cut off. It reports whether there were doubtful servers.
func (r *Roster) ResolveDoubt(followed time.Duration, now time.Time) bool {
	if len(r.doubtful) == 0 || followed <= now.Sub(r.storeLostAt) || r.restore.within(RecoveryGrace, now) {
		return false
	}
	r.countEdit()
	for id := range r.doubtful {
		r.logChange(id)
		r.remove(id, now)
	}
	return true
}

// countEdit counts a change of the list that is not an answer of the store. Only routers that
// follow the store count these in the stamp: one that gets its list from peers would count its own
// changes as theirs and mistake a later list of theirs for one that
// it already has.
func (r *Roster) countEdit() {
	if !r.followedSince.IsZero() {
		r.stamp.Edits++
	}
}

// StoreUp records that the store is reachable.
func (r *Roster) StoreUp(now time.Time) {
	if r.followedSince.IsZero() {
		r.followedSince = now
	}
	if r.storeDownAt.IsZero() {
		return
	}
	r.storeDownAt = time.Time{}
	r.storeUpAt = now
}

// removalUncertain reports whether a missing entry may belong to a live server.
func (r *Roster) removalUncertain(now time.Time) bool {
	if !r.storeDownAt.IsZero() {
		return true
	}
	return !r.storeUpAt.IsZero() && now.Sub(r.storeUpAt) < RecoveryGrace
}

// Apply applies changed and removed entries.
func (r *Roster) Apply(changed []routing.Server, removed []string, now time.Time) {
	for _, s := range changed {
		r.logChange(s.ID)
		r.set(s)
	}
	for _, id := range removed {
		r.logChange(id)
		r.handleMissing(id, now)
	}
}

// differs reports whether the entry would change the list.
func (r *Roster) differs(s routing.Server) bool {
	known, listed := r.servers[s.ID]
	_, doubted := r.doubtful[s.ID]
	_, held := r.restore.held[s.ID]
	return !listed || known != s || doubted || held
}

// set applies an entry of the store.
func (r *Roster) set(s routing.Server) {
	if r.differs(s) {
		r.insert(s)
	}
	delete(r.doubtful, s.ID)
	r.restore.confirm(s.ID)
}

// Replace replaces the whole list. If authoritative is true, a missing entry means that its server has
// left, even if this router can't reach the store: the list comes from a router that can. Shortly
// after a restore of the store no list is trusted that far: see mergeRestored.
func (r *Roster) Replace(list []routing.Server, authoritative bool, now time.Time) {
	if len(r.servers) == 0 {
		r.startFill(len(list))
	}
	defer func() { r.filling = false }()
	if r.filling || r.restore.within(holdTime, now) {
		r.changes.reset(r.stamp)
	} else {
		r.changes.addGap(Gap{r.prevStamp, r.stamp})
	}
	if r.restore.within(holdTime, now) {
		r.mergeRestored(list, now)
		return
	}
	r.pruneHeld(list)
	for _, s := range list {
		if entry, held := r.restore.held[s.ID]; held && !authoritative && entry.server.Identity() == s.Identity() {
			continue
		}
		if r.differs(s) {
			r.logChange(s.ID)
		}
		r.set(s)
	}
	for _, id := range r.missing(list) {
		r.logChange(id)
		if authoritative {
			r.remove(id, now)
			continue
		}
		r.handleMissing(id, now)
	}
}

// missing returns the IDs of listed servers that are not in the given list.
func (r *Roster) missing(list []routing.Server) (ids []string) {
	if r.filling && len(r.servers) == len(list) {
		return nil
	}
	present := idSet(list)
	for id := range r.servers {
		if !present[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// idSet returns the set of server IDs in a list.
func idSet(list []routing.Server) map[string]bool {
	ids := make(map[string]bool, len(list))
	for _, s := range list {
		ids[s.ID] = true
	}
	return ids
}

// Remove removes a server whose entry has become unusable as of a version of the store. There is
// no doubt, since the entry itself says so. It reports whether the server was listed.
func (r *Roster) Remove(id string, stamp Stamp, now time.Time) bool {
	if _, known := r.servers[id]; !known {
		return false
	}
	r.stamp.Edits++ // makes the stamp newer, so that peers take the list
	if stamp.After(r.stamp) {
		r.stamp = stamp
	}
	r.logChange(id)
	r.remove(id, now)
	return true
}

// remove removes a server from the list.
func (r *Roster) remove(id string, now time.Time) {
	if s, known := r.servers[id]; known {
		r.restore.recordDeparture(s, now)
	}
	r.unlist(id)
	delete(r.doubtful, id)
}

// handleMissing removes a server whose entry is gone, or marks it doubtful if the removal is
// uncertain.
func (r *Roster) handleMissing(id string, now time.Time) {
	r.restore.confirm(id) // the store confirms the removal
	if _, known := r.servers[id]; !known {
		return
	}
	if !r.removalUncertain(now) {
		r.remove(id, now)
		return
	}
	r.markDoubtful(id, now)
}

// markDoubtful marks a server whose entry is missing.
func (r *Roster) markDoubtful(id string, now time.Time) {
	if _, already := r.doubtful[id]; !already {
		r.doubtful[id] = doubt{since: now}
		r.markTouched(id)
	}
}

// Tick removes doubtful servers whose time is over, releases held entries that are due, and
// reports whether anything changed. While the store is down, entries that this router itself
// doubts are kept.
func (r *Roster) Tick(now time.Time) bool {
	r.restore.pruneDepartures(now)
	var release []string
	if r.storeDownAt.IsZero() {
		release = r.restore.expiredHolds(now)
	}
	var expired []string
	for id := range r.doubtful {
		if r.remainingDoubt(id, now) <= 0 {
			expired = append(expired, id)
		}
	}
	if len(release)+len(expired) == 0 {
		return false
	}
	r.countEdit()
	for _, id := range release {
		r.logChange(id)
		r.set(r.restore.held[id].server)
	}
	for _, id := range expired {
		r.logChange(id)
		r.remove(id, now)
	}
	return true
}

// remainingDoubt returns how much longer a server without an entry counts as live.
func (r *Roster) remainingDoubt(id string, now time.Time) time.Duration {
	d := r.doubtful[id]
	switch {
	case !d.until.IsZero():
		return d.until.Sub(now)
	case !r.storeDownAt.IsZero():
		return RecoveryGrace
	}
	since := d.since
	if since.Before(r.storeUpAt) {
		since = r.storeUpAt
	}
	left := min(since.Add(maxDoubt).Sub(now), r.storeUpAt.Add(RecoveryGrace).Sub(now))
	if r.restore.awaitsRewrite(id, now) {
		left = max(left, r.restore.at.Add(RecoveryGrace).Sub(now))
	}
	return left
}

// List returns the servers in order of their IDs.
func (r *Roster) List() []routing.Server {
	list := make([]routing.Server, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b routing.Server) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// IsDoubtful reports whether the server is listed although its entry is missing from the store.
func (r *Roster) IsDoubtful(id string) bool {
	_, ok := r.doubtful[id]
	return ok
}
