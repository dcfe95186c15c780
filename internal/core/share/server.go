package share

import (
	"math"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
)

// reportLag is how far a server's load report may lag: requests granted within
// this time may account for what a report counts as running.
const reportLag = 1500 * time.Millisecond

// poolServer is a backend server that this router admits to, or admitted to
// before.
type poolServer struct {
	id                  msg.ServerID
	owned               bool // rendezvous hashing currently assigns the server to this router
	reported            bool // a load report has arrived since the server was assigned
	leaving             bool
	pools               []msg.PoolID
	nextPool            int // index of the pool that is next in the rotation
	limit               concurrencyLimit
	outstanding         int // grants not yet ended
	peakOutstanding     int // highest value of outstanding in the current window
	lastPeakOutstanding int // highest value in the previous window
	windowStart         time.Duration
	untracked           int // requests running there without a grant of this router
	nextProbeAt         time.Duration
	callSeconds         runningMean // mean duration of a plain service's call, as measured by its entry
	overheadSeconds     runningMean // mean time between grant and release beyond the call's duration
}

// freeSlots returns how many more requests may be granted at the server.
func (s *poolServer) freeSlots() int {
	if !s.owned || !s.reported || s.leaving {
		return 0
	}
	return int(s.limit.value) + s.extraGrants() - s.outstanding - s.untracked
}

// extraGrants returns how many grants beyond the number of slots keep all slots
// busy while grants and releases are in transit. It is significant for short
// calls only.
func (s *poolServer) extraGrants() int {
	if !s.callSeconds.known || s.callSeconds.value <= 0 {
		return 0
	}
	part := min(1, s.overheadSeconds.value/s.callSeconds.value)
	return int(math.Round(part * s.limit.value))
}

// recordCall records how long a plain service's call occupied its slot.
func (s *poolServer) recordCall(held, total time.Duration) {
	s.callSeconds.add(total.Seconds())
	s.overheadSeconds.add(max(0, held-total).Seconds())
}

// addOutstanding adds n to the outstanding grants and updates their peaks.
func (s *poolServer) addOutstanding(now time.Duration, n int) {
	if now-s.windowStart >= reportLag {
		s.lastPeakOutstanding, s.peakOutstanding, s.windowStart = s.peakOutstanding, s.outstanding, now
	}
	s.outstanding += n
	s.peakOutstanding = max(s.peakOutstanding, s.outstanding)
}

// applyReport applies a load report. Running requests in excess of the most
// that this router can have started within reportLag were started by another
// admitter, or by this router before a restart.
func (s *poolServer) applyReport(now time.Duration, r LoadReport) {
	s.addOutstanding(now, 0)
	s.reported, s.leaving = true, r.Leaving
	s.untracked = max(0, r.Running+r.Queued-max(s.peakOutstanding, s.lastPeakOutstanding))
	queued := r.Queued
	if s.untracked > 0 {
		queued = 0 // the queue is not caused by this router, and freeSlots already allows for untracked requests
	}
	s.limit.applyReport(now, r.Slots, queued)
}
