package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// judgedMost bounds the contents that are weighed against all other suspects, the ones that crashed a
// server last. The rest stays in doubt.
const judgedMost = 256

// verdict is what the crashes say of a content.
type verdict int

const (
	acquitted verdict = iota // there are too few
	inDoubt                  // other contents may have crashed the servers as well
	convicted                // no other explains them
)

// until returns until when the content is sent to no server; zero: it may be sent at any time.
func (r *record) until() time.Time {
	switch r.verdict {
	case convicted:
		if !r.certain {
			return r.last().Add(unconfirmedBlock)
		}
		return r.last().Add(BlockFor)
	case inDoubt:
		pause := firstPause
		for range len(r.confirmed) - CrashesToBlock {
			pause = min(pauseX*pause, BlockFor)
		}
		return r.last().Add(pause)
	case acquitted:
	}
	return time.Time{}
}

// longestRun returns how long the content needed at most to crash a server.
func (r *record) longestRun() (longest time.Duration) {
	for _, e := range r.counted {
		longest = max(longest, e.At.Sub(e.Sent))
	}
	return longest
}

// judge brings the verdicts up to date.
//
// A content is guilty if at enough of its crashes no other suspect was there: of two that always ran at
// the servers that crashed either may be the guilty one. With fewer it is in doubt, until the other one
// is cleared or a crash of its own tells them apart.
func (t *Table) judge() {
	if !t.stale {
		return
	}
	t.stale = false
	for i, r := range t.judged() {
		r.verdict = inDoubt
		if i < judgedMost && len(t.alone(r, r.counted)) >= CrashesToBlock {
			r.verdict = convicted
			r.certain = len(t.alone(r, r.confirmed)) >= CrashesToBlock
		}
	}
}

// judged returns the suspects with enough crashes to be blocked, that with the latest crash first.
func (t *Table) judged() []*record {
	var contents []routing.ContentHash
	for c, r := range t.suspects {
		r.verdict = acquitted
		r.confirmed = t.confirmedCrashes(r)
		if len(r.counted) >= CrashesToBlock {
			contents = append(contents, c)
		}
	}
	slices.SortFunc(contents, func(a, b routing.ContentHash) int {
		return cmp.Or(t.suspects[b].last().Compare(t.suspects[a].last()), cmp.Compare(a, b))
	})
	list := make([]*record, len(contents))
	for i, c := range contents {
		list[i] = t.suspects[c]
	}
	return list
}

// alone returns those of the content's crashes at which no other suspect was there.
func (t *Table) alone(r *record, crashes []Crash) []Crash {
	left := slices.Clone(crashes)
	for _, other := range t.suspects {
		if other == r {
			continue
		}
		if left = slices.DeleteFunc(left, other.wasAt); len(left) == 0 {
			return nil
		}
	}
	return left
}

// wasAt reports whether the crash is one of the content's, or at the moment of one: of a request
// and of what ran beside it either may be reported under the server's next start.
func (r *record) wasAt(e Crash) bool {
	return slices.ContainsFunc(r.counted, func(own Crash) bool {
		return own.Server == e.Server || near(own.At, e.At)
	})
}
