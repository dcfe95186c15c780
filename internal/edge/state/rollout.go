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

// minPaceEvents is the number of events from which the pace of a stream is meaningful.
const minPaceEvents = 4

// SetRolloutBounds sets the bounds on the traffic that a bad version may receive.
func (s *State) SetRolloutBounds(b rollout.Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rolloutBounds = b
}

// ApplyOrder applies a roll-out order of the operator and reports whether it is new.
func (s *State) ApplyOrder(o rollout.Order) bool {
	if known, ok := s.Rollout(o.Service); ok && !o.NewerThan(known.Order) {
		return false
	}
	return s.MergeRollout(rollout.Record{Order: o}, 0)
}

// MergeRollout merges a roll-out record that was valid age ago and reports whether it is new.
func (s *State) MergeRollout(r rollout.Record, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.rollouts.Merge(r, age, now) {
		return false
	}
	s.setServers(now)
	return true
}

// LogRollout logs a new phase of a roll-out.
func LogRollout(log *slog.Logger, r rollout.Record, from string) {
	events.RolloutPhase.Log(context.Background(), log, slog.LevelWarn, "service", r.Order.Service, "to", r.Order.To, "phase", r.Phase.String(),
		"why", r.Reason, "from", from, "era", r.Order.Stamp.Era, "ver", r.Order.Stamp.Version)
}

// Rollout returns the record of a service's roll-out, if there is one.
func (s *State) Rollout(service string) (rollout.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.Record(service)
}

// Rollouts returns the records of all roll-outs, for other routers.
func (s *State) Rollouts() []rollout.AgedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollouts.Records(s.now())
}

// RolloutInput returns the input of a decision on a service's roll-out, except the store's time.
func (s *State) RolloutInput(r rollout.Record) rollout.Input {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldRequests, newServers := s.picker.CountVersions(r.Order.Service, r.Order.To)
	return rollout.Input{Total: s.evidence.ForRollout(r.Order.Service, r.Order.To), OldRequests: oldRequests, NewServers: newServers}
}

// takeEvidence returns the evidence on new versions from this router's requests since the last
// call.
func (s *State) takeEvidence() rollout.Evidence {
	own := s.unreportedEvidence
	s.unreportedEvidence = rollout.Evidence{}
	return own
}

// MergeEvidence adds the evidence of other routers, without that on roll-outs that are not in
// progress.
func (s *State) MergeEvidence(e rollout.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range e {
		if to, running := s.rollouts.InProgress(key.Service); !running || to != key.To {
			delete(e, key) // its order is over
		}
	}
	s.evidence.Add(e)
}

// newVersionShare returns the share of the new version's servers that the request may use, or 0 if
// it must use the old version. Only first attempts use the new version: a request that has failed
// once is not sent to a version that may be bad.
func (s *State) newVersionShare(req Request, now time.Time) float64 {
	if req.Admitted || req.Pinned || !s.rollouts.CanaryAllowed(req.Service, now) {
		return 0
	}
	share := s.rolloutBounds.CanaryShare(s.rollouts.PhaseAge(req.Service, now))
	if s.rng.Float64() >= share {
		return 0
	}
	return share
}

// observeAnswer adds a server's answer to the evidence on its version. Streams that are resumed are
// left out: they did not get their version at random, and are as long as what was missing.
func (s *State) observeAnswer(p *Placement, o pick.Outcome, now time.Time) {
	to, running := s.rollouts.InProgress(p.service)
	if !running || p.pinned || p.Status == 0 || o == pick.Full || o == pick.ServerGone || o == pick.Abandoned {
		return
	}
	a := rollout.Answer{Failed: p.Status >= http.StatusInternalServerError}
	if o == pick.Failed && !a.Failed {
		return // the answer broke off: the end of a server is no evidence against its version
	}
	if !p.firstAt.IsZero() && !s.picker.WarmingUp(p.Choice.Server.Identity(), now) {
		a.First = p.Job.Slowness(p.firstAt)
		if p.Events >= minPaceEvents {
			a.Pace = now.Sub(p.firstAt).Seconds() / float64(p.Events-1)
		}
	}
	key := rollout.Key{Service: p.service, To: to, Route: p.route, New: p.Choice.Server.Version == to}
	s.evidence.Observe(key, a)
	s.unreportedEvidence.Observe(key, a)
}
