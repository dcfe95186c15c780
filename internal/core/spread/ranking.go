package spread

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportersPerCentre is the number of reporters of a data centre. With two, the loss of one
	// loses no report.
	reportersPerCentre = 2
	// topRankedPerCentre is how many of the top-ranked routers of each data centre routers gossip
	// about, so that all agree on its reporters.
	topRankedPerCentre = 3
	// maxTopRankedAge is the age at which a report of a top-ranked router is no longer passed on.
	// Without a limit, routers would pass it to each other indefinitely.
	maxTopRankedAge = 3 * LiveTimeout
	// maxReaders is how many routers of a large fleet follow the store for all others. There are few
	// because each call to the store costs money, and three because one or two of them may be lost
	// without a missing report.
	maxReaders = 3
	// initialFallbackReaders is how many routers of a data centre follow the store as soon as the
	// readers' answers are overdue. The number doubles every fallbackDoublingTime. It is limited
	// because each of them makes calls, and the store may serve none.
	initialFallbackReaders = 2
	fallbackDoublingTime   = 2 * time.Second
	// maxDoublings keeps the number of fallback readers within an int.
	maxDoublings = 16
)

// centre holds the known routers of a data centre, without this router itself.
type centre struct {
	view      *View
	members   map[string]*entry // live routers by address
	top       []*entry          // top-ranked routers; nil if not computed
	digest    Digest
	confirmed time.Time // when a peer's digest last matched
}

// centre returns the state of a data centre and creates it if needed.
func (v *View) centre(name string) *centre {
	c := v.centres[name]
	if c == nil {
		c = &centre{view: v, members: map[string]*entry{}}
		v.centres[name] = c
	}
	return c
}

func (c *centre) add(e *entry) {
	c.members[e.Addr] = e
	c.digest.toggle(e.Member)
	c.digest.Routers++
	c.invalidateRanking()
}

func (c *centre) remove(e *entry) {
	if c.members[e.Addr] != e {
		return
	}
	delete(c.members, e.Addr)
	c.digest.toggle(e.Member)
	c.digest.Routers--
	c.invalidateRanking()
}

// invalidateRanking discards the top-ranked routers and the readers, which are then recomputed on
// demand.
func (c *centre) invalidateRanking() {
	c.top = nil
	c.view.readers = nil
}

// topRanked returns the top-ranked responsive routers.
func (c *centre) topRanked() []*entry {
	if c.top != nil {
		return c.top
	}
	top := make([]*entry, 0, topRankedPerCentre+1)
	for _, e := range c.members {
		if e.unresponsive {
			continue
		}
		pos, _ := slices.BinarySearchFunc(top, e, func(a, b *entry) int { return a.before(b.Member) })
		if pos < topRankedPerCentre {
			top = slices.Insert(top, pos, e)
			top = top[:min(len(top), topRankedPerCentre)]
		}
	}
	c.top = top
	return top
}

// topMembers returns the n top-ranked routers of a data centre, including this one.
func (v *View) topMembers(dataCentre string, n int) []Member {
	var list []Member
	for _, e := range v.centre(dataCentre).topRanked() {
		list = append(list, e.Member)
	}
	if dataCentre == v.self.DataCentre {
		list = append(list, v.self)
		slices.SortFunc(list, Member.before)
	}
	return list[:min(n, len(list))]
}

// Reporters returns the addresses of the reporters of a data centre.
func (v *View) Reporters(dataCentre string) []string {
	var addrs []string
	for _, m := range v.topMembers(dataCentre, reportersPerCentre) {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// rankIndex returns how many routers of the local data centre rank above this one, up to
// reportersPerCentre.
func (v *View) rankIndex() (n int) {
	for _, e := range v.centre(v.self.DataCentre).topRanked() {
		if e.before(v.self) < 0 {
			n++
		}
	}
	return min(n, reportersPerCentre)
}

// IsReporter reports whether this router is a reporter.
func (v *View) IsReporter() bool { return v.rankIndex() < reportersPerCentre }

// IsFirstReporter reports whether this router is the first reporter of its data centre.
func (v *View) IsFirstReporter() bool { return v.rankIndex() == 0 }

// Readers returns the routers that follow the store: the first reporters of the data centres in
// order of their names, then the second ones, up to maxReaders. Routers without a known data
// centre are left out. The caller must not modify the result.
func (v *View) Readers() []string {
	if v.readers != nil {
		return v.readers
	}
	reporters := map[string][]string{}
	for name := range v.centres {
		reporters[name] = v.Reporters(name)
	}
	v.readers = selectReaders(reporters)
	return v.readers
}

func selectReaders(reporters map[string][]string) (list []string) {
	centres := slices.Sorted(maps.Keys(reporters))
	for rank := range reportersPerCentre {
		for _, centre := range centres {
			if centre != "" && rank < len(reporters[centre]) && len(list) < maxReaders {
				list = append(list, reporters[centre][rank])
			}
		}
	}
	return list
}

// IsReader reports whether this router follows the store for others.
func (v *View) IsReader() bool { return slices.Contains(v.Readers(), v.self.Addr) }

// IsFallbackReader reports whether this router must follow the store for its data centre when the
// answers relayed by the readers are overdue by the given time. All routers of a data centre
// compute the same ranking.
func (v *View) IsFallbackReader(overdue time.Duration) bool {
	if overdue < 0 {
		return false
	}
	doublings := min(int(overdue/fallbackDoublingTime), maxDoublings)
	limit := initialFallbackReaders << doublings
	before := 0
	for _, e := range v.centre(v.self.DataCentre).members {
		if !e.unresponsive && e.before(v.self) < 0 {
			before++
		}
	}
	return before < limit
}

// RelayedMember is a router as reported by another one.
type RelayedMember struct {
	Member
	Age time.Duration // since its last report
}

// TopRanked returns the top-ranked routers of each data centre, including this one where it is
// among them. Peers use them to agree on the reporters.
func (v *View) TopRanked(now time.Time) (list []RelayedMember) {
	for _, name := range slices.Sorted(maps.Keys(v.centres)) {
		for _, m := range v.topMembers(name, topRankedPerCentre) {
			age := time.Duration(0)
			if e := v.known[m.Addr]; e != nil {
				age = now.Sub(e.lastSeen)
			}
			if name != "" && age < maxTopRankedAge {
				list = append(list, RelayedMember{m, age})
			}
		}
	}
	return list
}
