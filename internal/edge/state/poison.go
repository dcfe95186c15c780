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

// Blocked lists the contents and the parts of prompts that have just become blocked.
type Blocked [poison.KindCount][]routing.ContentHash

// Log logs what has become blocked, if anything has, and the source of the information.
func (b Blocked) Log(log *slog.Logger, from string) {
	for _, c := range b[poison.Contents] {
		events.ContentBlocked.Log(context.Background(), log, slog.LevelWarn, "content", c.String(), "from", from)
	}
	for _, c := range b[poison.Parts] {
		events.PartBlocked.Log(context.Background(), log, slog.LevelWarn, "part", c.String(), "from", from)
	}
}

// HasCrashes reports whether servers have recently crashed while they ran requests. Otherwise no
// request is blocked and content hashes need not be computed.
func (s *State) HasCrashes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.poison[poison.Contents].Empty() || !s.poison[poison.Parts].Empty()
}

// CrashedRequest is a request of this router whose server crashed.
type CrashedRequest struct {
	Content  routing.ContentHash
	Parts    []routing.ContentHash // of its prompt, see routing.SharedParts
	Server   routing.Identity
	Sent     time.Time
	FirstAt  time.Time // when its first event arrived; zero: none did
	Accepted bool      // the server had accepted a new connection for it
}

// RecordCrash records that a server crashed while it ran the request. It returns the effect on the
// content, and the parts of the prompt that become blocked.
func (s *State) RecordCrash(r CrashedRequest) (poison.Change, Blocked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	crash := poison.Crash{Server: r.Server.Key(), Sent: r.Sent, At: now, LastAnswered: s.picker.LastAnswer(r.Server), Accepted: r.Accepted}
	if !r.FirstAt.IsZero() {
		crash.Answering = now.Sub(r.FirstAt)
	}
	change := s.poison[poison.Contents].Crashed(r.Content, crash)
	s.crashedSinceRead = true
	var blocked Blocked
	if len(r.Parts) > 0 {
		s.poison[poison.Parts].NoteBroken(crash.Answering, now)
	}
	for _, part := range r.Parts {
		if s.poison[poison.Parts].Crashed(part, crash).Blocked {
			blocked[poison.Parts] = append(blocked[poison.Parts], part)
		}
	}
	return change, blocked
}

// RecordSuccess records a complete response to a request. It reports whether that clears its content of
// crashes, and returns what becomes blocked as a result.
func (s *State) RecordSuccess(c routing.ContentHash, parts []routing.ContentHash) (cleared bool, blocked Blocked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	cleared, blocked[poison.Contents] = s.poison[poison.Contents].Succeeded(c, now)
	if len(parts) > 0 {
		s.poison[poison.Parts].NoteAnswered(now)
	}
	for _, part := range parts {
		_, more := s.poison[poison.Parts].Succeeded(part, now)
		blocked[poison.Parts] = append(blocked[poison.Parts], more...)
	}
	return cleared, blocked
}

// AdmitContent decides whether a request with the content may be sent.
func (s *State) AdmitContent(c routing.ContentHash) poison.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison[poison.Contents].Admit(c, s.rankFor, s.now())
}

// AdmitParts decides whether a request may be sent whose prompt has the parts. If it may not, blocked is
// a part for which that is so. trials are the parts for which it is a trial.
func (s *State) AdmitParts(parts []routing.ContentHash) (a poison.Admission, blocked routing.ContentHash, trials []routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, part := range parts {
		a := s.poison[poison.Parts].AdmitPart(part, s.rankFor, now)
		if a.Wait > 0 {
			s.endTrials(poison.Parts, trials)
			return a, part, nil
		}
		if a.Trial {
			trials = append(trials, part)
		}
	}
	return poison.Admission{Trial: len(trials) > 0, Isolate: len(trials) > 0}, 0, trials
}

// rankFor returns this router's rank among those that may try a content or part.
func (s *State) rankFor(c routing.ContentHash) int { return s.fleet.Rank(uint64(c)) }

// EndTrials records that this router's trials are over.
func (s *State) EndTrials(kind poison.Kind, hashes []routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTrials(kind, hashes)
}

func (s *State) endTrials(kind poison.Kind, hashes []routing.ContentHash) {
	for _, c := range hashes {
		s.poison[kind].EndTrial(c)
	}
}

// BlockedCount returns how many contents or parts are blocked.
func (s *State) BlockedCount(kind poison.Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison[kind].BlockedCount(s.now())
}

// MergeCrashes merges records from another router or the store and returns what becomes blocked.
func (s *State) MergeCrashes(kind poison.Kind, records []poison.Record) (blocked Blocked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocked[kind] = s.poison[kind].Merge(records, s.rng, s.now())
	return blocked
}

// CrashesToRepeat returns the records that are sent to other routers repeatedly.
func (s *State) CrashesToRepeat(kind poison.Kind) []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison[kind].RecordsToRepeat(maxRepeatedRecords, s.now())
}

// CrashesToStore returns the records that this router must write to the store, and what it must remove
// from it.
func (s *State) CrashesToStore(kind poison.Kind) (write []poison.Record, remove []routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison[kind].StoreChanges(s.now())
}

// MarkCrashesStored records which records the store now holds and which were removed from it.
func (s *State) MarkCrashesStored(kind poison.Kind, written []poison.Record, removed []routing.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison[kind].MarkStored(written, removed)
}

// MarkCrashesRead records that the store's lists of blocked contents and parts were read, by this router or by
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
