package slowstart

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/rendezvous"
)

// Fleet is one router's view of the routers that share the permits. Routers that stopped
// responding stay in the view for a long time: a router that is cut off from others keeps its
// permits and gets no more.
type Fleet struct {
	self    uint64
	routers []uint64 // sorted hashes of the names of the other routers
	trusted bool     // the view is complete enough to use permits
	changes int
}

// NewFleet returns the fleet of a router that knows no others yet and so has no permits.
func NewFleet(self string) *Fleet { return &Fleet{self: xxhash.Sum64String(self)} }

// Set sets the other routers. trusted states that the view is complete enough: most of the routers
// were heard from recently, and this router has run long enough to hear from all.
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

// Changes returns the number of changes of the fleet, so that callers can cache the result of
// PermitShare.
func (f *Fleet) Changes() int { return f.changes }

// PermitShare returns how many of a server's permits belong to this router. The permits are dealt
// out in turn to the routers, in the order of their ranks for the server.
func (f *Fleet) PermitShare(server uint64, permits int) int {
	if !f.trusted || permits <= 0 {
		return 0
	}
	total := len(f.routers) + 1
	return max(0, (permits-f.Rank(server)+total-1)/total)
}

// Rank returns the rank of this router for a hash; the first one has rank 0.
func (f *Fleet) Rank(hash uint64) int {
	own := rendezvous.Score(f.self, hash)
	rank := 0
	for _, r := range f.routers {
		if rendezvous.Score(r, hash) > own {
			rank++
		}
	}
	return rank
}
