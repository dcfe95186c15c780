package main

import (
	"slices"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// evacBound is when nothing reaches an evacuated data centre any more: the aim is 1 s,
	// the platform's bound 5 s, and the machine is shared with the load.
	evacBound = 3 * time.Second
	// coldHeard is when all routers know that a server is cold.
	coldHeard = time.Second
	// coldPerS is what a cold engine bears a second, and warmup for how long it is cold.
	coldPerS = 20
	warmup   = 2 * time.Second
)

// evacuation is one data centre's, until it was taken back.
type evacuation struct {
	dataCentre string
	span
}

// coldSpell is a server's being cold.
type coldSpell struct {
	id string
	span
}

// evacuate evacuates a data centre. What is left may lack servers of a service, so that
// configurations need not be seen in force meanwhile.
func (f *fleet) evacuate(x fault) {
	f.evacuating.Lock() // one at a time: something has to be left
	defer f.evacuating.Unlock()
	s := f.pickServer(x)
	if s == nil {
		return
	}
	f.mu.Lock()
	f.troubled = time.Now().Add(time.Hour)
	f.mu.Unlock()
	f.store.Evacuate(s.DataCentre)
	begin := time.Now()
	time.Sleep(evacBound + x.For)
	end := time.Now()
	f.store.EndEvacuation(s.DataCentre)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations = append(f.evacuations, evacuation{s.DataCentre, span{begin, end}})
	f.troubled = time.Now()
}

// turnCold has an engine become cold, say so in its entry, and become warm again, unless it
// has become cold again in the meantime. The warm-up in its entry is the same each time.
func (f *fleet) turnCold(x fault) {
	list := f.live("llm")
	if len(list) < 2 {
		return
	}
	s := list[x.Who%len(list)]
	f.writeWarmup(s, 1)
	begin := time.Now()
	time.Sleep(warmup)
	f.mu.Lock()
	f.colds = append(f.colds, coldSpell{s.ID, span{begin, time.Now()}})
	f.mu.Unlock()
	f.writeWarmup(s, -1)
}

// writeWarmup counts one spell of the server more or less, and writes what its entry says then.
func (f *fleet) writeWarmup(s *server, spells int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.spells += spells
	if !s.left.IsZero() || spells < 0 && s.spells > 0 {
		return
	}
	left := warmup
	if spells < 0 {
		left = 0
	}
	s.SetWarmup(left)
	f.store.PutServer(s.Server, s.state())
}

// checkEvacuated checks that a run began outside of its data centre's evacuations.
func (f *fleet) checkEvacuated(s *server, run platformtest.Run) {
	for _, e := range f.evacuations {
		late := run.At.Sub(e.from)
		if e.dataCentre == s.DataCentre && late > evacBound && run.At.Before(e.to) && !f.storeWasTroubled(e.from) {
			f.verdicts.report(evacuated, "%s reached %s %s after its evacuation", run.Attempt, s.ID, late.Round(time.Millisecond))
		}
	}
}

// checkCold checks that cold servers got no more than they bear, in any second.
func (f *fleet) checkCold(s *server, runs []platformtest.Run) {
	for _, c := range f.colds {
		if c.id != s.ID || f.storeWasTroubled(c.from) {
			continue
		}
		var at []time.Time
		for _, r := range runs {
			if r.At.After(c.from.Add(coldHeard)) && r.At.Before(c.to) {
				at = append(at, r.At)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		first := 0
		for i := range at {
			for at[i].Sub(at[first]) > time.Second {
				first++
			}
			if n := i - first + 1; n > coldPerS {
				f.verdicts.report(notTooMuch, "%s ran %d requests in a second", s.ID, n)
				return
			}
		}
	}
}
