package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// regions is a fleet whose routers r0 to r2, r10 to r12 and so on are in one
// region and the others in another; the server of the same number is in the
// same region.
type regions struct{ *fleet }

func second(id msg.RouterID) bool { return id[len(id)-1] >= '3' }

// meet tells every router the members and servers that it reaches.
func (f regions) meet(together bool) {
	for _, id := range f.ids {
		var members []share.Member
		var servers []msg.ServerID
		f.cut[id] = 0
		if !together && second(id) {
			f.cut[id] = 1
		}
		for i, other := range f.ids {
			if together || second(other) == second(id) {
				members = append(members, share.Member{ID: other, DataCentre: dataCentre(other)})
				servers = append(servers, msg.ServerID(fmt.Sprint("s", i)))
			}
		}
		f.nodes[id].SetMembers(f.clock(id), members)
		f.nodes[id].SetServers(f.clock(id), servers)
		f.pump(id)
	}
}

func (f regions) servedOf(customer msg.CustomerID) (sum float64) {
	for k, v := range f.service() {
		if k.customer == customer {
			sum += v
		}
	}
	return sum
}

// Regions that were apart for a minute and served at different speeds share
// fairly once they meet: neither customer is held back until the other has
// caught up.
func TestRegionsThatMeetAgainOweNothing(t *testing.T) {
	for _, routers := range []int{10, 30} {
		for _, rates := range [][2]float64{{100, 1000}, {1000, 100}, {300, 300}} {
			f := regions{newFleet(1, routers, share.Config{})}
			n := 0
			again := func(c msg.CustomerID, entry msg.RouterID) {
				n++
				f.arrive(request(fmt.Sprint(n), string(c), 100, entry))
			}
			f.done = func(r *simRequest) { again(r.Customer, r.entry) }
			for i, id := range f.ids {
				rate := rates[0]
				if second(id) {
					rate = rates[1]
				}
				f.addServer(fmt.Sprint("s", i), 2, rate, pool)
			}
			f.meet(false)
			for _, id := range f.ids {
				for range 12 {
					if second(id) {
						again("b", id)
					} else {
						again("a", id)
					}
				}
			}
			f.run(f.now + time.Minute)
			f.meet(true)
			f.run(f.now + 5*time.Second)
			a, b := f.servedOf("a"), f.servedOf("b")
			f.run(f.now + 10*time.Second)
			a, b = f.servedOf("a")-a, f.servedOf("b")-b
			assert.Assert(t, a > (a+b)/4 && b > (a+b)/4, "%d routers, rates %v: %.0f and %.0f", routers, rates, a, b)
		}
	}
}
