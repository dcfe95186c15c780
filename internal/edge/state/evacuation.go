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

// Evacuations is a change of which data centres are evacuated.
type Evacuations struct {
	Set, TakenBack []string
	Servers        int // of this list's servers, how many stand in evacuated data centres now
}

// Log writes it, if there is any.
func (e Evacuations) Log(log *slog.Logger, from string, as roster.Stamp) {
	for _, dc := range e.Set {
		events.EvacuationSet.Log(context.Background(), log, slog.LevelWarn, "dataCentre", dc, "from", from, "era", as.Era, "ver", as.Version, "serversOut", e.Servers)
	}
	for _, dc := range e.TakenBack {
		events.EvacuationTakenBack.Log(context.Background(), log, slog.LevelWarn, "dataCentre", dc, "from", from, "era", as.Era, "ver", as.Version, "serversOut", e.Servers)
	}
}

// EvacuationsChanged takes the evacuated data centres as of a version of the store: all of
// them if whole, or what has changed.
func (s *State) EvacuationsChanged(set, gone []string, whole bool, as roster.Stamp) Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuate(func(now time.Time) bool {
		if whole {
			return s.evacuated.Replace(set, as, now)
		}
		return s.evacuated.Apply(set, gone, as, now)
	})
}

// EvacuationsToldBy takes another router's list. Most heartbeats tell the list that is known.
func (s *State) EvacuationsToldBy(t evacuation.Snapshot, as roster.Stamp) Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	nothingBeyond := len(t.Kept)+len(t.Ended) == 0
	if as == (roster.Stamp{}) || as == s.evacuated.Stamp() && nothingBeyond {
		return Evacuations{}
	}
	return s.evacuate(func(now time.Time) bool { return s.evacuated.Merge(t, as, now) })
}

// evacuate puts a change of the evacuations in force and tells what it is.
func (s *State) evacuate(change func(time.Time) bool) (e Evacuations) {
	now := s.now()
	before := s.evacuated.All()
	if !change(now) {
		return e
	}
	after := s.evacuated.All()
	without := func(list, other []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(dc string) bool { return slices.Contains(other, dc) })
	}
	e.Set = without(after, before)
	e.TakenBack = without(before, after)
	s.setServers(now)
	s.roster.EachCount(func(_, dataCentre string, n int) {
		if s.evacuated.Evacuated(dataCentre) {
			e.Servers += n
		}
	})
	return e
}

// EvacuationsTold returns the evacuated data centres for other routers.
func (s *State) EvacuationsTold() (evacuation.Snapshot, roster.Stamp) {
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

// TakeWarmups returns the servers that have become cold since it was called last, once.
func (s *State) TakeWarmups() []pick.Warmup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.TakeWarmups()
}

// SetSelf names this router among those that share the permits of cold servers out.
func (s *State) SetSelf(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = slowstart.NewFleet(name)
	s.picker.SetFleet(s.fleet)
}

// SetFleet takes the other routers, and whether they are known well enough.
func (s *State) SetFleet(others []string, trusted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Set(others, trusted)
}

// SetSlowStart takes by how much what cold servers bear may be exceeded.
func (s *State) SetSlowStart(b slowstart.RateBound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetColdRateBound(b)
}

// SetRegions takes the region of each data centre.
func (s *State) SetRegions(regions map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetRegions(regions)
	s.setServers(s.now())
}
