package pick

import "time"

// How good a server is for a request; the lowest is chosen.
const (
	rankGood  = 0
	rankTrial = 1 // suspected until now: one request at a time
	rankBad   = 2 // suspected
)

const (
	// firstSuspicion is how long a server is passed over after a failure.
	firstSuspicion = 1200 * time.Millisecond
	// longestSuspicion bounds the doubling with each further failure.
	longestSuspicion = 6 * time.Second
	// maxDoublings keeps the doubling within longestSuspicion.
	maxDoublings = 3
	// clearedBy is how many successes in a row end the memory of failures.
	clearedBy = 4
	// busyFor is how long a server that refused for being full is passed over.
	busyFor = 60 * time.Millisecond
)

// health is what the exchanges with a server say of it; nothing else is asked.
type health struct {
	until   time.Time // suspected until then
	busy    time.Time // full until then
	strikes int       // failures since it was last cleared
	good    int       // successes in a row
	trying  bool      // a trial request is on its way
}

// rank says how good the server is at the moment.
func (h *health) rank(now time.Time) int {
	switch {
	case now.Before(h.until):
		return rankBad
	case h.strikes > 0 && h.trying && h.good == 0:
		return rankBad
	case now.Before(h.busy):
		return rankTrial
	}
	return rankGood
}

// failed notes a failure and reports whether the server is newly suspected.
func (h *health) failed(now time.Time) bool {
	fresh := !now.Before(h.until)
	h.good = 0
	h.trying = false
	if fresh {
		h.strikes++
	}
	wait := firstSuspicion << min(max(h.strikes-1, 0), maxDoublings)
	h.until = now.Add(min(wait, longestSuspicion))
	return fresh
}

// worked notes a success and reports whether it clears the server.
func (h *health) worked() bool {
	h.trying = false
	h.good++
	if h.strikes == 0 || h.good < clearedBy {
		return false
	}
	h.strikes = 0
	return true
}

// full notes that the server refused for being full.
func (h *health) full(now time.Time) { h.busy = now.Add(busyFor) }
