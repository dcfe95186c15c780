package state

import (
	"time"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/routing"
)

// ServerLeaving records that a server announced in an answer that it is leaving, and reports
// whether it was not yet marked as leaving.
func (s *State) ServerLeaving(id routing.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.picker.NoteLeaving(id, now) {
		return false
	}
	if entry, listed := s.roster.Get(id.ID); listed {
		s.picker.ChangeServers([]routing.Server{entry}, nil, now)
	}
	return true
}

// clearStaleLeaving clears marks that the store contradicts, as [pick.Picker.ClearStaleLeaving]
// describes, and updates the servers in use.
func (s *State) clearStaleLeaving(followed time.Duration, now time.Time) {
	if s.picker.ClearStaleLeaving(followed, now) {
		s.setServers(now)
	}
}

// TakeReturned returns the servers whose leaving mark was cleared since the last call.
func (s *State) TakeReturned() []pick.ReturnedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.TakeReturned()
}

// ServerBackoff records that a server requested a backoff of d, and reports whether none was
// in effect.
func (s *State) ServerBackoff(id routing.Identity, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.NoteBackoff(id, d, s.now())
}

// ServerNoticeMalformed records that a server sent an announcement that can't be parsed, and
// reports whether it is the first one.
func (s *State) ServerNoticeMalformed(id routing.Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.NoteMalformed(id)
}

// LeavingCount returns how many listed servers are marked as leaving.
func (s *State) LeavingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Leaving()
}

// BackoffCount returns how many servers have requested a backoff that is still in effect.
func (s *State) BackoffCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.InBackoff(s.now())
}
