// Package join decides how a router that starts gets its first view of the fleet: whom it asks,
// when it asks again, and from when on it reads the platform's store itself. Every router of a
// fleet may start at the same moment, so that a hundred times as many must not ask the store a
// hundred times as often. It has no input or output; time and randomness come in as arguments.
package join

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// answerWithin is how long a seed is waited for before the next one is asked: one in another
	// data centre answers in some milliseconds, one that has no power never.
	answerWithin = 150 * time.Millisecond
	// again is about the pause before a router that has no view yet is asked once more, and
	// busyAgain that before a router that gives its view to many others is.
	again     = 400 * time.Millisecond
	busyAgain = 150 * time.Millisecond
	// patience is how long a router that has no view yet is waited for: it reads the store. At the
	// first start of the whole fleet nothing is asked of it yet, and firstPatience is the longest.
	patience      = 1200 * time.Millisecond
	firstPatience = 3 * time.Second
	// spreadOver is the time over which routers that have waited in vain begin to read the store,
	// and rampDoubles that in which twice as many do: the first of them is asked by the others.
	spreadOver  = 2 * time.Second
	rampDoubles = spreadOver / 8
)

// Offer is what a router that was asked answers.
type Offer struct {
	From    string
	HasView bool
	// Sources are routers that give their views, those of the asker's data centre. None: the
	// router that was asked itself, if it has a view, or others that have it soon.
	Sources []string
}

// Join is one start. It is not safe for concurrent use.
type Join struct {
	rng        *rand.Rand
	seeds      []string // in the order in which they are asked, without this router
	root       bool     // this router is a seed itself
	firstStart bool
	began      time.Time
	next       int // of seeds
	askAt      time.Time
	rounds     int
	answered   bool // somebody lives
	sources    []string
	fetching   bool
	done       bool
	readAt     time.Time // when this router reads the store if it has no view by then
}

// New returns the start of the router self at the moment.
func New(self string, seeds []string, firstStart bool, rng *rand.Rand, now time.Time) *Join {
	j := &Join{rng: rng, firstStart: firstStart, root: slices.Contains(seeds, self), began: now}
	for _, s := range seeds {
		if s != self && s != "" {
			j.seeds = append(j.seeds, s)
		}
	}
	rng.Shuffle(len(j.seeds), func(a, b int) { j.seeds[a], j.seeds[b] = j.seeds[b], j.seeds[a] })
	j.askAt = now
	switch {
	case len(j.seeds) == 0 || j.root && firstStart:
		j.readAt = now
	case firstStart:
		j.readAt = now.Add(firstPatience + j.ramp())
	default:
		j.readAt = now.Add(time.Duration(len(j.seeds)) * answerWithin)
	}
	return j
}

// ramp draws when a router that has waited in vain reads the store: few do at first.
func (j *Join) ramp() time.Duration {
	d := spreadOver
	for d > 0 && j.rng.IntN(2) == 0 {
		d -= rampDoubles
	}
	return max(d, 0)
}

// Done notes that a view was taken.
func (j *Join) Done() { j.done = true }

// Finished reports whether the view was found, or the store is to be read.
func (j *Join) Finished(now time.Time) bool { return j.done || !now.Before(j.readAt) && !j.fetching }

// NextSeed returns the router to ask now; empty: none.
func (j *Join) NextSeed(now time.Time) string {
	if j.Finished(now) || j.fetching || len(j.sources) > 0 || now.Before(j.askAt) || len(j.seeds) == 0 {
		return ""
	}
	seed := j.seeds[j.next]
	j.next = (j.next + 1) % len(j.seeds)
	wait := answerWithin
	if j.next == 0 {
		j.rounds++
	}
	if j.rounds > 0 {
		wait = j.about(again)
	}
	j.askAt = now.Add(wait)
	return seed
}

// about draws a duration near d.
func (j *Join) about(d time.Duration) time.Duration {
	return d/2 + time.Duration(j.rng.Int64N(int64(d)))
}

// HandleOffer takes the answer of a router that was asked.
func (j *Join) HandleOffer(o Offer, now time.Time) {
	if !j.answered && !j.firstStart && !j.root {
		j.readAt = j.began.Add(patience + j.ramp())
	}
	j.answered = true
	j.rounds = max(j.rounds, 1)
	switch {
	case len(o.Sources) > 0:
		j.sources = slices.Clone(o.Sources)
		j.rng.Shuffle(len(j.sources), func(a, b int) { j.sources[a], j.sources[b] = j.sources[b], j.sources[a] })
	case o.HasView:
		// Others of this data centre fetch it at the moment, and give it on.
		j.askAt = now.Add(j.about(busyAgain))
	default:
		j.askAt = now.Add(j.about(again))
	}
}

// NextFetch returns the router to fetch the view from now; empty: none. Fetched is called with what
// came of it.
func (j *Join) NextFetch() string {
	if j.done || j.fetching || len(j.sources) == 0 {
		return ""
	}
	from := j.sources[0]
	j.sources = j.sources[1:]
	j.fetching = true
	return from
}

// FetchEnded notes that a fetch has ended. others are routers that the one asked named in its place.
func (j *Join) FetchEnded(found bool, others []string, now time.Time) {
	j.fetching = false
	j.done = j.done || found
	if found {
		return
	}
	if len(others) > 0 {
		j.sources = slices.Clone(others)
	}
	j.askAt = now.Add(j.about(busyAgain))
}
