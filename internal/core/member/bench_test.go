package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMember measures, in simulated time, what the protocol sends at
// rest and how long a death takes to reach all views.
func BenchmarkMember(b *testing.B) {
	for _, routers := range []int{8, 40, 410} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			const rest = 32 * time.Second
			w := startAll(1, routers)
			w.run(settle)
			w.measure = true
			w.run(rest)
			w.measure = false
			var total, worst time.Duration
			deaths := 0
			for b.Loop() {
				victim := w.ids[w.rand.IntN(routers)]
				w.run(time.Duration(w.rand.IntN(100)) * step)
				w.kill(victim)
				died := w.now
				for w.disagreement() != "" {
					w.run(TickPeriod)
				}
				took := w.now - died
				total += took
				worst = max(worst, took)
				deaths++
				w.start(victim)
				w.run(10 * time.Second)
			}
			b.ReportMetric(float64(w.bytes)/rest.Seconds()/float64(routers), "ctlB/router/s")
			b.ReportMetric(float64(total/TickPeriod)/float64(deaths), "ticks/death")
			b.ReportMetric(float64(worst/TickPeriod), "ticks/worst")
		})
	}
}
