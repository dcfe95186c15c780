package spread

import (
	"maps"
	"slices"
	"time"
)

const (
	// probeEvery is how often a silent router is told: it may be back. probesMost bounds how
	// many are told at a time.
	probeEvery = 2 * time.Second
	probesMost = 8
)

// Targets are the routers to tell something.
type Targets struct {
	Own   []string // this router's own load
	Sum   []string // the sum of this data centre
	Total []string // the sum of the fleet
}

// Targets returns whom to tell at the moment. Silent routers are probed now and then with this
// router's own load. turn counts the times at which the sum of this data centre is told: it
// goes to one reporter of each other data centre, another each time, while this centre's other
// reporter tells the other one.
func (s *Spread) Targets(now time.Time, turn int) Targets {
	var t Targets
	switch {
	case s.Mesh():
		for _, m := range s.Live() {
			t.Own = append(t.Own, m.Addr)
		}
	case s.Reporter():
		t = s.reporterTargets(turn)
	default:
		t.Own = s.Reporters(s.self.DataCentre)
	}
	if !s.Mesh() {
		s.ask(t.Own, now)
		s.ask(t.Sum, now)
	}
	t.Own = append(t.Own, s.probes(now)...)
	return t
}

// ask notes that routers are told from which an answer is to come.
func (s *Spread) ask(addrs []string, now time.Time) {
	for _, addr := range addrs {
		if e := s.known[addr]; e != nil && e.asked.IsZero() && now.Sub(e.direct) >= muteAfter {
			e.asked = now
		}
	}
}

// reporterTargets returns whom a reporter tells.
func (s *Spread) reporterTargets(turn int) Targets {
	var t Targets
	mine := s.Reporters(s.self.DataCentre)
	place := slices.Index(mine, s.self.Addr)
	for _, name := range slices.Sorted(maps.Keys(s.centres)) {
		if theirs := s.Reporters(name); name != s.self.DataCentre && len(theirs) > 0 {
			t.Sum = append(t.Sum, theirs[(turn+place)%len(theirs)])
		}
	}
	for addr := range s.centre(s.self.DataCentre).members {
		if slices.Contains(mine, addr) {
			t.Own = append(t.Own, addr) // the other reporter sums up too
		} else {
			t.Total = append(t.Total, addr)
		}
	}
	slices.Sort(t.Total)
	return t
}

// probes returns silent routers whose turn it is, and those that leave this one without an
// answer.
func (s *Spread) probes(now time.Time) []string {
	var due []string
	for addr, e := range s.known {
		if (!e.live || e.mute) && now.Sub(e.probed) >= probeEvery {
			due = append(due, addr)
		}
	}
	slices.Sort(due)
	if len(due) > probesMost {
		// The next ones in turn.
		from, _ := slices.BinarySearch(due, s.probeAfter)
		due = append(due[from:], due[:from]...)[:probesMost]
		s.probeAfter = due[probesMost-1] + "\x00"
		slices.Sort(due)
	}
	for _, addr := range due {
		s.known[addr].probed = now
	}
	return due
}
