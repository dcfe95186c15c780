package share

import (
	"math"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// peakWindow is how long a server's load report may lag: grants of that time
// explain what a report says is running.
const peakWindow = 1500 * time.Millisecond

// poolServer is a backend server that this router admits to, or did.
type poolServer struct {
	id       msg.ServerID
	owned    bool // rendezvous hashing gives it to this router now
	reported bool // there was a load report since
	leaving  bool
	pools    []msg.PoolID
	turn     int // the pool whose turn it is
	limit    limit
	held     int // grants not yet ended
	peak     int // most held in this window and in the last one
	lastPeak int
	peakAt   time.Duration
	foreign  int // running there without a grant of this router
	probeAt  time.Duration
	total    mean // seconds a short call takes, as its entry sees it
	overhead mean // seconds between its grant and its end beyond that
}

// free is how many more requests may run there.
func (s *poolServer) free() int {
	if !s.owned || !s.reported || s.leaving {
		return 0
	}
	return int(s.limit.value) + s.ahead() - s.held - s.foreign
}

// ahead is how many grants more than slots it takes that none is idle while
// grants and ends are under way. It matters for short calls only.
func (s *poolServer) ahead() int {
	if !s.total.known || s.total.value <= 0 {
		return 0
	}
	part := min(1, s.overhead.value/s.total.value)
	return int(math.Round(part * s.limit.value))
}

// called notes how long a plain service's call held its slot.
func (s *poolServer) called(held, total time.Duration) {
	s.total.add(total.Seconds())
	s.overhead.add(max(0, held-total).Seconds())
}

func (s *poolServer) hold(now time.Duration, n int) {
	if now-s.peakAt >= peakWindow {
		s.lastPeak, s.peak, s.peakAt = s.peak, s.held, now
	}
	s.held += n
	s.peak = max(s.peak, s.held)
}

// report takes a load report. What runs beyond the most that this router can
// have started in the report's time was started by another admitter, or
// before a restart.
func (s *poolServer) report(now time.Duration, r LoadReport) {
	s.hold(now, 0)
	s.reported, s.leaving = true, r.Leaving
	s.foreign = max(0, r.Running+r.Queued-max(s.peak, s.lastPeak))
	queued := r.Queued
	if s.foreign > 0 {
		queued = 0 // not of this router's making, and held back for already
	}
	s.limit.report(now, r.Slots, queued)
}
