package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// regions is a fleet in two regions: routers whose IDs end in 0 to 2 are in the
// first, the others in the second. Each server is in the region of the router
// of the same number.
type regions struct{ *fleet }

func inSecondRegion(id msg.RouterID) bool { return id[len(id)-1] >= '3' }

// setReachable sets each router's members and servers to those that it can
// reach: all of them, or only those of its region.
func (f regions) setReachable(together bool) {
	for _, id := range f.ids {
		var members []share.Member
		var servers []msg.ServerID
		f.side[id] = 0
		if !together && inSecondRegion(id) {
			f.side[id] = 1
		}
		for i, other := range f.ids {
			if together || inSecondRegion(other) == inSecondRegion(id) {
				members = append(members, share.Member{ID: other, DataCentre: dataCentre(other)})
				servers = append(servers, msg.ServerID(fmt.Sprint("s", i)))
			}
		}
		f.nodes[id].SetMembers(f.clock(id), members)
		f.nodes[id].SetServers(f.clock(id), servers)
		f.runActions(id)
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

// Regions that were partitioned for a minute and served at different speeds
// must share fairly once reconnected: neither customer is held back until the
// other has caught up.
func TestRegionsHaveNoDebtAfterAPartition(t *testing.T) {
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
				if inSecondRegion(id) {
					rate = rates[1]
				}
				f.addServer(fmt.Sprint("s", i), 2, rate, pool)
			}
			f.setReachable(false)
			for _, id := range f.ids {
				for range 12 {
					if inSecondRegion(id) {
						again("b", id)
					} else {
						again("a", id)
					}
				}
			}
			f.run(f.now + time.Minute)
			f.setReachable(true)
			f.run(f.now + 5*time.Second)
			a, b := f.servedOf("a"), f.servedOf("b")
			f.run(f.now + 10*time.Second)
			a, b = f.servedOf("a")-a, f.servedOf("b")-b
			assert.Assert(t, a > (a+b)/4 && b > (a+b)/4, "%d routers, rates %v: %.0f and %.0f", routers, rates, a, b)
		}
	}
}
