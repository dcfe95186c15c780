// Package spread decides which routers tell which others of their load, so that
// everyone knows the fleet's total at a bounded cost. In a small fleet each
// tells each. In a larger one the routers of a data centre tell two reporters,
// the ones with the most processor time; reporters tell the sum to the reporters of
// the other data centres, and the total to the routers of their own. Nobody is
// elected: all rank the routers that they hear of alike, and while their views
// differ some reports come twice or from two senders, which does no harm.
//
// The package has no input or output; time comes in as an argument.
package spread

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// meshMost is the largest fleet in which each router tells each: above it
	// the datagrams, which grow with the square, cost more than a reporter's
	// delay. 58 routers in a mesh sent 1 GB between data centres in 48 s.
	meshMost = 12
	// reportersEach is how many reporters a data centre has: one may be lost
	// without a report missing.
	reportersEach = 2
	// readersMost is how many routers of a large fleet follow the store for the
	// rest: calls are priced, and one or two readers may be lost without a report
	// missing. Two in each of 5 data centres made calls worth 3.2% of
	// what 64 routers earned in a quiet minute, three in all 1.4%.
	readersMost = 3
	// standInFirst is how many routers of a data centre follow the store for it as soon as
	// the readers' answers are old, and standInDoubles the time in which these become
	// twice as many: while the store serves none, each that asks costs calls.
	standInFirst   = 2
	standInDoubles = 2 * time.Second
	// fullPaceMost is the largest fleet whose routers tell at each tick. Above it
	// what a reporter sends and all take in would grow with the fleet: each doubling
	// halves the pace.
	fullPaceMost = 96
	// LiveFor is how long a router counts as live after the last report of it,
	// its own or a reporter's.
	LiveFor = 2 * time.Second
	// probeEvery is how often a silent router is told: it may be back.
	probeEvery = 2 * time.Second
	// forgetAfter is when a silent router is forgotten, unless it is a seed.
	forgetAfter = 90 * time.Second
	// maxDoublings keeps a number of routers within an int.
	maxDoublings = 16
)

// Member is a router.
type Member struct {
	Addr       string  // its control address, IP:port: its name in the fleet
	DataCentre string  // empty: not known yet
	Cores      float64 // processor time that it has, in cores; 0: not known yet
}

// before orders members by how well they can report: the most processor time
// first, then the lowest address. A reporter takes in the reports of its whole
// data centre, some 1,000 a second in a fleet of 58, which a small host can't.
func (m Member) before(o Member) int {
	if c := cmp.Compare(o.Cores, m.Cores); c != 0 {
		return c
	}
	return strings.Compare(m.Addr, o.Addr)
}

// entry is what is known of another router.
type entry struct {
	Member
	heard  time.Time // last report of it
	probed time.Time // last probe
	seed   bool
	live   bool
}

// Spread is one router's view of the fleet. It is not safe for concurrent use.
type Spread struct {
	self  Member
	known map[string]*entry
	// ranked is derived from known and is worked out anew when it is nil.
	ranked *ranking
}

// ranking is the live routers in order.
type ranking struct {
	live      []Member            // the others, by address
	reporters map[string][]string // of each data centre, this router counted
	readers   []string            // of the store
	place     int                 // of this router in its data centre
}

// New returns the view of a router that knows no other.
func New(self Member) *Spread { return &Spread{self: self, known: map[string]*entry{}} }

// Add makes a router known without a report of it.
func (s *Spread) Add(m Member, seed bool, now time.Time) {
	if m.Addr == s.self.Addr {
		return
	}
	e := s.known[m.Addr]
	if e == nil {
		e = &entry{Member: m, heard: now.Add(-LiveFor)}
		s.known[m.Addr] = e
	}
	if m.DataCentre != "" && m.DataCentre != e.DataCentre {
		e.DataCentre = m.DataCentre
		s.ranked = nil
	}
	if m.Cores > 0 && m.Cores != e.Cores {
		e.Cores = m.Cores
		s.ranked = nil
	}
	e.seed = e.seed || seed
}

// Heard notes a report of a router, its own or one by which a reporter vouches
// for it, age ago. It reports whether the router was silent before.
func (s *Spread) Heard(m Member, age time.Duration, now time.Time) bool {
	if m.Addr == s.self.Addr {
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
	e.live = true
	s.ranked = nil
	return true
}

// Tick drops routers that have been silent for long, and returns those that
// have fallen silent.
func (s *Spread) Tick(now time.Time) (lost []string) {
	for addr, e := range s.known {
		silent := now.Sub(e.heard)
		if e.live && silent >= LiveFor {
			e.live = false
			s.ranked = nil
			lost = append(lost, addr)
		}
		if silent > forgetAfter && !e.seed {
			delete(s.known, addr)
		}
	}
	slices.Sort(lost)
	return lost
}

// rank returns the live routers in order.
func (s *Spread) rank() *ranking {
	if s.ranked != nil {
		return s.ranked
	}
	r := &ranking{reporters: map[string][]string{}}
	for _, e := range s.known {
		if e.live {
			r.live = append(r.live, e.Member)
		}
	}
	all := append([]Member{s.self}, r.live...)
	slices.SortFunc(all, Member.before)
	for _, m := range all {
		if m.DataCentre == s.self.DataCentre && m.before(s.self) < 0 {
			r.place++
		}
		if list := r.reporters[m.DataCentre]; len(list) < reportersEach {
			r.reporters[m.DataCentre] = append(list, m.Addr)
		}
	}
	slices.SortFunc(r.live, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	r.readers = readers(r.reporters)
	s.ranked = r
	return r
}

// readers returns the first reporters of the data centres in the order of their
// names, then the second ones, up to readersMost. Routers whose data centre is
// not known yet are left out.
func readers(reporters map[string][]string) (list []string) {
	centres := slices.Sorted(maps.Keys(reporters))
	for place := range reportersEach {
		for _, centre := range centres {
			if centre != "" && place < len(reporters[centre]) && len(list) < readersMost {
				list = append(list, reporters[centre][place])
			}
		}
	}
	return list
}

// Live returns the other routers of which a report came lately, in the order of
// their addresses. The list is not to be changed.
func (s *Spread) Live() []Member { return s.rank().live }

// Age returns how long ago the last report of a router came.
func (s *Spread) Age(addr string, now time.Time) time.Duration {
	if e := s.known[addr]; e != nil {
		return now.Sub(e.heard)
	}
	return forgetAfter
}

// Count returns how many routers there are, this one and those that have been
// silent for a short time included.
func (s *Spread) Count() int { return len(s.known) + 1 }

// Fleet returns the addresses of the other routers that were ever heard of and are not
// forgotten, and whether most of them are live.
func (s *Spread) Fleet() (others []string, most bool) {
	for addr, e := range s.known {
		if e.DataCentre != "" {
			others = append(others, addr)
		}
	}
	return others, 2*(len(s.Live())+1) > len(others)+1
}

// Pace is in how many ticks routers tell each other, a power of two: 1 in a
// fleet of today's sizes, 8 at 410 routers.
func (s *Spread) Pace() int {
	pace := 1
	for s.Count() > fullPaceMost*pace {
		pace *= 2
	}
	return pace
}

// Mesh reports whether each router tells each.
func (s *Spread) Mesh() bool { return len(s.Live())+1 <= meshMost }

// Reporters returns the reporters of a data centre. The list is not to be
// changed.
func (s *Spread) Reporters(dataCentre string) []string { return s.rank().reporters[dataCentre] }

// Reporter reports whether this router is a reporter.
func (s *Spread) Reporter() bool {
	return slices.Contains(s.Reporters(s.self.DataCentre), s.self.Addr)
}

// FirstReporter reports whether this router is the first reporter of its data centre.
func (s *Spread) FirstReporter() bool {
	reporters := s.Reporters(s.self.DataCentre)
	return len(reporters) > 0 && reporters[0] == s.self.Addr
}

// Reader reports whether this router follows the store for others.
func (s *Spread) Reader() bool { return slices.Contains(s.rank().readers, s.self.Addr) }

// StandsIn reports whether this router follows the store for its data centre when the
// answers that the readers report are late by so much. All routers of a data centre
// rank each other alike.
func (s *Spread) StandsIn(late time.Duration) bool {
	if late < 0 {
		return false
	}
	doublings := min(int(late/standInDoubles), maxDoublings)
	return s.rank().place < standInFirst<<doublings
}

// Targets are the routers to tell something.
type Targets struct {
	Own   []string // this router's own load
	Sum   []string // the sum of this data centre
	Total []string // the sum of the fleet
}

// Targets returns whom to tell at the moment. Silent routers are probed now and then with this
// router's own load. turn counts the times at which the sum of this data centre is told: it
// goes to one reporter of each other data centre, another each time, while this centre's other
// reporter tells the other one.
func (s *Spread) Targets(now time.Time, turn int) Targets {
	var t Targets
	live := s.Live()
	switch {
	case s.Mesh():
		for _, m := range live {
			t.Own = append(t.Own, m.Addr)
		}
	case s.Reporter():
		t = s.reporterTargets(live, turn)
	default:
		t.Own = slices.Clone(s.Reporters(s.self.DataCentre))
	}
	t.Own = append(t.Own, s.probes(now)...)
	return t
}

// reporterTargets returns whom a reporter tells.
func (s *Spread) reporterTargets(live []Member, turn int) Targets {
	var t Targets
	mine := s.Reporters(s.self.DataCentre)
	place := slices.Index(mine, s.self.Addr)
	others := map[string]bool{}
	for _, m := range live {
		switch {
		case m.DataCentre != s.self.DataCentre:
			if !others[m.DataCentre] {
				others[m.DataCentre] = true
				theirs := s.Reporters(m.DataCentre)
				t.Sum = append(t.Sum, theirs[(turn+place)%len(theirs)])
			}
		case slices.Contains(mine, m.Addr):
			t.Own = append(t.Own, m.Addr) // the other reporter sums up too
		default:
			t.Total = append(t.Total, m.Addr)
		}
	}
	return t
}

// probes returns silent routers whose turn it is.
func (s *Spread) probes(now time.Time) []string {
	var list []string
	for addr, e := range s.known {
		if e.live || now.Sub(e.probed) < probeEvery {
			continue
		}
		e.probed = now
		list = append(list, addr)
	}
	slices.Sort(list)
	return list
}
