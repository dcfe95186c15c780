// Package spread keeps which routers there are, and decides which of them tell which others of
// their load, so that everyone knows the fleet's total at a bounded cost. In a small fleet each
// tells each. In a larger one the routers of a data centre tell two reporters, the ones with the
// most processor time; reporters tell the sum to the reporters of the other data centres, and the
// total to the routers of their own. Nobody is elected: all rank the routers that they hear of
// alike, and while their views differ some reports come twice or from two senders, which does no
// harm.
//
// A reporter hears the routers of its data centre itself. All others have the list of a data
// centre from its reporters: changes as they come, and a digest by which a difference shows.
//
// The package has no input or output; time comes in as an argument.
package spread

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// meshMost is the largest fleet in which each router tells each: above it
	// the datagrams, which grow with the square, cost more than a reporter's
	// delay.
	meshMost = 12
	// fullPaceMost is the largest fleet whose routers tell at each tick. Above it each doubling
	// halves the pace, down to one in paceMost ticks: what a reporter takes in grows with its
	// data centre from there on.
	fullPaceMost = 96
	paceMost     = 16
	// LiveFor is how long a router counts as live after the last report of it, where it is to be
	// heard by this router itself or the fleet is a mesh.
	LiveFor = 2 * time.Second
	// vouchedFor is the same for a router that others vouch for: their digests renew it with each
	// report, and when both reporters of a data centre end at once its routers have to find the
	// next ones among those that they know.
	vouchedFor = 20 * time.Second
	// muteAfter is how long a reporter may leave this router without an answer before the next
	// one in the ranking is told too.
	muteAfter = time.Second
	// tickEvery is how often it is looked through all routers for those that are silent.
	tickEvery = 100 * time.Millisecond
	// forgetAfter is when a silent router is forgotten, unless it is a seed.
	forgetAfter = 90 * time.Second
)

// Member is a router.
type Member struct {
	Addr       string  // its control address, IP:port: its name in the fleet
	DataCentre string  // empty: not known yet
	Cores      float32 // processor time that it has, in cores; 0: not known yet
}

// before orders members by how well they can report: the most processor time
// first, then the lowest address. A reporter takes in the reports of its whole
// data centre, which a small host can't.
func (m Member) before(o Member) int {
	if c := cmp.Compare(o.Cores, m.Cores); c != 0 {
		return c
	}
	return strings.Compare(m.Addr, o.Addr)
}

// entry is what is known of another router.
type entry struct {
	Member
	heard  time.Time // last report of it, its own or another's
	direct time.Time // last report of its own
	since  time.Time // when it became live
	asked  time.Time // since when it has been told without an answer; zero: it is not told
	probed time.Time // last probe
	seed   bool
	live   bool
	mute   bool
}

// Spread is one router's view of the fleet. It is not safe for concurrent use.
type Spread struct {
	self    Member
	known   map[string]*entry
	centres map[string]*centre
	live    int // of known
	// fleet is how many routers another one said that there are, for who knows few yet.
	fleet         int
	readers       []string  // nil: to be worked out
	ticked        time.Time // when Tick last looked through all
	reporterSince time.Time // zero: this router is no reporter
	directAt      time.Time // when any router was heard itself
	changes       Changes   // since TakeChanges was called last
	probeAfter    string    // the address up to which silent routers were probed in turn
}

// New returns the view of a router that knows no other.
func New(self Member) *Spread {
	s := &Spread{self: self, known: map[string]*entry{}, centres: map[string]*centre{}}
	s.centre(self.DataCentre)
	return s
}

// Add makes a router known without a report of it.
func (s *Spread) Add(m Member, seed bool, now time.Time) {
	if m.Addr == s.self.Addr || m.Addr == "" {
		return
	}
	e := s.known[m.Addr]
	if e == nil {
		e = &entry{Member: m, heard: now.Add(-vouchedFor)}
		s.known[m.Addr] = e
	}
	if m.DataCentre != "" && m.DataCentre != e.DataCentre || m.Cores > 0 && m.Cores != e.Cores {
		s.describe(e, m)
	}
	e.seed = e.seed || seed
}

// describe takes over what a report says of a router.
func (s *Spread) describe(e *entry, m Member) {
	live := e.live
	s.silence(e)
	if m.DataCentre != "" {
		e.DataCentre = m.DataCentre
	}
	if m.Cores > 0 {
		e.Cores = m.Cores
	}
	if live {
		s.raise(e, e.since)
	}
}

// Heard notes a report of a router, its own or one by which another vouches for it, age ago. It
// reports whether the router was silent before.
func (s *Spread) Heard(m Member, age time.Duration, now time.Time) bool {
	if m.Addr == s.self.Addr || m.Addr == "" {
		return false
	}
	s.Add(m, false, now)
	e := s.known[m.Addr]
	if at := now.Add(-age); at.After(e.heard) {
		e.heard = at
	}
	if e.live || now.Sub(e.heard) >= LiveFor {
		return false
	}
	s.raise(e, now)
	return true
}

// HeardFrom notes a report of the router's own, and reports whether it was silent before.
func (s *Spread) HeardFrom(m Member, now time.Time) bool {
	found := s.Heard(m, 0, now)
	if e := s.known[m.Addr]; e != nil {
		s.directAt = now
		e.direct = now
		e.asked = time.Time{}
		s.setMute(e, false)
	}
	return found
}

// raise makes a router live, and silence ends that.
func (s *Spread) raise(e *entry, now time.Time) {
	e.live = true
	e.since = now
	if s.directAt.IsZero() {
		s.directAt = now
	}
	s.live++
	s.centre(e.DataCentre).add(e)
	s.changes.joined(e.Member)
}

func (s *Spread) silence(e *entry) {
	if !e.live {
		return
	}
	e.live = false
	e.asked = time.Time{}
	s.live--
	s.centre(e.DataCentre).remove(e)
	s.changes.left(e.Member)
}

// setMute notes whether a router leaves this one without an answer.
func (s *Spread) setMute(e *entry, mute bool) {
	if e.mute == mute {
		return
	}
	e.mute = mute
	s.centre(e.DataCentre).unrank()
}

// Tick drops routers that have been silent for long, and returns those that have fallen silent
// or leave this one without an answer.
func (s *Spread) Tick(now time.Time) (lost []string) {
	if now.Sub(s.ticked) < tickEvery {
		return nil
	}
	s.ticked = now
	switch reporter := s.Reporter() && !s.Mesh(); {
	case !reporter:
		s.reporterSince = time.Time{}
	case s.reporterSince.IsZero():
		s.reporterSince = now
	}
	for addr, e := range s.known {
		if e.live && s.isSilent(e, now) {
			s.silence(e)
			lost = append(lost, addr)
		}
		if !e.mute && !e.asked.IsZero() && now.Sub(later(e.direct, e.asked)) >= muteAfter {
			s.setMute(e, true)
			lost = append(lost, addr)
		}
		if !e.live && now.Sub(e.heard) > forgetAfter && !e.seed {
			delete(s.known, addr)
		}
	}
	slices.Sort(lost)
	return lost
}

// isSilent reports whether a live router has not been heard of for too long.
func (s *Spread) isSilent(e *entry, now time.Time) bool {
	switch {
	case s.Mesh():
		return now.Sub(e.heard) >= LiveFor
	case !s.reporterSince.IsZero() && e.DataCentre == s.self.DataCentre:
		return now.Sub(later(later(e.direct, e.since), s.reporterSince)) >= LiveFor
	}
	return now.Sub(later(e.heard, s.centre(e.DataCentre).confirmed)) >= vouchedFor
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Live returns the other routers that count as live, in the order of their addresses.
func (s *Spread) Live() []Member {
	list := make([]Member, 0, s.live)
	for _, e := range s.known {
		if e.live {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	return list
}

// LiveCount returns how many others count as live.
func (s *Spread) LiveCount() int { return s.live }

// IsLive reports whether the router counts as live.
func (s *Spread) IsLive(addr string) bool {
	e := s.known[addr]
	return e != nil && e.live
}

// Age returns how long ago the last report of a router came.
func (s *Spread) Age(addr string, now time.Time) time.Duration {
	if e := s.known[addr]; e != nil {
		return now.Sub(e.heard)
	}
	return forgetAfter
}

// SetFleet takes how many routers there are, as another one counts them.
func (s *Spread) SetFleet(n int) { s.fleet = n }

// Count returns how many routers there are, this one and those that have been silent for a short
// time included.
func (s *Spread) Count() int { return max(len(s.known)+1, s.fleet) }

// Fleet returns the addresses of the other routers that were ever heard of and are not
// forgotten, and whether most of them are live.
func (s *Spread) Fleet() (others []string, most bool) {
	for addr, e := range s.known {
		if e.DataCentre != "" {
			others = append(others, addr)
		}
	}
	return others, 2*(s.live+1) > max(len(others)+1, s.fleet)
}

// Pace is in how many ticks routers tell each other, a power of two.
func (s *Spread) Pace() int {
	pace := 1
	for s.Count() > fullPaceMost*pace && pace < paceMost {
		pace *= 2
	}
	return pace
}

// Mesh reports whether each router tells each.
func (s *Spread) Mesh() bool { return s.live+1 <= meshMost }

// Alone reports whether this router has heard no other one for so long that it has to do
// without them.
func (s *Spread) Alone(now time.Time) bool { return !s.Mesh() && now.Sub(s.directAt) >= LiveFor }
