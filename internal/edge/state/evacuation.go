package state

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/evacuation"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/slowstart"
	"github.com/windscale/windscale/internal/events"
)

// EvacuationChange describes a change of the set of evacuated data centres.
type EvacuationChange struct {
	Added, Cancelled []string
	AffectedServers  int // listed servers that are now in evacuated data centres
}

// Log logs the change, if there is one.
func (e EvacuationChange) Log(log *slog.Logger, from string, stamp roster.Stamp) {
	for _, dc := range e.Added {
		events.EvacuationSet.Log(context.Background(), log, slog.LevelWarn, "dataCentre", dc, "from", from, "era", stamp.Era, "ver", stamp.Version, "serversOut", e.AffectedServers)
	}
	for _, dc := range e.Cancelled {
		events.EvacuationTakenBack.Log(context.Background(), log, slog.LevelWarn, "dataCentre", dc, "from", from, "era", stamp.Era, "ver", stamp.Version, "serversOut", e.AffectedServers)
	}
}

// ApplyEvacuations applies the evacuations in an answer of the store: the complete set if whole is
// true, otherwise the data centres that were added and removed.
func (s *State) ApplyEvacuations(added, removed []string, whole bool, stamp roster.Stamp) EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeEvacuations(func(now time.Time) bool {
		if whole {
			return s.evacuated.Replace(added, stamp, now)
		}
		return s.evacuated.Apply(added, removed, stamp, now)
	})
}

// MergeEvacuations merges another router's list. Most heartbeats carry the list that is already
// known, which is detected by its stamp.
func (s *State) MergeEvacuations(snapshot evacuation.Snapshot, stamp roster.Stamp) EvacuationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	rowsOnly := len(snapshot.Kept)+len(snapshot.Ended) == 0
	if stamp == (roster.Stamp{}) || stamp == s.evacuated.Stamp() && rowsOnly {
		return EvacuationChange{}
	}
	return s.changeEvacuations(func(now time.Time) bool { return s.evacuated.Merge(snapshot, stamp, now) })
}

// changeEvacuations runs change, updates the servers in use if it reports a change, and returns
// the difference.
func (s *State) changeEvacuations(change func(time.Time) bool) (e EvacuationChange) {
	now := s.now()
	before := s.evacuated.All()
	if !change(now) {
		return e
	}
	after := s.evacuated.All()
	without := func(list, other []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(dc string) bool { return slices.Contains(other, dc) })
	}
	e.Added = without(after, before)
	e.Cancelled = without(before, after)
	s.setServers(now)
	s.roster.EachCount(func(_, dataCentre string, n int) {
		if s.evacuated.Evacuated(dataCentre) {
			e.AffectedServers += n
		}
	})
	return e
}

// EvacuationSnapshot returns the evacuations to send to other routers, and their stamp.
func (s *State) EvacuationSnapshot() (evacuation.Snapshot, roster.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated.Snapshot(s.now()), s.evacuated.Stamp()
}

// EvacuatedCount returns how many data centres are evacuated.
func (s *State) EvacuatedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.evacuated.All())
}

// ColdCount returns how many servers are cold.
func (s *State) ColdCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Cold(s.now())
}

// TakeWarmups returns the servers that have become cold since the last call.
func (s *State) TakeWarmups() []pick.Warmup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.TakeWarmups()
}

// SetSelf sets this router's name among the routers that share the permits of cold servers.
func (s *State) SetSelf(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = slowstart.NewFleet(name)
	s.picker.SetFleet(s.fleet)
}

// SetFleet sets the other routers of the fleet, and whether that list is reliable.
func (s *State) SetFleet(others []string, trusted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Set(others, trusted)
}

// SetColdRateBound sets by how much the request rate that cold servers can handle may be exceeded.
func (s *State) SetColdRateBound(b slowstart.RateBound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetColdRateBound(b)
}

// SetRegions sets the region of each data centre.
func (s *State) SetRegions(regions map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetRegions(regions)
	s.setServers(s.now())
}
