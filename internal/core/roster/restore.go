package roster

import (
	"maps"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// holdTime is how long after a restore of the store an entry that may stem only from the
	// restored copy is not used. A live server writes its entry within about 2 s, and a dead
	// one is removed after three missed heartbeats (1.2 s each).
	holdTime = 5 * time.Second
	// departureRetention is how long departed servers are remembered. A restored copy is some
	// seconds old.
	departureRetention = time.Minute
)

// departure records a server that has left.
type departure struct {
	id routing.Identity
	at time.Time
}

// heldEntry is an entry of the store that is not used yet.
type heldEntry struct {
	server routing.Server
	until  time.Time
}

// restoreState holds what is needed after the store was restored from an older copy. The copy
// lacks entries of live servers and contains entries of departed ones, until both are written
// again.
type restoreState struct {
	at         time.Time            // time of the last restore; zero if there was none
	departures map[string]departure // by server ID
	held       map[string]heldEntry // entries that may stem only from the copy
	absent     map[string]bool      // servers that the copy lacks
}

func newRestoreState() restoreState {
	return restoreState{departures: map[string]departure{}, held: map[string]heldEntry{}, absent: map[string]bool{}}
}

// within reports whether the last restore was less than d ago.
func (rs *restoreState) within(d time.Duration, now time.Time) bool {
	return !rs.at.IsZero() && now.Sub(rs.at) < d
}

// recordDeparture records that a server has left.
func (rs *restoreState) recordDeparture(s routing.Server, now time.Time) {
	rs.departures[s.ID] = departure{s.Identity(), now}
}

// confirm records that an entry was written or removed after the restore, so the copy no longer
// matters for it.
func (rs *restoreState) confirm(id string) {
	delete(rs.departures, id)
	delete(rs.held, id)
	delete(rs.absent, id)
}

// awaitsRewrite reports whether the copy lacks the server and the server may still write its
// entry.
func (rs *restoreState) awaitsRewrite(id string, now time.Time) bool {
	return rs.absent[id] && rs.within(RecoveryGrace, now)
}

// StoreRestored records that the store was restored from an older copy. Servers now write their
// entries again, and until then missing entries are doubtful.
func (r *Roster) StoreRestored(now time.Time) {
	r.followedSince = time.Time{}
	r.storeLostAt = now
	r.storeUpAt = now
	r.restore.at = now
	clear(r.restore.absent)
}

// mergeRestored takes a whole list shortly after a restore and combines it conservatively with
// what this router knew: a server that has left is held back, one that was draining is not used
// again, and one that is missing gets time to write its entry.
func (r *Roster) mergeRestored(list []routing.Server, now time.Time) {
	r.pruneHeld(list)
	until := r.restore.at.Add(holdTime)
	for _, s := range list {
		known, listed := r.servers[s.ID]
		departed, hasDeparted := r.restore.departures[s.ID]
		entry, isHeld := r.restore.held[s.ID]
		switch {
		case isHeld && entry.server.Identity() == s.Identity():
			r.hold(s, entry.until)
		case !listed && hasDeparted && departed.id == s.Identity(), listed && known.Identity() == s.Identity() && !known.AcceptsRequests():
			r.hold(s, until)
		default:
			r.set(s)
		}
	}
	for _, id := range r.missing(list) {
		r.restore.absent[id] = true
		r.markDoubtful(id, now)
	}
}

// hold keeps an entry of the store out of use until the given time.
func (r *Roster) hold(s routing.Server, until time.Time) {
	r.unlist(s.ID)
	delete(r.doubtful, s.ID)
	r.restore.held[s.ID] = heldEntry{s, until}
}

// pruneHeld drops held entries that are missing from the store's list: these servers have left.
func (r *Roster) pruneHeld(list []routing.Server) {
	if len(r.restore.held) == 0 {
		return
	}
	present := idSet(list)
	maps.DeleteFunc(r.restore.held, func(id string, _ heldEntry) bool {
		if !present[id] {
			r.logChange(id)
		}
		return !present[id]
	})
}

// pruneDepartures drops departures older than departureRetention.
func (rs *restoreState) pruneDepartures(now time.Time) {
	maps.DeleteFunc(rs.departures, func(_ string, d departure) bool { return now.Sub(d.at) > departureRetention })
}

// expiredHolds returns the held entries whose hold time is over.
func (rs *restoreState) expiredHolds(now time.Time) (ids []string) {
	for id, h := range rs.held {
		if !now.Before(h.until) {
			ids = append(ids, id)
		}
	}
	return ids
}
