package state

import (
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/schedule"
)

const (
	// schedulerTrust is how long after a decision by reports a router judges floods by reports too:
	// its scheduler doesn't answer.
	schedulerTrust = time.Second
	// shortageTTL is how long a shortage that a decision has reported is assumed to last. Then one
	// request of a customer that is refused early finds out again.
	shortageTTL = 250 * time.Millisecond
)

// AskFor returns the question to the scheduler of this data centre for a request that was received
// age ago. It returns false if this router must choose the server itself: the scheduler decides only
// for engines of data centres with their own homes, and not for requests that are bound to a version
// or isolated.
func (s *State) AskFor(req Request, age time.Duration) (Ask, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.table == nil || req.Pinned || req.Isolated || !s.schedules(req.Service) || s.rollouts.CanaryAllowed(req.Service, now) {
		return Ask{}, false
	}
	if s.picker.PrefersCold(req.pickRequest(), now) {
		return Ask{}, false
	}
	return Ask{
		Service:        req.Service,
		Customer:       req.Customer,
		Priority:       s.table.Priority(req.Customer, req.Route),
		Prompt:         req.Meta.Prompt,
		TokensOut:      req.Meta.TokensOut,
		BodyBytes:      req.BodyBytes,
		AllowedRegions: req.AllowedRegions,
		Tried:          req.Tried,
		Target:         req.Route.Target,
		Age:            age,
		Admitted:       req.Admitted,
	}, true
}

// longPromptTokens is the length of a long prompt.
const longPromptTokens = 8192

// SetScheduledRoom makes schedulers decide only for services whose engines hold at most so many long
// prompts at once; 0: for all. The fewer an engine holds, the more a request counts that is sent there
// because of an old report.
func (s *State) SetScheduledRoom(prompts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduledRoom = prompts
}

// schedules reports whether a scheduler decides on requests of the service in this data centre.
func (s *State) schedules(service string) bool {
	if !s.table.HasEngines(service) || !s.picker.HasLocalHomes(service) {
		return false
	}
	return s.scheduledRoom == 0 || s.table.Service(service).Engine.Holds(longPromptTokens) <= s.scheduledRoom
}

// PlaceAs places the request at the server that the scheduler assigned, as Place does at its own
// choice. It returns false if this router can't use the server; the caller then uses Place.
func (s *State) PlaceAs(req Request, d Decision) (Placement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.table == nil || s.table.Service(req.Service) == nil || d.Verdict != Assigned {
		return Placement{}, false
	}
	s.noteDecision(d, now)
	pickReq := req.pickRequest()
	c, ok := s.picker.ChoiceAt(pickReq, pick.Assignment{
		Server: d.Server, Wait: d.Wait, Processing: d.Processing, UncachedTokens: d.UncachedTokens, TokensAhead: d.TokensAhead, FetchFrom: d.FetchFrom,
	}, now)
	if !ok {
		return Placement{}, false
	}
	s.scheduler.acknowledge(s.picker, schedule.Key{From: d.From, ID: d.ID}) // if this router is the scheduler itself
	s.revertOverdue(now)
	if !req.Admitted {
		s.recordRequest(req, now)
	}
	return s.placeAt(req, pickReq, c, now), true
}

// Refuse refuses the request for the scheduler's reason, and counts it as Place does.
func (s *State) Refuse(req Request, d Decision) Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.noteDecision(d, now)
	if !req.Admitted {
		s.recordRequest(req, now)
	}
	s.recordRefusal(req, d.Reason)
	rates, level := s.meter.FleetRates(req.Customer, now)
	return Placement{
		Reason: d.Reason, RetryAfter: d.RetryAfter, Rates: rates, Level: level,
		Choice: pick.Choice{Wait: d.Wait, Processing: d.Processing},
	}
}

// noteDecision records that the scheduler answers, and what it says about a shortage.
func (s *State) noteDecision(d Decision, now time.Time) {
	s.byReportsAt = time.Time{}
	s.shortageUntil = time.Time{}
	if d.Shortage {
		s.shortageUntil = now.Add(shortageTTL)
	}
}

// yieldsEarly reports whether the request of a customer far above its share is refused before
// anything else is decided. Where a scheduler decides, what its engines have room for counts, not
// what prompts name.
func (s *State) yieldsEarly(req Request, now time.Time) bool {
	if !s.schedules(req.Service) || now.Sub(s.byReportsAt) < schedulerTrust {
		return s.mustYield(req, now)
	}
	if s.meter.QuotaExceeded(req.Customer, req.tokens(), s.rng.Float64(), now) {
		return true
	}
	return s.meter.FarAboveShare(req.Customer, now) && (now.Before(s.shortageUntil) || s.meter.Unfair(now))
}
