package state

import (
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
)

// MergeServerTimes merges the first events of servers that other routers saw.
func (s *State) MergeServerTimes(times map[routing.ServerKey]pick.ServerTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.MergeServerTimes(times, s.now())
}

// MergeSpeedClasses merges the speed classes of engines that other routers report.
func (s *State) MergeSpeedClasses(classes map[routing.ServerKey]pick.SpeedClass) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.MergeSpeedClasses(classes)
}

// SetAssignsClasses sets whether this router assigns the speed classes of the engines in its data
// centre.
func (s *State) SetAssignsClasses(assigns bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetAssignsClasses(assigns)
}

// TakeSpeedClasses returns the speed classes that are to be reported next, only those of this data
// centre's engines if localOnly is true.
func (s *State) TakeSpeedClasses(localOnly bool) map[routing.ServerKey]pick.SpeedClass {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.TakeSpeedClasses(localOnly)
}

// TakeClassChanges returns the speed classes that this router assigned since the last call.
func (s *State) TakeClassChanges() []pick.ClassChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.TakeClassChanges()
}

// UnusualEngines returns how many engines have a speed class other than that of the median.
func (s *State) UnusualEngines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.UnusualEngines()
}
