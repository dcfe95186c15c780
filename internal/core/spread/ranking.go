package spread

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportersEach is how many reporters a data centre has: one may be lost
	// without a report missing.
	reportersEach = 2
	// headsEach is how many routers of a data centre, the first in the ranking, routers tell each
	// other of: by them all agree on its reporters.
	headsEach = 3
	// headOld is the age from which a report of a head is not told on: what routers tell each
	// other would go round for ever.
	headOld = 3 * LiveFor
	// readersMost is how many routers of a large fleet follow the store for the
	// rest: calls are priced, and one or two readers may be lost without a report
	// missing.
	readersMost = 3
	// standInFirst is how many routers of a data centre follow the store for it as soon as
	// the readers' answers are old, and standInDoubles the time in which these become
	// twice as many: while the store serves none, each that asks costs calls.
	standInFirst   = 2
	standInDoubles = 2 * time.Second
	// maxDoublings keeps a number of routers within an int.
	maxDoublings = 16
)

// centre is what is known of the routers of a data centre. This router itself is not among them.
type centre struct {
	spread    *Spread
	members   map[string]*entry // live ones
	heads     []*entry          // the first ones in the ranking; nil: to be worked out
	digest    Digest
	confirmed time.Time // when another router last said the same of it
}

// centre returns that of a name.
func (s *Spread) centre(name string) *centre {
	c := s.centres[name]
	if c == nil {
		c = &centre{spread: s, members: map[string]*entry{}}
		s.centres[name] = c
	}
	return c
}

func (c *centre) add(e *entry) {
	c.members[e.Addr] = e
	c.digest.toggle(e.Member)
	c.digest.Routers++
	c.unrank()
}

func (c *centre) remove(e *entry) {
	if c.members[e.Addr] != e {
		return
	}
	delete(c.members, e.Addr)
	c.digest.toggle(e.Member)
	c.digest.Routers--
	c.unrank()
}

// unrank has the heads worked out anew, and who follows the store.
func (c *centre) unrank() {
	c.heads = nil
	c.spread.readers = nil
}

// rank returns the first routers in the ranking, of those that answer.
func (c *centre) rank() []*entry {
	if c.heads != nil {
		return c.heads
	}
	heads := make([]*entry, 0, headsEach+1)
	for _, e := range c.members {
		if e.mute {
			continue
		}
		at, _ := slices.BinarySearchFunc(heads, e, func(a, b *entry) int { return a.before(b.Member) })
		if at < headsEach {
			heads = slices.Insert(heads, at, e)
			heads = heads[:min(len(heads), headsEach)]
		}
	}
	c.heads = heads
	return heads
}

// first returns the first n routers of a data centre in the ranking, this one included.
func (s *Spread) first(dataCentre string, n int) []Member {
	var list []Member
	for _, e := range s.centre(dataCentre).rank() {
		list = append(list, e.Member)
	}
	if dataCentre == s.self.DataCentre {
		list = append(list, s.self)
		slices.SortFunc(list, Member.before)
	}
	return list[:min(n, len(list))]
}

// Reporters returns the reporters of a data centre.
func (s *Spread) Reporters(dataCentre string) []string {
	var addrs []string
	for _, m := range s.first(dataCentre, reportersEach) {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// place returns how many routers of this one's data centre come before it, up to reportersEach.
func (s *Spread) place() (n int) {
	for _, e := range s.centre(s.self.DataCentre).rank() {
		if e.before(s.self) < 0 {
			n++
		}
	}
	return min(n, reportersEach)
}

// Reporter reports whether this router is a reporter.
func (s *Spread) Reporter() bool { return s.place() < reportersEach }

// FirstReporter reports whether this router is the first reporter of its data centre.
func (s *Spread) FirstReporter() bool { return s.place() == 0 }

// Readers returns the routers that follow the store, not to be changed: the first reporters of the data centres in
// the order of their names, then the second ones, up to readersMost. Routers whose data centre
// is not known yet are left out.
func (s *Spread) Readers() []string {
	if s.readers != nil {
		return s.readers
	}
	reporters := map[string][]string{}
	for name := range s.centres {
		reporters[name] = s.Reporters(name)
	}
	s.readers = readers(reporters)
	return s.readers
}

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

// Reader reports whether this router follows the store for others.
func (s *Spread) Reader() bool { return slices.Contains(s.Readers(), s.self.Addr) }

// StandsIn reports whether this router follows the store for its data centre when the
// answers that the readers report are late by so much. All routers of a data centre
// rank each other alike.
func (s *Spread) StandsIn(late time.Duration) bool {
	if late < 0 {
		return false
	}
	doublings := min(int(late/standInDoubles), maxDoublings)
	most := standInFirst << doublings
	before := 0
	for _, e := range s.centre(s.self.DataCentre).members {
		if !e.mute && e.before(s.self) < 0 {
			before++
		}
	}
	return before < most
}

// Vouched is a router of which another tells.
type Vouched struct {
	Member
	Age time.Duration // of the last report of it
}

// Heads returns the routers by which others agree on reporters: the first ones of each data
// centre, this router included where it is one of them.
func (s *Spread) Heads(now time.Time) (list []Vouched) {
	for _, name := range slices.Sorted(maps.Keys(s.centres)) {
		for _, m := range s.first(name, headsEach) {
			age := time.Duration(0)
			if e := s.known[m.Addr]; e != nil {
				age = now.Sub(e.heard)
			}
			if name != "" && age < headOld {
				list = append(list, Vouched{m, age})
			}
		}
	}
	return list
}
