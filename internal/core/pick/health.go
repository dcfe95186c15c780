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
	// suspectedBy is how many other routers have to suspect a server at a time, each by
	// what it saw itself, for this one to pass it over too. Of 295 routers each asks one
	// of 160 engines once in 25 s: what each has to find out by itself costs a request
	// at each router. One may be cut off and suspect all.
	suspectedBy = 2
	// suspectedPart is the part of a service's servers above which other routers'
	// suspicions don't count: then it is they that are cut off, or all is to be tried.
	suspectedPart = 1.0 / 3
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

// rankOf is how good the server is by what this router saw, and by what the others
// report where it saw nothing bad.
func (p *Picker) rankOf(s *server, now time.Time) int {
	rank := s.health.rank(now)
	if rank == rankGood && s.shunned {
		return rankBad
	}
	return rank
}

// judgeReports decides which servers are passed over for what other routers report.
func (p *Picker) judgeReports() {
	for _, s := range p.shunned {
		s.shunned = false
	}
	p.shunned = p.shunned[:0]
	suspected := map[string][]*server{}
	for s := range p.loaded {
		if s.takes && s.peers.Suspects >= suspectedBy {
			suspected[s.Service] = append(suspected[s.Service], s)
		}
	}
	for service, list := range suspected {
		if float64(len(list)) > suspectedPart*float64(len(p.services[service])) {
			continue
		}
		for _, s := range list {
			s.shunned = true
		}
		p.shunned = append(p.shunned, list...)
	}
}
