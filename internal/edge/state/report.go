package state

import (
	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
)

// Report is what a router tells its peers.
type Report struct {
	Loads   map[routing.ServerKey]pick.Load
	Rates   map[string]fair.Rates
	Sent    pick.SentParts                 // parts of prompts sent since the last report
	Firsts  map[string]pick.FirstTokenSums // first tokens seen since the last report, by service
	Crashes []poison.Record                // contents under which servers crashed since the last report
	// Light are the requests at servers whose loads are left out, since they change no choice, by
	// service.
	Light    map[string]int
	Evidence rollout.Evidence // on new versions since the last report
}

// NewReport returns one that tells nothing yet.
func NewReport() Report {
	return Report{Loads: map[routing.ServerKey]pick.Load{}, Rates: map[string]fair.Rates{}, Light: map[string]int{}}
}

// Add adds the loads and rates of o.
func (r Report) Add(o Report) {
	for key, l := range o.Loads {
		r.Loads[key] = r.Loads[key].Plus(l)
	}
	for name, rates := range o.Rates {
		r.Rates[name] = r.Rates[name].Plus(rates)
	}
	for service, n := range o.Light {
		r.Light[service] += n
	}
}

// LeaveOutLight takes the loads out of a report of several routers that change no choice.
func (s *State) LeaveOutLight(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, l := range r.Loads {
		if service, light := s.picker.IsLight(key, l); light {
			delete(r.Loads, key)
			r.Light[service] += l.Running
		}
	}
}

// Report returns this router's load, its customers' rates, and what it has sent
// where since the last report.
func (s *State) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return Report{
		Loads:   s.picker.Loads(now),
		Rates:   s.meter.OwnRates(now),
		Sent:    s.picker.TakePendingParts(),
		Firsts:  s.picker.TakeFirstTokens(),
		Crashes: s.poison.TakeUpdates(now),

		Evidence: s.takeEvidence(),
	}
}

// HeardFirsts takes the first tokens that other routers saw.
func (s *State) HeardFirsts(firsts map[string]pick.FirstTokenSums) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.MergeFirstTokens(firsts, s.now())
}

// HeardSent takes other routers' report of which parts they sent where.
func (s *State) HeardSent(sent pick.SentParts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.MergeParts(sent, s.now())
}

// TotalReport takes the sum over all routers, this one included.
func (s *State) TotalReport(from string, r Report) {
	s.mu.Lock()
	now := s.now()
	own := s.picker.Loads(now)
	rates := s.meter.OwnRates(now)
	s.mu.Unlock()
	for key, l := range own {
		if total, ok := r.Loads[key]; ok {
			r.Loads[key] = total.Minus(l)
		}
	}
	for name, mine := range rates {
		total, ok := r.Rates[name]
		if !ok {
			continue
		}
		r.Rates[name] = fair.Rates{Demand: max(0, total.Demand-mine.Demand), Served: max(0, total.Served-mine.Served)}
	}
	s.PeerReport(from, r)
}

// PeerReport takes another router's, or the sum of several others'.
func (s *State) PeerReport(peer string, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.picker.SetPeerLoads(peer, r.Loads, r.Light, now)
	if len(r.Rates) > 0 {
		s.meter.SetPeerRates(peer, r.Rates, now)
	}
}
