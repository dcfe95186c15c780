package slowstart

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the routers among which permits are shared out, as one of them knows them. Those
// that have fallen silent count for long: a router that is cut off from others has the permits
// that it had, and no more.
type Fleet struct {
	self    uint64
	routers []uint64 // hashes of their names, without this one
	trusted bool
	changes int
}

// NewFleet returns that of a router which knows no others yet: it has no permits.
func NewFleet(self string) *Fleet { return &Fleet{self: xxhash.Sum64String(self)} }

// Set takes the other routers. trusted says that they are known well enough: most of them
// were heard of lately, and this router has had the time to hear of all.
func (f *Fleet) Set(others []string, trusted bool) {
	hashes := make([]uint64, 0, len(others))
	for _, name := range others {
		hashes = append(hashes, xxhash.Sum64String(name))
	}
	slices.Sort(hashes)
	if trusted == f.trusted && slices.Equal(hashes, f.routers) {
		return
	}
	f.routers = hashes
	f.trusted = trusted
	f.changes++
}

// Changes counts the changes of the fleet, for who keeps what Slots returned.
func (f *Fleet) Changes() int { return f.changes }

// PermitShare returns how many of a server's permits are this router's. The routers stand in the
// order of their hashes with the server's, and permits go round from the first one.
func (f *Fleet) PermitShare(server uint64, permits int) int {
	if !f.trusted || permits <= 0 {
		return 0
	}
	all := len(f.routers) + 1
	return max(0, (permits-f.Rank(server)+all-1)/all)
}

// Rank returns the place of this router for a hash, 0 for the first one.
func (f *Fleet) Rank(hash uint64) int {
	mine := score(f.self, hash)
	before := 0
	for _, r := range f.routers {
		if score(r, hash) > mine {
			before++
		}
	}
	return before
}

// score is the place of a router for a server, the highest first. The finaliser is that of
// the 64-bit variant of MurmurHash3.
func score(router, server uint64) uint64 {
	h := router ^ server*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
