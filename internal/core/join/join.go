// Package join decides how a router that starts obtains its first view of the fleet: which routers
// it asks, when it retries, and when it falls back to reading the platform's store itself. All
// routers of a fleet may start at the same time, and a fleet 100 times as large must not query the
// store 100 times as often. The package does no I/O; time and randomness are passed in as
// arguments.
package join

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// answerTimeout is how long to wait for the answer of a seed before the next one is asked. A
	// seed in another data centre answers within a few milliseconds; one without power never does.
	answerTimeout = 150 * time.Millisecond
	// retryInterval is the average delay before a router that had no view is asked again, and
	// busyRetryInterval the delay for a router that is busy sending its view to others.
	retryInterval     = 400 * time.Millisecond
	busyRetryInterval = 150 * time.Millisecond
	// maxWait is how long to wait for the view of a router that has none yet because it is reading
	// the store. The first start of the whole fleet uses the longer firstStartMaxWait, since there
	// are no requests to serve yet.
	maxWait           = 1200 * time.Millisecond
	firstStartMaxWait = 3 * time.Second
	// readSpread is the period over which routers that waited without success begin to read the
	// store. The number that have begun doubles every readDoubling, so that the first ones to
	// finish can serve the others.
	readSpread   = 2 * time.Second
	readDoubling = readSpread / 8
)

// Offer is the answer of a router that was asked for its view.
type Offer struct {
	From    string
	HasView bool
	// Sources are routers that provide their views, in the data centre of the requester. If it is
	// empty, the router that was asked or others may have a view soon, or the router is busy if
	// HasView is set.
	Sources []string
}

// Join is the state of one start of a router. It is not safe for concurrent use.
type Join struct {
	rng        *rand.Rand
	seeds      []string // in the order in which they are asked, without this router
	isSeed     bool     // this router is a seed
	firstStart bool
	startedAt  time.Time
	nextSeed   int // index into seeds
	nextAskAt  time.Time
	rounds     int
	anyAnswer  bool // at least one router has answered
	sources    []string
	fetching   bool
	done       bool
	readAt     time.Time // when this router reads the store if it has no view by then
}

// New returns the state of a router that starts at now.
func New(self string, seeds []string, firstStart bool, rng *rand.Rand, now time.Time) *Join {
	j := &Join{rng: rng, firstStart: firstStart, isSeed: slices.Contains(seeds, self), startedAt: now}
	for _, s := range seeds {
		if s != self && s != "" {
			j.seeds = append(j.seeds, s)
		}
	}
	rng.Shuffle(len(j.seeds), func(a, b int) { j.seeds[a], j.seeds[b] = j.seeds[b], j.seeds[a] })
	j.nextAskAt = now
	switch {
	case len(j.seeds) == 0 || j.isSeed && firstStart:
		j.readAt = now
	case firstStart:
		j.readAt = now.Add(firstStartMaxWait + j.readDelay())
	default:
		j.readAt = now.Add(time.Duration(len(j.seeds)) * answerTimeout)
	}
	return j
}

// readDelay returns a random delay after which a router that waited without success reads the
// store. Short delays are rare, so that few routers read it at first.
func (j *Join) readDelay() time.Duration {
	delay := readSpread
	for delay > 0 && j.rng.IntN(2) == 0 {
		delay -= readDoubling
	}
	return max(delay, 0)
}

// ViewReceived records that the router has a view.
func (j *Join) ViewReceived() { j.done = true }

// Finished reports whether the router has a view or must read the store now.
func (j *Join) Finished(now time.Time) bool { return j.done || !now.Before(j.readAt) && !j.fetching }

// NextSeed returns the router to ask for a view now; empty if none.
func (j *Join) NextSeed(now time.Time) string {
	if j.Finished(now) || j.fetching || len(j.sources) > 0 || now.Before(j.nextAskAt) || len(j.seeds) == 0 {
		return ""
	}
	seed := j.seeds[j.nextSeed]
	j.nextSeed = (j.nextSeed + 1) % len(j.seeds)
	interval := answerTimeout
	if j.nextSeed == 0 {
		j.rounds++
	}
	if j.rounds > 0 {
		interval = j.jitter(retryInterval)
	}
	j.nextAskAt = now.Add(interval)
	return seed
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (j *Join) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(j.rng.Int64N(int64(d)))
}

// HandleOffer processes the answer of a router that was asked for its view.
func (j *Join) HandleOffer(offer Offer, now time.Time) {
	if !j.anyAnswer && !j.firstStart && !j.isSeed {
		j.readAt = j.startedAt.Add(maxWait + j.readDelay())
	}
	j.anyAnswer = true
	j.rounds = max(j.rounds, 1)
	switch {
	case len(offer.Sources) > 0:
		j.sources = slices.Clone(offer.Sources)
		j.rng.Shuffle(len(j.sources), func(a, b int) { j.sources[a], j.sources[b] = j.sources[b], j.sources[a] })
	case offer.HasView:
		// Other routers of this data centre are fetching the view and will provide it in turn.
		j.nextAskAt = now.Add(j.jitter(busyRetryInterval))
	default:
		j.nextAskAt = now.Add(j.jitter(retryInterval))
	}
}

// NextFetch returns the router to fetch the view from now; empty if none. The caller must report
// the result with FetchEnded.
func (j *Join) NextFetch() string {
	if j.done || j.fetching || len(j.sources) == 0 {
		return ""
	}
	from := j.sources[0]
	j.sources = j.sources[1:]
	j.fetching = true
	return from
}

// FetchEnded records the end of a fetch. alternatives are the routers to which the asked one
// referred instead.
func (j *Join) FetchEnded(found bool, alternatives []string, now time.Time) {
	j.fetching = false
	j.done = j.done || found
	if found {
		return
	}
	if len(alternatives) > 0 {
		j.sources = slices.Clone(alternatives)
	}
	j.nextAskAt = now.Add(j.jitter(busyRetryInterval))
}
