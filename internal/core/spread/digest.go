package spread

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies the set of live routers of a data centre: equal lists have equal digests.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Routers int
	Sum     uint64 // exclusive or of the hashes of their addresses and sizes
}

// coresHashFactor spreads sizes over all bits of a hash: 2^64 divided by the golden ratio.
const coresHashFactor = 0x9e3779b97f4a7c15

// toggle adds a router to the sum, or removes it.
func (d *Digest) toggle(m Member) {
	d.Sum ^= xxhash.Sum64String(m.Addr) ^ uint64(math.Float32bits(m.Cores))*coresHashFactor
}

// Digest returns the digest of a data centre in this router's view, which includes the router
// itself.
func (v *View) Digest(dataCentre string) Digest {
	d := v.centre(dataCentre).digest
	if dataCentre == v.self.DataCentre {
		d.toggle(v.self)
		d.Routers++
	}
	return d
}

// Digests returns the digests of all data centres with live routers.
func (v *View) Digests() map[string]Digest {
	all := map[string]Digest{}
	for name := range v.centres {
		if d := v.Digest(name); name != "" && d.Routers > 0 {
			all[name] = d
		}
	}
	return all
}

// CompareDigests compares a peer's digests with this view, for data centres whose members this
// router learns from that peer. It returns the data centres that differ. A matching digest
// confirms all members of its data centre.
func (v *View) CompareDigests(digests map[string]Digest, now time.Time) (differ []string) {
	for name, d := range digests {
		if v.Digest(name) != d {
			differ = append(differ, name)
			continue
		}
		v.centre(name).confirmed = now
	}
	slices.Sort(differ)
	return differ
}

// Members returns the live routers of a data centre, including this one.
func (v *View) Members(dataCentre string) (list []Member) {
	for _, e := range v.centre(dataCentre).members {
		list = append(list, e.Member)
	}
	if dataCentre == v.self.DataCentre {
		list = append(list, v.self)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	return list
}

// SetMembers applies a peer's whole list of a data centre. Routers that are neither listed nor
// recently heard directly are marked silent.
func (v *View) SetMembers(dataCentre string, list []Member, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Addr] = true
		m.DataCentre = dataCentre
		v.Observe(m, 0, now)
	}
	for _, e := range v.centre(dataCentre).members {
		if !listed[e.Addr] && now.Sub(e.lastDirect) >= LiveTimeout {
			v.markSilent(e)
		}
	}
}

// maxChanges limits the changes sent at a time; further ones are found through the digest.
const maxChanges = 64

// Changes lists routers that became live or silent.
type Changes struct{ Joined, Left []Member }

// In returns the changes in one data centre.
func (c Changes) In(dataCentre string) Changes {
	other := func(m Member) bool { return m.DataCentre != dataCentre }
	return Changes{
		Joined: slices.DeleteFunc(slices.Clone(c.Joined), other),
		Left:   slices.DeleteFunc(slices.Clone(c.Left), other),
	}
}

// record adds a router to one list and removes it from the other.
func (c *Changes) record(m Member, to, from *[]Member) {
	*from = slices.DeleteFunc(*from, func(o Member) bool { return o.Addr == m.Addr })
	if len(c.Joined)+len(c.Left) < maxChanges {
		*to = append(*to, m)
	}
}

func (c *Changes) joined(m Member) { c.record(m, &c.Joined, &c.Left) }
func (c *Changes) left(m Member)   { c.record(m, &c.Left, &c.Joined) }

// Merge returns the changes combined with later ones.
func (c Changes) Merge(o Changes) Changes {
	for _, m := range o.Joined {
		c.joined(m)
	}
	for _, m := range o.Left {
		c.left(m)
	}
	return c
}

// TakeChanges returns the changes since the previous call, up to maxChanges.
func (v *View) TakeChanges() Changes {
	c := v.changes
	v.changes = Changes{}
	return c
}

// ApplyChanges applies changes from a peer's report.
func (v *View) ApplyChanges(c Changes, now time.Time) {
	for _, m := range c.Joined {
		v.Observe(m, 0, now)
	}
	for _, m := range c.Left {
		if e := v.known[m.Addr]; e != nil && now.Sub(e.lastDirect) >= LiveTimeout {
			v.markSilent(e)
		}
	}
}
