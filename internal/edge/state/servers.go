package state

import (
	"time"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

// ReplaceServers replaces the whole list of servers with that of a version of the store, unless the
// list in force is newer. authoritative states that the list comes from a router that follows the
// store, so that a missing server has left.
func (s *State) ReplaceServers(list []routing.Server, stamp roster.Stamp, authoritative bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Stamp().After(stamp) {
		return false
	}
	s.roster.SetStamp(stamp)
	s.roster.Replace(list, authoritative, s.now())
	s.listed = true
	s.updateServers(s.now())
	return true
}

// ReplaceServersFromPeer replaces the list with another router's, unless the list in force is
// newer.
func (s *State) ReplaceServersFromPeer(snapshot roster.Snapshot, stamp roster.Stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Stamp().After(stamp) {
		return false
	}
	s.roster.SetStamp(stamp)
	s.roster.ReplaceFromPeer(snapshot, s.now())
	s.listed = true
	s.updateServers(s.now())
	return true
}

// ApplyServerDelta applies another router's changes of the list and reports whether they continue
// from the list in force.
func (s *State) ApplyServerDelta(d roster.Delta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed || !s.roster.ApplyDelta(d, s.now()) {
		return false
	}
	s.updateServers(s.now())
	return true
}

// ServerDeltaSince returns the changes of the list since the stamp, if they are known.
func (s *State) ServerDeltaSince(from roster.Stamp) (roster.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return roster.Delta{}, false
	}
	return s.roster.DeltaSince(from, s.now())
}

// ApplyServerChanges applies changed and removed entries as of a version of the store.
func (s *State) ApplyServerChanges(changed []routing.Server, removed []string, stamp roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(changed)+len(removed) == 0 {
		return
	}
	s.roster.SetStamp(stamp)
	for i := range changed {
		if changed[i].EntryVersion == 0 {
			changed[i].EntryVersion = stamp.Version
		}
	}
	s.roster.Apply(changed, removed, s.now())
	s.updateServers(s.now())
}

// RemoveUnusableServer removes the server with the ID because its entry, as of a version of the
// store, does not describe a usable server.
func (s *State) RemoveUnusableServer(id string, stamp roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Remove(id, stamp, s.now()) {
		s.updateServers(s.now())
	}
}

// Servers returns the list and its stamp.
func (s *State) Servers() ([]routing.Server, roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.List(), s.roster.Stamp()
}

// ServerSnapshot returns the list to send to other routers, and its stamp.
func (s *State) ServerSnapshot() (roster.Snapshot, roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Snapshot(s.now()), s.roster.Stamp()
}

// ServerCount returns how many servers are listed.
func (s *State) ServerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Len()
}

// Stamp returns the stamp of the list of servers.
func (s *State) Stamp() roster.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Stamp()
}

// ResumeStamp returns the stamp of the list of servers, and whether the store can be followed from
// there: there is a list, and it belongs to the store's current era.
func (s *State) ResumeStamp() (roster.Stamp, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamp := s.roster.Stamp()
	return stamp, s.listed && stamp.Era == s.era
}

// Era returns the store's era: the highest reported by the store or another router.
func (s *State) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// ObserveEra records the era of an answer of the store or of another router's list. A later era
// than the known one means that the store was restored from an older copy: the list of servers is
// in doubt, the configuration stays in force, and what the routers had written to the store is
// written again. restored reports whether this is the case; it is false for a router that has
// received neither a list nor a configuration, as it has nothing to protect.
func (s *State) ObserveEra(era uint64) (before uint64, restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.era
	if era <= before {
		return before, false
	}
	s.era = era
	if !s.listed && s.table == nil {
		return before, false
	}
	now := s.now()
	s.roster.StoreRestored(now)
	for _, table := range s.poison {
		table.MarkAllUnstored(s.rng, now)
	}
	return before, true
}

// StoreDown records that the store's list can't be followed.
func (s *State) StoreDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.StoreDown(s.now())
}

// StoreUp records that the store answers again.
func (s *State) StoreUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.StoreUp(s.now())
}

// StopFollowing records that the list now comes from other routers instead of the store.
func (s *State) StopFollowing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.StopFollowing()
}

// FollowedFor returns how long the store's list has been followed without a gap.
func (s *State) FollowedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.FollowedFor(s.now())
}

// ResolveDoubt uses another router's report of how long it has followed the store without a gap and
// of its list's stamp. It clears stale leaving marks if this router's list has the same stamp, and
// reports whether doubtful servers were removed.
func (s *State) ResolveDoubt(followed time.Duration, stamp roster.Stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if stamp == s.roster.Stamp() {
		s.clearStaleLeaving(followed, now)
	}
	if !s.roster.ResolveDoubt(followed, now) {
		return false
	}
	s.updateServers(now)
	return true
}

// ServerKnown reports whether the server is listed or has requests of this router.
func (s *State) ServerKnown(id routing.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Known(id)
}

// ServerAccepts reports whether the server is still listed as accepting new requests.
func (s *State) ServerAccepts(id routing.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Accepts(id)
}

// MaySend reports whether a placed request may still be sent to its server: between the choice and
// the sending the server may leave, be evacuated or become cold.
func (s *State) MaySend(p *Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.MaySend(p.Choice.Server.Identity(), p.Choice.Cold, p.placedAt, s.now())
}

// setServers passes the whole list in force to the picker.
func (s *State) setServers(now time.Time) {
	s.roster.TakeChanges() // included in the whole list
	s.picker.SetEvacuated(s.evacuated.All())
	list := make([]routing.Server, 0, s.roster.Len())
	s.roster.Each(func(server routing.Server) { list = append(list, server) })
	s.picker.SetServers(list, now)
	s.noteCancelledEvacuations(now)
	s.setCapacity()
}

// updateServers passes the changes of the list to the picker.
func (s *State) updateServers(now time.Time) {
	changed, removed, whole := s.roster.TakeChanges()
	if whole {
		s.setServers(now)
		return
	}
	if len(changed)+len(removed) == 0 {
		return
	}
	s.picker.ChangeServers(changed, removed, now)
	s.noteCancelledEvacuations(now)
	s.setCapacity()
}

// noteCancelledEvacuations passes recently ended evacuations to the picker.
func (s *State) noteCancelledEvacuations(now time.Time) {
	for dc, at := range s.evacuated.RecentlyEnded() {
		s.picker.EvacuationCancelled(dc, at, now)
	}
}

// setCapacity sets the usable capacity of the engines: the configured capacity of all engines times
// the fraction of the engines that are not in evacuated data centres.
func (s *State) setCapacity() {
	if s.table == nil {
		return
	}
	all, usable := 0, 0
	s.roster.EachCount(func(service, dataCentre string, n int) {
		if !s.table.HasEngines(service) {
			return
		}
		all += n
		if !s.evacuated.Evacuated(dataCentre) {
			usable += n
		}
	})
	fraction := 1.0
	if all > 0 {
		fraction = float64(usable) / float64(all)
	}
	s.meter.SetCapacity(s.table.Config.Limits.TokensPerSec * fraction)
}
