package state

import (
	"context"
	"log/slog"
	"time"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/events"
)

// repeatMost bounds the contents that a report repeats: some 1 KB.
const repeatMost = 16

// Blocked are contents that are newly blocked.
type Blocked []routing.ContentHash

// Log writes them, if there are any, and what told this router.
func (b Blocked) Log(log *slog.Logger, from string) {
	for _, c := range b {
		events.ContentBlocked.Log(context.Background(), log, slog.LevelWarn, "content", c.String(), "from", from)
	}
}

// AnyCrashed reports whether servers have crashed under requests lately. Until then no request
// is blocked and no content has to be worked out.
func (s *State) AnyCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.poison.Empty()
}

// Crashed notes that the server crashed while it ran a request of this router that was sent
// at the time. accepted says that it had taken a new connection for it.
func (s *State) Crashed(c routing.ContentHash, server routing.Identity, sent time.Time, accepted bool) poison.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := poison.Crash{Server: server.Key(), Sent: sent, At: s.now(), LastAnswered: s.picker.LastAnswer(server), Accepted: accepted}
	change := s.poison.Crashed(c, e)
	s.askStore = true
	return change
}

// Succeeded notes a complete response to the content, and reports whether that clears it of crashes, and which
// contents are blocked by it.
func (s *State) Succeeded(c routing.ContentHash) (cleared bool, blocked Blocked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Succeeded(c, s.now())
}

// AdmitContent says whether a request with the content may be sent.
func (s *State) AdmitContent(c routing.ContentHash) poison.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := func(c routing.ContentHash) int { return s.fleet.Rank(uint64(c)) }
	return s.poison.Admit(c, rank, s.now())
}

// EndTrial notes that the trial of the content at this router is over.
func (s *State) EndTrial(c routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.EndTrial(c)
}

// BlockedCount returns how many contents are blocked.
func (s *State) BlockedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.BlockedCount(s.now())
}

// MergeCrashes takes what another router or the store tells of contents, and returns those
// that are blocked for it.
func (s *State) MergeCrashes(records []poison.Record) Blocked {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Merge(records, s.rng, s.now())
}

// RepeatCrashes returns what is told again and again.
func (s *State) RepeatCrashes() []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.RecordsToRepeat(repeatMost, s.now())
}

// CrashesToStore returns the contents that this router is to write into the store, and those
// that it is to remove there.
func (s *State) CrashesToStore() (write []poison.Record, remove []routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.StoreChanges(s.now())
}

// CrashesStored notes that the store has the ones and has forgotten the others.
func (s *State) CrashesStored(written []poison.Record, removed []routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.MarkStored(written, removed)
}

// CrashesRead notes that the store's list of blocked contents was read, by this router or by
// the one that gave it its first view.
func (s *State) CrashesRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashesRead = true
	s.askStore = false
}

// KnowsCrashes reports whether that list was read once.
func (s *State) KnowsCrashes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashesRead
}

// CrashedSince reports whether a server has crashed under a request of this router since the list
// was read: other routers may know of that content what this one does not hear.
func (s *State) CrashedSince() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.askStore
}
