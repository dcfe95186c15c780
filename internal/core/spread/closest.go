package spread

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/windscale/windscale/internal/core/rendezvous"
)

// Closest returns the addresses of up to n other live routers, those with the highest rendezvous
// scores for the key, in the order of their scores.
func (v *View) Closest(key uint64, n int) []string {
	type candidate struct {
		addr  string
		score uint64
	}
	before := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.addr, b.addr))
	}
	best := make([]candidate, 0, n+1)
	for addr, e := range v.known {
		if !e.live {
			continue
		}
		c := candidate{addr, rendezvous.Score(xxhash.Sum64String(addr), key)}
		at, _ := slices.BinarySearchFunc(best, c, before)
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), n)]
	}
	addrs := make([]string, len(best))
	for i, c := range best {
		addrs[i] = c.addr
	}
	return addrs
}
