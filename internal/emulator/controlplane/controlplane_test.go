package controlplane

import (
	"testing"
	"time"
)

func TestTry(t *testing.T) {
	for _, n := range []int{300} {
		began := time.Now()
		r := Run(Scenario{Seed: 1, Length: 14 * time.Second, Routers: n, Servers: 500, Large: 10, Requests: float64(n) * 1.4,
			Changes: []Change{{At: 12 * time.Second, Servers: 1}}})
		t.Logf("%d routers, took %s", n, time.Since(began))
		t.Logf("ready %s known %s start %+v", r.Ready, r.Known, r.Start)
		for role, l := range r.Steady {
			t.Logf("%s %+v", role, l)
		}
		t.Logf("between %.0f B/s, busiest x%.1f, changes %+v, left %v, view %d", r.Between, r.BusiestTo, r.Changes, r.Left, r.View)
	}
}
