package spread

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// closestView returns the view of a router that hears all the others.
func closestView(self int, members []int) *View {
	v := New(Member{Addr: addrOf(self), DataCentre: "dc"})
	for _, m := range members {
		v.ObserveDirect(Member{Addr: addrOf(m), DataCentre: "dc"}, start)
	}
	return v
}

func addrOf(n int) string { return fmt.Sprintf("10.0.0.%d:8785", n) }

// The routers that one router chooses for a key, leaving itself out, are among those that another one
// chooses with one more, or the other one itself, also after one of them was lost.
func TestRoutersAgreeOnTheClosest(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	for key := range uint64(500) {
		recorder := closestView(0, all)
		for _, other := range all[1:] {
			asker := closestView(other, all)
			asked := append(asker.Closest(key, 4), addrOf(other))
			for _, holder := range recorder.Closest(key, 3) {
				assert.Assert(t, slices.Contains(asked, holder), "key %d", key)
			}
		}
	}
}

func TestClosestAreFewerInASmallFleet(t *testing.T) {
	assert.Equal(t, len(closestView(0, nil).Closest(1, 3)), 0)
	assert.Equal(t, len(closestView(0, []int{0, 1, 2}).Closest(1, 3)), 2)
	assert.Equal(t, len(closestView(0, []int{1, 2, 3, 4, 5}).Closest(1, 3)), 3)
}

// Keys spread over all routers.
func TestKeysSpreadOverTheRouters(t *testing.T) {
	v := closestView(0, []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	count := map[string]int{}
	for key := range uint64(10000) {
		for _, addr := range v.Closest(key*0x9e3779b97f4a7c15, 3) {
			count[addr]++
		}
	}
	for addr, n := range count {
		assert.Assert(t, n > 2700 && n < 3300, "%s holds %d of 10000", addr, n)
	}
}
