package pick

import "time"

// Ranks of a server by its health; servers with the lowest rank are preferred.
const (
	rankGood  = 0
	rankTrial = 1 // recently full: only if no good server is left
	rankBad   = 2 // suspected, or a trial request is running
)

const (
	// firstSuspicion is how long a server is passed over after the first failure.
	firstSuspicion = 1200 * time.Millisecond
	// longestSuspicion caps the duration, which doubles with each further failure.
	longestSuspicion = 6 * time.Second
	// maxDoublings bounds the shift that computes the duration.
	maxDoublings = 3
	// successesToClear is the number of consecutive successes that reset the failure count.
	successesToClear = 4
	// minPeerSuspicions is how many other routers must suspect a server, each from its own
	// requests, for this router to pass it over too. In a fleet of 295 routers and 160 engines, a
	// router sends to a given engine once in 25 s, so detecting a failure alone would cost every
	// router a request. The reports of a single router are ignored, since it may be cut off and
	// suspect all servers.
	minPeerSuspicions = 2
	// maxSuspectedShare is the share of a service's servers above which the suspicions of other
	// routers are ignored: either those routers are cut off, or every server has to be tried.
	maxSuspectedShare = 1.0 / 3
	// fullPause is how long a server that refused a request because it was full is passed over.
	fullPause = 60 * time.Millisecond
)

// health is the state of a server as derived from requests; there are no health checks.
type health struct {
	suspectedUntil time.Time
	fullUntil      time.Time
	failures       int  // since the server was last cleared
	successes      int  // consecutive
	trialRunning   bool // a trial request has been sent and not answered
}

// rank returns the current rank of the server.
func (h *health) rank(now time.Time) int {
	switch {
	case now.Before(h.suspectedUntil):
		return rankBad
	case h.failures > 0 && h.trialRunning && h.successes == 0:
		return rankBad
	case now.Before(h.fullUntil):
		return rankTrial
	}
	return rankGood
}

// recordFailure records a failure and reports whether the server is newly suspected.
func (h *health) recordFailure(now time.Time) bool {
	newlySuspected := !now.Before(h.suspectedUntil)
	h.successes = 0
	h.trialRunning = false
	if newlySuspected {
		h.failures++
	}
	duration := firstSuspicion << min(max(h.failures-1, 0), maxDoublings)
	h.suspectedUntil = now.Add(min(duration, longestSuspicion))
	return newlySuspected
}

// recordSuccess records a success and reports whether it clears the server.
func (h *health) recordSuccess() bool {
	h.trialRunning = false
	h.successes++
	if h.failures == 0 || h.successes < successesToClear {
		return false
	}
	h.failures = 0
	return true
}

// recordFull records that the server refused a request because it was full.
func (h *health) recordFull(now time.Time) { h.fullUntil = now.Add(fullPause) }

// rankOf returns the rank of the server by the requests of this router, and by the reports of
// other routers if these requests show no problem.
func (p *Picker) rankOf(s *server, now time.Time) int {
	rank := s.health.rank(now)
	if rank == rankGood && s.suspectedByPeers {
		return rankBad
	}
	return rank
}

// updatePeerSuspicions determines which servers are passed over because other routers suspect
// them.
func (p *Picker) updatePeerSuspicions() {
	for _, s := range p.suspectedByPeers {
		s.suspectedByPeers = false
	}
	p.suspectedByPeers = p.suspectedByPeers[:0]
	suspected := map[string][]*server{}
	for s := range p.loaded {
		if s.accepts && s.peerLoad.Suspicions >= minPeerSuspicions {
			suspected[s.Service] = append(suspected[s.Service], s)
		}
	}
	for service, list := range suspected {
		if float64(len(list)) > maxSuspectedShare*float64(len(p.services[service])) {
			continue
		}
		for _, s := range list {
			s.suspectedByPeers = true
		}
		p.suspectedByPeers = append(p.suspectedByPeers, list...)
	}
}
