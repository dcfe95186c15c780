// Package spread tracks the routers of the fleet and decides which of them report their load to
// which others, so that every router knows the fleet's total at a bounded cost. In a small fleet
// every router reports to every other. In a larger one, the routers of a data centre report to two
// reporters, which are those with the most processor time. Reporters send the sum of their data
// centre to the reporters of the other data centres, and the fleet's total to the routers of their
// own. There is no election: each router ranks the routers that it knows by the same rule. While
// views differ, some reports arrive twice or from two senders, which is harmless.
//
// A reporter receives reports from the routers of its data centre directly. All other routers get
// the member list of a data centre from its reporters, as incremental changes and a digest that
// detects differences.
//
// The package does no I/O; time is passed in as an argument.
package spread

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxMeshSize is the largest fleet in which every router reports to every other. Above it the
	// datagrams, whose number grows with the square of the size, cost more than the delay through
	// a reporter.
	maxMeshSize = 12
	// maxFullRateFleet is the largest fleet whose routers report at each tick. Each doubling above
	// it halves the rate, down to one report in maxReportPeriod ticks. From there on, a reporter's
	// incoming traffic grows with its data centre.
	maxFullRateFleet = 96
	maxReportPeriod  = 16
	// LiveTimeout is how long a router counts as live after its last report, if this router
	// receives its reports directly or the fleet is a mesh.
	LiveTimeout = 2 * time.Second
	// relayedTimeout is the same for routers known through others. Their digests renew it with
	// each report. It is longer because, when both reporters of a data centre fail at once, its
	// routers must find the next ones among the routers that they know.
	relayedTimeout = 20 * time.Second
	// unresponsiveAfter is how long a reporter may leave reports unanswered before the next one in
	// the ranking gets them too.
	unresponsiveAfter = time.Second
	// scanInterval is how often all routers are checked for silence.
	scanInterval = 100 * time.Millisecond
	// forgetAfter is when a silent router is forgotten, unless it is a seed.
	forgetAfter = 90 * time.Second
)

// Member describes a router.
type Member struct {
	Addr       string  // control address, IP:port; identifies the router in the fleet
	DataCentre string  // empty if not known yet
	Cores      float32 // available processor time, in cores; 0 if not known yet
}

// before orders members by their suitability as reporters: most processor time first, then lowest
// address. A reporter handles the reports of its whole data centre, which a small host can't.
func (m Member) before(o Member) int {
	if c := cmp.Compare(o.Cores, m.Cores); c != 0 {
		return c
	}
	return strings.Compare(m.Addr, o.Addr)
}

// entry is the state of another router.
type entry struct {
	Member
	lastSeen        time.Time // last report of it, direct or relayed
	lastDirect      time.Time // last direct report
	liveSince       time.Time // when it became live
	unansweredSince time.Time // since when it has left reports unanswered; zero if it gets none
	lastProbe       time.Time // when it was last probed
	seed            bool
	live            bool
	unresponsive    bool
}

// View is one router's view of the fleet. It is not safe for concurrent use.
type View struct {
	self      Member
	maxMesh   int
	known     map[string]*entry
	centres   map[string]*centre
	liveCount int // live routers in known
	// reportedSize is the fleet size according to a peer, for a router that knows few others yet.
	reportedSize  int
	readers       []string  // routers that follow the store; nil if not computed
	lastScan      time.Time // last scan by Tick
	reporterSince time.Time // zero if this router is not a reporter
	directAt      time.Time // last direct report of any router
	changes       Changes   // since the last TakeChanges
	probeCursor   string    // address up to which silent routers were probed, in round-robin order
}

// New returns the view of a router that knows no others.
func New(self Member) *View {
	v := &View{self: self, maxMesh: maxMeshSize, known: map[string]*entry{}, centres: map[string]*centre{}}
	v.centre(self.DataCentre)
	return v
}

// Add adds a router without a report of it.
func (v *View) Add(m Member, seed bool, now time.Time) {
	if m.Addr == v.self.Addr || m.Addr == "" {
		return
	}
	e := v.known[m.Addr]
	if e == nil {
		e = &entry{Member: m, lastSeen: now.Add(-relayedTimeout)}
		v.known[m.Addr] = e
	}
	if m.DataCentre != "" && m.DataCentre != e.DataCentre || m.Cores > 0 && m.Cores != e.Cores {
		v.updateMember(e, m)
	}
	e.seed = e.seed || seed
}

// updateMember applies the data centre and the processor time from a report.
func (v *View) updateMember(e *entry, m Member) {
	live := e.live
	v.markSilent(e)
	if m.DataCentre != "" {
		e.DataCentre = m.DataCentre
	}
	if m.Cores > 0 {
		e.Cores = m.Cores
	}
	if live {
		v.markLive(e, e.liveSince)
	}
}

// Observe records a report of a router, direct or relayed by another one, that is as old as age.
// It reports whether the router was silent before.
func (v *View) Observe(m Member, age time.Duration, now time.Time) bool {
	if m.Addr == v.self.Addr || m.Addr == "" {
		return false
	}
	v.Add(m, false, now)
	e := v.known[m.Addr]
	if at := now.Add(-age); at.After(e.lastSeen) {
		e.lastSeen = at
	}
	if e.live || now.Sub(e.lastSeen) >= LiveTimeout {
		return false
	}
	v.markLive(e, now)
	return true
}

// ObserveDirect records a report that came from the router itself, and reports whether it was
// silent before.
func (v *View) ObserveDirect(m Member, now time.Time) bool {
	revived := v.Observe(m, 0, now)
	if e := v.known[m.Addr]; e != nil {
		v.directAt = now
		e.lastDirect = now
		e.unansweredSince = time.Time{}
		v.setUnresponsive(e, false)
	}
	return revived
}

// markLive marks a router as live.
func (v *View) markLive(e *entry, now time.Time) {
	e.live = true
	e.liveSince = now
	if v.directAt.IsZero() {
		v.directAt = now
	}
	v.liveCount++
	v.centre(e.DataCentre).add(e)
	v.changes.joined(e.Member)
}

func (v *View) markSilent(e *entry) {
	if !e.live {
		return
	}
	e.live = false
	e.unansweredSince = time.Time{}
	v.liveCount--
	v.centre(e.DataCentre).remove(e)
	v.changes.left(e.Member)
}

// setUnresponsive sets whether a router leaves reports unanswered.
func (v *View) setUnresponsive(e *entry, unresponsive bool) {
	if e.unresponsive == unresponsive {
		return
	}
	e.unresponsive = unresponsive
	v.centre(e.DataCentre).invalidateRanking()
}

// Tick forgets routers that have been silent for long, and returns those that have become silent
// or unresponsive.
func (v *View) Tick(now time.Time) (lost []string) {
	if now.Sub(v.lastScan) < scanInterval {
		return nil
	}
	v.lastScan = now
	switch reporter := v.IsReporter() && !v.IsMesh(); {
	case !reporter:
		v.reporterSince = time.Time{}
	case v.reporterSince.IsZero():
		v.reporterSince = now
	}
	for addr, e := range v.known {
		if e.live && v.isSilent(e, now) {
			v.markSilent(e)
			lost = append(lost, addr)
		}
		if !e.unresponsive && !e.unansweredSince.IsZero() && now.Sub(latest(e.lastDirect, e.unansweredSince)) >= unresponsiveAfter {
			v.setUnresponsive(e, true)
			lost = append(lost, addr)
		}
		if !e.live && now.Sub(e.lastSeen) > forgetAfter && !e.seed {
			delete(v.known, addr)
		}
	}
	slices.Sort(lost)
	return lost
}

// isSilent reports whether the last report of a live router is too old.
func (v *View) isSilent(e *entry, now time.Time) bool {
	switch {
	case v.IsMesh():
		return now.Sub(e.lastSeen) >= LiveTimeout
	case !v.reporterSince.IsZero() && e.DataCentre == v.self.DataCentre:
		return now.Sub(latest(latest(e.lastDirect, e.liveSince), v.reporterSince)) >= LiveTimeout
	}
	return now.Sub(latest(e.lastSeen, v.centre(e.DataCentre).confirmed)) >= relayedTimeout
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Live returns the other live routers in order of their addresses.
func (v *View) Live() []Member {
	list := make([]Member, 0, v.liveCount)
	for _, e := range v.known {
		if e.live {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	return list
}

// LiveCount returns the number of other live routers.
func (v *View) LiveCount() int { return v.liveCount }

// IsLive reports whether the router is live.
func (v *View) IsLive(addr string) bool {
	e := v.known[addr]
	return e != nil && e.live
}

// Age returns the age of the last report of a router.
func (v *View) Age(addr string, now time.Time) time.Duration {
	if e := v.known[addr]; e != nil {
		return now.Sub(e.lastSeen)
	}
	return forgetAfter
}

// SetFleetSize sets the fleet size according to a peer.
func (v *View) SetFleetSize(n int) { v.reportedSize = n }

// FleetSize returns the number of routers, including this one and those that have been silent only
// for a short time.
func (v *View) FleetSize() int { return max(len(v.known)+1, v.reportedSize) }

// KnownRouters returns the addresses of the other routers that have been heard of and not
// forgotten, and whether most of the fleet is live.
func (v *View) KnownRouters() (others []string, most bool) {
	for addr, e := range v.known {
		if e.DataCentre != "" {
			others = append(others, addr)
		}
	}
	return others, 2*(v.liveCount+1) > max(len(others)+1, v.reportedSize)
}

// ReportPeriod returns the number of ticks between reports, a power of two.
func (v *View) ReportPeriod() int {
	period := 1
	for v.FleetSize() > maxFullRateFleet*period && period < maxReportPeriod {
		period *= 2
	}
	return period
}

// IsMesh reports whether every router reports to every other.
func (v *View) IsMesh() bool { return v.liveCount+1 <= v.maxMesh }

// SetMaxMeshSize sets the size of the largest fleet in which every router reports to every other.
func (v *View) SetMaxMeshSize(n int) { v.maxMesh = n }

// Isolated reports whether this router has not heard from any other for so long that it must
// operate without them.
func (v *View) Isolated(now time.Time) bool { return !v.IsMesh() && now.Sub(v.directAt) >= LiveTimeout }
