package spread

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest stands for the live routers of a data centre: two lists with the same one are the same.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Routers int
	Sum     uint64 // of the hashes of their names and sizes, by exclusive or
}

// coresSpread spreads sizes over all bits of a hash: 2^64 over the golden ratio.
const coresSpread = 0x9e3779b97f4a7c15

// toggle adds a router to the sum, or takes it out again.
func (d *Digest) toggle(m Member) {
	d.Sum ^= xxhash.Sum64String(m.Addr) ^ uint64(math.Float32bits(m.Cores))*coresSpread
}

// Digest returns that of a data centre as this router knows it, itself included.
func (s *Spread) Digest(dataCentre string) Digest {
	d := s.centre(dataCentre).digest
	if dataCentre == s.self.DataCentre {
		d.toggle(s.self)
		d.Routers++
	}
	return d
}

// Digests returns those of all data centres.
func (s *Spread) Digests() map[string]Digest {
	all := map[string]Digest{}
	for name := range s.centres {
		if d := s.Digest(name); name != "" && d.Routers > 0 {
			all[name] = d
		}
	}
	return all
}

// Compare notes what another router says of data centres of which this one is told by it, and
// returns those of which it has another list. What is the same counts as heard now.
func (s *Spread) Compare(told map[string]Digest, now time.Time) (differ []string) {
	for name, d := range told {
		if s.Digest(name) != d {
			differ = append(differ, name)
			continue
		}
		s.centre(name).confirmed = now
	}
	slices.Sort(differ)
	return differ
}

// Members returns the live routers of a data centre, this one included.
func (s *Spread) Members(dataCentre string) (list []Member) {
	for _, e := range s.centre(dataCentre).members {
		list = append(list, e.Member)
	}
	if dataCentre == s.self.DataCentre {
		list = append(list, s.self)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	return list
}

// SetMembers takes the whole list of a data centre from another router. Who is not on it, and was
// not heard lately by this router itself, is not live.
func (s *Spread) SetMembers(dataCentre string, list []Member, now time.Time) {
	named := make(map[string]bool, len(list))
	for _, m := range list {
		named[m.Addr] = true
		m.DataCentre = dataCentre
		s.Heard(m, 0, now)
	}
	for _, e := range s.centre(dataCentre).members {
		if !named[e.Addr] && now.Sub(e.direct) >= LiveFor {
			s.silence(e)
		}
	}
}

// changesMost bounds the changes that are told at a time: more show by the digest.
const changesMost = 64

// Changes are routers that have become live or silent.
type Changes struct{ Joined, Left []Member }

// Of returns the changes of a data centre.
func (c Changes) Of(dataCentre string) Changes {
	other := func(m Member) bool { return m.DataCentre != dataCentre }
	return Changes{
		Joined: slices.DeleteFunc(slices.Clone(c.Joined), other),
		Left:   slices.DeleteFunc(slices.Clone(c.Left), other),
	}
}

// note adds a router to the ones and takes it off the others.
func (c *Changes) note(m Member, to, from *[]Member) {
	*from = slices.DeleteFunc(*from, func(o Member) bool { return o.Addr == m.Addr })
	if len(c.Joined)+len(c.Left) < changesMost {
		*to = append(*to, m)
	}
}

func (c *Changes) joined(m Member) { c.note(m, &c.Joined, &c.Left) }
func (c *Changes) left(m Member)   { c.note(m, &c.Left, &c.Joined) }

// Plus returns the changes followed by later ones.
func (c Changes) Plus(o Changes) Changes {
	for _, m := range o.Joined {
		c.joined(m)
	}
	for _, m := range o.Left {
		c.left(m)
	}
	return c
}

// TakeChanges returns the changes since it was called last, changesMost at most.
func (s *Spread) TakeChanges() Changes {
	c := s.changes
	s.changes = Changes{}
	return c
}

// TakeTold takes changes from another router's report.
func (s *Spread) TakeTold(c Changes, now time.Time) {
	for _, m := range c.Joined {
		s.Heard(m, 0, now)
	}
	for _, m := range c.Left {
		if e := s.known[m.Addr]; e != nil && now.Sub(e.direct) >= LiveFor {
			s.silence(e)
		}
	}
}
