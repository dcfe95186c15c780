package state

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/rollout"
	"github.com/windscale/windscale/internal/events"
)

// paceLeast is from how many events on the pace of a stream tells anything.
const paceLeast = 4

// SetRolloutBounds takes what a bad version may get.
func (s *State) SetRolloutBounds(b rollout.Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rolloutBounds = b
}

// TakeOrder takes an order of the operator, and reports whether it is a new one.
func (s *State) TakeOrder(o rollout.Order) bool {
	if known, ok := s.Rollout(o.Service); ok && !o.NewerThan(known.Order) {
		return false
	}
	return s.TakeRollout(rollout.Record{Order: o}, 0)
}

// TakeRollout takes what was true of a roll-out so long ago, and reports whether it is new.
func (s *State) TakeRollout(r rollout.Record, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.rollouts.Merge(r, age, now) {
		return false
	}
	s.setServers(now)
	return true
}

// LogRollout writes a new phase of a roll-out.
func LogRollout(log *slog.Logger, r rollout.Record, from string) {
	events.RolloutPhase.Log(context.Background(), log, slog.LevelWarn, "service", r.Order.Service, "to", r.Order.To, "phase", r.Phase.String(),
		"why", r.Reason, "from", from, "era", r.Order.Stamp.Era, "ver", r.Order.Stamp.Version)
}

// Rollout returns what is known of a service's roll-out.
func (s *State) Rollout(service string) (rollout.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.Record(service)
}

// Rollouts returns all roll-outs, for other routers.
func (s *State) Rollouts() []rollout.AgedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.Records(s.now())
}

// RolloutInput is what a decision on a service's roll-out rests on, but for the store's clock.
func (s *State) RolloutInput(r rollout.Record) rollout.Input {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, servers := s.picker.CountVersions(r.Order.Service, r.Order.To)
	return rollout.Input{Total: s.evidence.ForRollout(r.Order.Service, r.Order.To), OldRequests: old, NewServers: servers}
}

// takeEvidence returns what this router's requests have shown of new versions since it was called
// last.
func (s *State) takeEvidence() rollout.Evidence {
	own := s.ownEvidence
	s.ownEvidence = rollout.Evidence{}
	return own
}

// HeardEvidence takes what those of other routers have shown.
func (s *State) HeardEvidence(e rollout.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range e {
		if to, running := s.rollouts.InProgress(key.Service); !running || to != key.To {
			delete(e, key) // of an order that is over
		}
	}
	s.evidence.Add(e)
}

// newPart returns which part of the servers of a new version the request may go to; 0: it goes to
// the old ones. Only first attempts do: what failed once is not tried on a version that may be bad.
func (s *State) newPart(n Need, now time.Time) float64 {
	if n.Again || !s.rollouts.CanaryAllowed(n.Service, now) {
		return 0
	}
	part := s.rolloutBounds.CanaryShare(s.rollouts.PhaseAge(n.Service, now))
	if s.rng.Float64() >= part {
		return 0
	}
	return part
}

// noteAnswer notes what a server's answer shows of its version.
func (s *State) noteAnswer(p *Placed, o pick.Outcome, now time.Time) {
	to, running := s.rollouts.InProgress(p.service)
	if !running || p.Status == 0 || o == pick.Full || o == pick.ServerGone || o == pick.Abandoned {
		return
	}
	a := rollout.Answer{Failed: p.Status >= http.StatusInternalServerError}
	if o == pick.Failed && !a.Failed {
		return // it broke off: that its server ended says nothing of the version
	}
	if !p.first.IsZero() && !s.picker.WarmingUp(p.Choice.Server.Identity(), now) {
		a.First = p.Job.Slowness(p.first)
		if p.Events >= paceLeast {
			a.Pace = now.Sub(p.first).Seconds() / float64(p.Events-1)
		}
	}
	key := rollout.Key{Service: p.service, To: to, Route: p.route, New: p.Choice.Server.Version == to}
	s.evidence.Observe(key, a)
	s.ownEvidence.Observe(key, a)
}
