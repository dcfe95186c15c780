package share

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/msg"
)

// members is the set of live routers, in the order that defines the tree.
type members struct {
	list []Member
	byID map[msg.RouterID]int // index in list

	allLeaving bool
}

func newMembers(list []Member) members {
	m := members{list: append([]Member(nil), list...), byID: map[msg.RouterID]int{}, allLeaving: true}
	sort.Slice(m.list, func(i, j int) bool {
		a, b := m.list[i], m.list[j]
		if a.DataCentre != b.DataCentre {
			return a.DataCentre < b.DataCentre
		}
		return a.ID < b.ID
	})
	for i, x := range m.list {
		m.byID[x.ID] = i
		m.allLeaving = m.allLeaving && x.Leaving
	}
	return m
}

func withSelf(list []Member, self Member) []Member {
	out := []Member{self}
	for _, m := range list {
		if m.ID == self.ID {
			out[0].Leaving = m.Leaving
			continue
		}
		out = append(out, m)
	}
	return out
}

// equal reports whether the list has the same members with the same attributes.
func (m members) equal(list []Member) bool {
	if len(list) != len(m.list) {
		return false
	}
	for _, x := range list {
		if i, ok := m.byID[x.ID]; !ok || m.list[i] != x {
			return false
		}
	}
	return true
}

func (m members) contains(id msg.RouterID) bool {
	_, ok := m.byID[id]
	return ok
}

// owner returns the live router that rendezvous hashing assigns the name to:
// the one with the highest hash of router and name. When a router is removed,
// only the names that it owned move. A leaving router owns nothing, unless all
// routers are leaving.
func (m members) owner(kind byte, name string) msg.RouterID {
	var best msg.RouterID
	var high uint64
	h := mix64(uint64(kind) ^ xxhash.Sum64String(name))
	for _, x := range m.list {
		if x.Leaving && !m.allLeaving {
			continue
		}
		v := mix64(h ^ xxhash.Sum64String(string(x.ID)))
		if best == "" || v > high || (v == high && x.ID < best) {
			best, high = x.ID, v
		}
	}
	return best
}

// Kinds of names that rendezvous hashing assigns to routers.
const (
	ownerOfServer byte = 's' // the router that admits to a server
	ownerOfPool   byte = 'p' // the router that keeps a pool's directory
)

// mix64 spreads the bits of x (the finalizer of splitmix64).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
