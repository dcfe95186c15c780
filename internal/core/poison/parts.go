package poison

import (
	"math"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Kind is what a table's keys identify.
type Kind int

// The kinds.
const (
	Contents Kind = iota // the whole content of a request
	Parts                // one part of a prompt, which many requests share
	KindCount
)

// String returns the name of the kind for logs.
func (k Kind) String() string { return [...]string{"content", "part"}[k] }

const (
	// crashesToBlockTied is the number of crashes from which a part may be blocked although others were
	// there each time, unless one of those was there at more crashes. Parts that come together only in
	// requests that crash servers can't be told apart.
	crashesToBlockTied = 5
	// maxCrashesPerPart bounds the crashes kept for one part. Where few requests are answered, more
	// crashes are needed to tell a part that causes them from chance.
	maxCrashesPerPart = 16
	// beginOfAnswer is how long after its first event a response counts as begun. A part that crashes
	// servers does so at the beginning of the answer, while most requests that lose their server by
	// chance are in the middle of theirs.
	beginOfAnswer = 250 * time.Millisecond
	// maxChance is the highest probability, under the assumption that a part is harmless, of losing the
	// server of each of its requests by chance.
	maxChance = 0.001
	// maxRecentTimes bounds the times that are kept to estimate how many requests lose their servers.
	maxRecentTimes = 64
)

// NewParts returns an empty table of parts. A part differs from a content in some ways. A crash counts
// only if it came at the beginning of an answer. A part is blocked only while other requests are
// answered: if all servers crash, a part that every request has is at every crash. It is not held back
// while it is ambiguous, as that would refuse the requests of a whole route. And parts that always come
// together count as one.
func NewParts() *Table {
	t := New()
	t.kind = Parts
	return t
}

// AdmitPart decides whether a request with the part may be sent now. rank is as for Admit.
func (t *Table) AdmitPart(c routing.ContentHash, rank func(routing.ContentHash) int, now time.Time) Admission {
	r := t.records[c]
	if r == nil {
		return Admission{}
	}
	t.classify()
	if r.class != poisonous || !r.corroborated {
		return Admission{}
	}
	if wait := r.blockedUntil().Sub(now); wait > 0 {
		if early := r.lastCrash().Add(maxReportDelay).Sub(now); early > 0 {
			wait = min(wait, early)
		}
		return Admission{Wait: wait}
	}
	return r.admitTrial(rank(c), now)
}

// NoteAnswered records that a request of this router got a complete response.
func (t *Table) NoteAnswered(now time.Time) { t.answered.add(now) }

// NoteBroken records that a request of this router lost its server after the server had been sending
// events for the given time.
func (t *Table) NoteBroken(answering time.Duration, now time.Time) {
	if answering <= beginOfAnswer {
		t.broken.add(now)
	}
}

// classifyPart sets the class of a part with enough crashes to be blocked.
func (t *Table) classifyPart(r *record) {
	alone := t.withoutOtherSuspects(r, r.counted)
	switch {
	case r.reportedBlocked:
		r.class = poisonous
		r.conclusive = true
	case len(alone) >= CrashesToBlock:
		r.class = poisonous
		r.conclusive = len(t.withoutOtherSuspects(r, r.confirmed)) >= CrashesToBlock
	case len(t.withoutLargerSuspects(r, r.counted)) >= crashesToBlockTied:
		r.class = poisonous
		r.conclusive = len(t.withoutLargerSuspects(r, r.confirmed)) >= crashesToBlockTied
	}
}

// withoutLargerSuspects returns those of the given crashes at which no suspect with more crashes was
// running.
func (t *Table) withoutLargerSuspects(r *record, crashes []Crash) []Crash {
	return t.withoutSuspects(crashes, func(other *record) bool { return other.hasMoreCrashesThan(r) })
}

// hasMoreCrashesThan compares the numbers of counted crashes. Of two records from which crashes were
// dropped, the one whose latest crashes took less time has more.
func (r *record) hasMoreCrashesThan(o *record) bool {
	if r.truncated && o.truncated {
		return r.crashes[0].At.After(o.crashes[0].At)
	}
	return r.truncated && !o.truncated || len(r.counted) > len(o.counted)
}

// corroborates reports whether so many of this router's requests were answered between the first and
// the last counted crash of the part that the crashes can't all have been met by chance. Crashes at
// which the part was not there show that requests lose their servers anyway; each counts as if this
// router had lost a request.
func (t *Table) corroborates(r *record) bool {
	first, last := r.counted[0].At, r.counted[len(r.counted)-1].At
	answered := t.answered.countBetween(first, last)
	broken := t.broken.countBetween(first, last) + t.countOtherCrashes(r, first, last) + len(r.counted) - 1
	rate := float64(broken+1) / float64(answered+broken+2)
	return math.Pow(rate, float64(len(r.counted))) <= maxChance
}

// countOtherCrashes returns the number of server crashes in the interval at which the part was not
// there, simultaneous ones merged.
func (t *Table) countOtherCrashes(r *record, first, last time.Time) (n int) {
	var times []time.Time
	for server, at := range t.crashedAt {
		if !at.Before(first) && !at.After(last) && !r.presentAt(Crash{Server: server, At: at}) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i, at := range times {
		if i == 0 || !coincident(at, times[i-1]) {
			n++
		}
	}
	return n
}

// recentTimes holds the latest of a series of times.
type recentTimes struct {
	times [maxRecentTimes]time.Time
	next  int
}

func (l *recentTimes) add(at time.Time) {
	l.times[l.next] = at
	l.next = (l.next + 1) % maxRecentTimes
}

// countBetween returns how many of the times are in the closed interval.
func (l *recentTimes) countBetween(first, last time.Time) (n int) {
	for _, at := range l.times {
		if !at.Before(first) && !at.After(last) {
			n++
		}
	}
	return n
}
