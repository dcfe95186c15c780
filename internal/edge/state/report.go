package state

import (
	"github.com/windscale/windscale/internal/core/fair"
	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/core/routing"
)

// Report is the load report that a router sends to its peers.
type Report struct {
	Loads       map[routing.ServerKey]pick.Load
	Rates       map[string]fair.Rates
	SentParts   pick.SentParts                 // parts of prompts sent since the last report
	FirstTokens map[string]pick.FirstTokenSums // first tokens seen since the last report, by service
	Crashes     []poison.Record                // contents under which servers crashed since the last report
	PartCrashes []poison.Record                // the same for parts of prompts
	// LightRequests counts, by service, the requests at servers whose loads are omitted because
	// they don't affect the choice of a server.
	LightRequests map[string]int
	Evidence      rollout.Evidence // on new versions since the last report
	// ServerTimes are the first events of servers since the last report.
	ServerTimes  map[routing.ServerKey]pick.ServerTimes
	SpeedClasses map[routing.ServerKey]pick.SpeedClass // of engines
}

// NewReport returns an empty report.
func NewReport() Report {
	return Report{Loads: map[routing.ServerKey]pick.Load{}, Rates: map[string]fair.Rates{}, LightRequests: map[string]int{}}
}

// Add adds the loads and rates of other.
func (r Report) Add(other Report) {
	for key, l := range other.Loads {
		r.Loads[key] = r.Loads[key].Plus(l)
	}
	for name, rates := range other.Rates {
		r.Rates[name] = r.Rates[name].Plus(rates)
	}
	for service, n := range other.LightRequests {
		r.LightRequests[service] += n
	}
}

// OmitLightLoads removes from the sum of several routers' reports the loads that don't affect the
// choice of a server.
func (s *State) OmitLightLoads(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, l := range r.Loads {
		if service, light := s.picker.IsLight(key, l); light {
			delete(r.Loads, key)
			r.LightRequests[service] += l.Running
		}
	}
}

// Report returns this router's loads and its customers' rates, with the prompt parts, first
// tokens, crashes and roll-out evidence since the last report.
func (s *State) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return Report{
		Loads:       s.picker.Loads(now),
		Rates:       s.meter.OwnRates(now),
		SentParts:   s.picker.TakePendingParts(),
		FirstTokens: s.picker.TakeFirstTokens(),
		Crashes:     s.poison[poison.Contents].TakeUpdates(now),
		PartCrashes: s.poison[poison.Parts].TakeUpdates(now),

		Evidence:    s.takeEvidence(),
		ServerTimes: s.picker.TakeServerTimes(),
	}
}

// MergeFirstTokens merges the first tokens that other routers saw.
func (s *State) MergeFirstTokens(firstTokens map[string]pick.FirstTokenSums) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.MergeFirstTokens(firstTokens, s.now())
}

// MergeSentParts merges other routers' reports of which prompt parts they sent to which server.
func (s *State) MergeSentParts(parts pick.SentParts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.MergeParts(parts, s.now())
}

// ApplyTotalReport applies the sum over all routers, from which it subtracts this router's own
// part.
func (s *State) ApplyTotalReport(from string, r Report) {
	s.mu.Lock()
	now := s.now()
	ownLoads := s.picker.Loads(now)
	ownRates := s.meter.OwnRates(now)
	s.mu.Unlock()
	for key, l := range ownLoads {
		if total, ok := r.Loads[key]; ok {
			r.Loads[key] = total.Minus(l)
		}
	}
	for name, own := range ownRates {
		total, ok := r.Rates[name]
		if !ok {
			continue
		}
		r.Rates[name] = fair.Rates{Demand: max(0, total.Demand-own.Demand), Served: max(0, total.Served-own.Served)}
	}
	s.ApplyPeerReport(from, r)
}

// ApplyPeerReport applies the report of another router, or the sum of several others'.
func (s *State) ApplyPeerReport(peer string, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.picker.SetPeerLoads(peer, r.Loads, r.LightRequests, now)
	if len(r.Rates) > 0 {
		s.meter.SetPeerRates(peer, r.Rates, now)
	}
}
