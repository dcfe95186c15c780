package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// maxCompared bounds the number of contents that are compared with all other suspects: those with
// the latest crashes. The others stay ambiguous.
const maxCompared = 256

// class is the classification of a content by its crashes.
type class int

const (
	belowThreshold class = iota // too few crashes
	ambiguous                   // other contents may have caused the crashes
	poisonous                   // no other content explains the crashes
)

// blockedUntil returns the time until which the content must not be sent to any server; zero if it
// may be sent at any time.
func (r *record) blockedUntil() time.Time {
	switch r.class {
	case poisonous:
		if !r.conclusive {
			return r.lastCrash().Add(unconfirmedBlockDuration)
		}
		return r.lastCrash().Add(BlockDuration)
	case ambiguous:
		pause := initialPause
		for range len(r.confirmed) - CrashesToBlock {
			pause = min(pauseFactor*pause, BlockDuration)
		}
		return r.lastCrash().Add(pause)
	case belowThreshold:
	}
	return time.Time{}
}

// longestRun returns the longest time that the content ran before it crashed a server.
func (r *record) longestRun() (longest time.Duration) {
	for _, crash := range r.counted {
		longest = max(longest, crash.At.Sub(crash.Sent))
	}
	return longest
}

// classify updates the class of each suspect.
//
// A content is poisonous if no other suspect was running at enough of its crashes: of two contents
// that always ran together on the crashed servers, either may be the cause. With fewer such crashes
// it is ambiguous until the other one is cleared or a crash of its own distinguishes them.
func (t *Table) classify() {
	if !t.classesStale {
		return
	}
	t.classesStale = false
	for i, r := range t.blockable() {
		r.class = ambiguous
		if t.kind == Parts && i < maxCompared {
			t.classifyPart(r)
			continue
		}
		if i < maxCompared && len(t.withoutOtherSuspects(r, r.counted)) >= CrashesToBlock {
			r.class = poisonous
			r.conclusive = len(t.withoutOtherSuspects(r, r.confirmed)) >= CrashesToBlock
		}
	}
}

// blockable returns the suspects with enough crashes to be blocked, latest crash first.
func (t *Table) blockable() []*record {
	var contents []routing.ContentHash
	for c, r := range t.suspects {
		r.class = belowThreshold
		r.confirmed = t.confirmedCrashes(r)
		if len(r.counted) >= CrashesToBlock || r.reportedBlocked {
			contents = append(contents, c)
		}
	}
	slices.SortFunc(contents, func(a, b routing.ContentHash) int {
		return cmp.Or(t.suspects[b].lastCrash().Compare(t.suspects[a].lastCrash()), cmp.Compare(a, b))
	})
	list := make([]*record, len(contents))
	for i, c := range contents {
		list[i] = t.suspects[c]
	}
	return list
}

// withoutOtherSuspects returns those of the given crashes at which no other suspect was running.
func (t *Table) withoutOtherSuspects(r *record, crashes []Crash) []Crash {
	return t.withoutSuspects(crashes, func(other *record) bool { return other != r })
}

// withoutSuspects returns those of the given crashes at which none of the matching suspects was running.
func (t *Table) withoutSuspects(crashes []Crash, matches func(*record) bool) []Crash {
	left := slices.Clone(crashes)
	for _, other := range t.suspects {
		if !matches(other) {
			continue
		}
		present := other.presentAt
		if t.kind == Parts {
			present = other.mayBePresentAt
		}
		if left = slices.DeleteFunc(left, present); len(left) == 0 {
			return nil
		}
	}
	return left
}

// mayBePresentAt is presentAt, but also true for crashes that are too long ago to be known.
func (r *record) mayBePresentAt(crash Crash) bool {
	return r.truncated && crash.At.Before(r.crashes[0].At) || r.presentAt(crash)
}

// presentAt reports whether the content was running at the crash, by the server or by the time: a
// request and those that ran beside it may be reported under different starts of one server.
func (r *record) presentAt(crash Crash) bool {
	return slices.ContainsFunc(r.counted, func(own Crash) bool {
		return own.Server == crash.Server || coincident(own.At, crash.At)
	})
}
