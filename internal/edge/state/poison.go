package state

import (
	"context"
	"log/slog"
	"time"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/events"
)

// maxRepeatedRecords limits the records that a report repeats; they take about 1 KB.
const maxRepeatedRecords = 16

// BlockedContents lists contents that have just become blocked.
type BlockedContents []routing.ContentHash

// Log logs the contents, if there are any, and the source of the information.
func (b BlockedContents) Log(log *slog.Logger, from string) {
	for _, c := range b {
		events.ContentBlocked.Log(context.Background(), log, slog.LevelWarn, "content", c.String(), "from", from)
	}
}

// HasCrashes reports whether servers have recently crashed while they ran requests. Otherwise no
// request is blocked and content hashes need not be computed.
func (s *State) HasCrashes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.poison.Empty()
}

// RecordCrash records that the server crashed while it ran a request of this router that was sent
// at the given time. accepted reports whether it had accepted a new connection for the request.
func (s *State) RecordCrash(c routing.ContentHash, server routing.Identity, sent time.Time, accepted bool) poison.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := poison.Crash{Server: server.Key(), Sent: sent, At: s.now(), LastAnswered: s.picker.LastAnswer(server), Accepted: accepted}
	change := s.poison.Crashed(c, crash)
	s.crashedSinceRead = true
	return change
}

// RecordSuccess records a complete response to a request with the content. It reports whether that
// clears the content of its crashes, and returns the contents that become blocked as a result.
func (s *State) RecordSuccess(c routing.ContentHash) (cleared bool, blocked BlockedContents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Succeeded(c, s.now())
}

// AdmitContent decides whether a request with the content may be sent.
func (s *State) AdmitContent(c routing.ContentHash) poison.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := func(c routing.ContentHash) int { return s.fleet.Rank(uint64(c)) }
	return s.poison.Admit(c, rank, s.now())
}

// EndTrial records that this router's trial of the content is over.
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

// MergeCrashes merges records from another router or the store and returns the contents that
// become blocked.
func (s *State) MergeCrashes(records []poison.Record) BlockedContents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Merge(records, s.rng, s.now())
}

// CrashesToRepeat returns the records that are sent to other routers repeatedly.
func (s *State) CrashesToRepeat() []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.RecordsToRepeat(maxRepeatedRecords, s.now())
}

// CrashesToStore returns the records that this router must write to the store, and the contents
// that it must remove from it.
func (s *State) CrashesToStore() (write []poison.Record, remove []routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.StoreChanges(s.now())
}

// MarkCrashesStored records which records the store now holds and which contents were removed
// from it.
func (s *State) MarkCrashesStored(written []poison.Record, removed []routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.MarkStored(written, removed)
}

// MarkCrashesRead records that the store's list of blocked contents was read, by this router or by
// the one from which it got its first view.
func (s *State) MarkCrashesRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashesRead = true
	s.crashedSinceRead = false
}

// HasReadCrashes reports whether the store's list of blocked contents has been read.
func (s *State) HasReadCrashes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashesRead
}

// CrashedSinceRead reports whether a server has crashed during a request of this router since the
// list was read. Other routers may then have records of that content which have not reached this
// one.
func (s *State) CrashedSinceRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashedSinceRead
}
