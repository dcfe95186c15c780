package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/windscale/windscale/internal/core/share"
)

func TestDbgIdle(t *testing.T) {
	w := workloadOf(40, 60)
	f := fleetOf(w, share.Config{})
	f.after(5*time.Second, func() { f.churn(5 * time.Second) })
	sum := map[string]int{}
	n := 0
	var look func()
	look = func() {
		n++
		for _, s := range f.servers {
			idle := s.slots - len(s.running)
			if idle == 0 {
				continue
			}
			own := f.nodes[f.ids[0]].Admitter(s.id)
			for _, x := range f.nodes[own].Servers() {
				if x.ID == s.id {
					why := "waiting none"
					switch {
					case !x.Reported:
						why = "unreported"
					case x.Foreign > 0:
						why = "foreign"
					case x.Held > len(s.running):
						why = "held"
					case x.Limit < float64(x.Slots):
						why = fmt.Sprint("limit")
					}
					sum[why] += idle
					sum["over "+why] += max(0, x.Held+x.Foreign-len(s.running))
				}
			}
		}
		f.after(50*time.Millisecond, look)
	}
	f.after(22*time.Second, look)
	w.play(f, f.now, 60*time.Second)
	for k, v := range sum {
		fmt.Printf("%s %.2f\n", k, float64(v)/float64(n))
	}
}
