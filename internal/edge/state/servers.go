package state

import (
	"time"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
)

// ServersReplaced takes the whole list of servers, as of a version of the
// store. An older list than that in force is left out. sure says that it comes
// from a router which follows the store, so that what is missing has left.
func (s *State) ServersReplaced(list []routing.Server, stamp roster.Stamp, sure bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Stamp().After(stamp) {
		return false
	}
	s.roster.SetStamp(stamp)
	s.roster.Replace(list, sure, s.now())
	s.listed = true
	s.updateServers(s.now())
	return true
}

// ServersToldBy takes the list of another router, unless it is an older one.
func (s *State) ServersToldBy(list roster.Snapshot, stamp roster.Stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Stamp().After(stamp) {
		return false
	}
	s.roster.SetStamp(stamp)
	s.roster.ReplaceFromPeer(list, s.now())
	s.listed = true
	s.updateServers(s.now())
	return true
}

// ServersChangedBy takes another router's changes of the list, and reports whether they follow
// on the list in force.
func (s *State) ServersChangedBy(d roster.Delta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed || !s.roster.ApplyDelta(d, s.now()) {
		return false
	}
	s.updateServers(s.now())
	return true
}

// ServersSince returns what has changed of the list since the stamp, if that is known.
func (s *State) ServersSince(from roster.Stamp) (roster.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return roster.Delta{}, false
	}
	return s.roster.DeltaSince(from, s.now())
}

// ServersChanged takes changed and removed entries, as of a version of the store.
func (s *State) ServersChanged(changed []routing.Server, gone []string, as roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(changed)+len(gone) == 0 {
		return
	}
	s.roster.SetStamp(as)
	for i := range changed {
		if changed[i].EntryVersion == 0 {
			changed[i].EntryVersion = as.Version
		}
	}
	s.roster.Apply(changed, gone, s.now())
	s.updateServers(s.now())
}

// ServerUnusable notes that, as of a version of the store, the entry of the ID names no
// server to use.
func (s *State) ServerUnusable(id string, as roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Remove(id, as, s.now()) {
		s.updateServers(s.now())
	}
}

// Servers returns the list and its stamp.
func (s *State) Servers() ([]routing.Server, roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.List(), s.roster.Stamp()
}

// ServersTold returns the list for other routers, and its stamp.
func (s *State) ServersTold() (roster.Snapshot, roster.Stamp) {
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

// Listed returns the stamp of the list of servers, and whether there is a list of the store's
// present era that can be followed from there.
func (s *State) Listed() (roster.Stamp, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	as := s.roster.Stamp()
	return as, s.listed && as.Era == s.era
}

// Era returns the store's era, the highest that an answer or another router told.
func (s *State) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// TakeEra takes the era of an answer of the store or of another router's list. If it is a
// later one the store has come back from an older copy: the list of servers is in doubt,
// the configuration in force stays, and what the routers wrote there is written again. It
// reports whether that is so; a router that knows nothing yet has nothing to lose.
func (s *State) TakeEra(era uint64) (before uint64, returned bool) {
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
	s.poison.MarkAllUnstored(s.rng, now)
	return before, true
}

// StoreDown and StoreBack note whether the store's list can be followed.
func (s *State) StoreDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.StoreDown(s.now())
}

// StoreBack notes that the store answers again.
func (s *State) StoreBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.StoreUp(s.now())
}

// StoreNotFollowed notes that the list comes from other routers.
func (s *State) StoreNotFollowed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.StopFollowing()
}

// Followed returns for how long the store's list has been followed without a gap.
func (s *State) Followed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.FollowedFor(s.now())
}

// Settle takes another router's report of how long it has followed the store without a gap and of
// its list's stamp. It clears stale leaving marks if this router's list has the same stamp, and
// reports whether doubtful servers were forgotten.
func (s *State) Settle(followed time.Duration, as roster.Stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if as == s.roster.Stamp() {
		s.clearStaleLeaving(followed, now)
	}
	if !s.roster.ResolveDoubt(followed, now) {
		return false
	}
	s.updateServers(now)
	return true
}

// Known reports whether the server is listed or has requests of this router.
func (s *State) Known(id routing.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Known(id)
}

// Takes reports whether the server is still listed as one that takes new requests.
func (s *State) Takes(id routing.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Accepts(id)
}

// MaySend reports whether a placed request may still be sent to its server: time passes
// between the choice and the sending, and the server may leave, be evacuated or become cold.
func (s *State) MaySend(p *Placed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.MaySend(p.Choice.Server.Identity(), p.Choice.Cold, p.at, s.now())
}

// setServers has the picker take the list in force.
func (s *State) setServers(now time.Time) {
	s.roster.TakeChanges() // the whole list has it
	s.picker.SetEvacuated(s.evacuated.All())
	list := make([]routing.Server, 0, s.roster.Len())
	s.roster.Each(func(server routing.Server) { list = append(list, server) })
	s.picker.SetServers(list, now)
	s.noteTakenBack(now)
	s.setCapacity()
}

// updateServers has the picker take what has changed of the list.
func (s *State) updateServers(now time.Time) {
	changed, gone, whole := s.roster.TakeChanges()
	if whole {
		s.setServers(now)
		return
	}
	if len(changed)+len(gone) == 0 {
		return
	}
	s.picker.ChangeServers(changed, gone, now)
	s.noteTakenBack(now)
	s.setCapacity()
}

// noteTakenBack tells the picker which evacuations ended lately.
func (s *State) noteTakenBack(now time.Time) {
	for dc, at := range s.evacuated.RecentlyEnded() {
		s.picker.EvacuationCancelled(dc, at, now)
	}
}

// setCapacity says what the engines make that may be asked: of what all make together, the
// part of those that stand in no evacuated data centre.
func (s *State) setCapacity() {
	if s.table == nil {
		return
	}
	all, open := 0, 0
	s.roster.EachCount(func(service, dataCentre string, n int) {
		if !s.table.HasEngines(service) {
			return
		}
		all += n
		if !s.evacuated.Evacuated(dataCentre) {
			open += n
		}
	})
	part := 1.0
	if all > 0 {
		part = float64(open) / float64(all)
	}
	s.meter.SetCapacity(s.table.Config.Limits.TokensPerSec * part)
}
