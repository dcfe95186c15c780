package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMember measures, in simulated time, the bandwidth of a stable fleet
// and the time until a killed router is removed from all views.
func BenchmarkMember(b *testing.B) {
	for _, routers := range []int{8, 40, 410} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			const rest = 32 * time.Second
			w := startNetwork(1, routers)
			w.run(convergenceTime)
			w.countSent = true
			w.run(rest)
			w.countSent = false
			var total, worst time.Duration
			deaths := 0
			for b.Loop() {
				victim := w.ids[w.rand.IntN(routers)]
				w.run(time.Duration(w.rand.IntN(100)) * simStep)
				w.kill(victim)
				died := w.now
				for w.viewMismatch() != "" {
					w.run(TickPeriod)
				}
				took := w.now - died
				total += took
				worst = max(worst, took)
				deaths++
				w.start(victim)
				w.run(10 * time.Second)
			}
			b.ReportMetric(float64(w.sentBytes)/rest.Seconds()/float64(routers), "ctlB/router/s")
			b.ReportMetric(float64(total/TickPeriod)/float64(deaths), "ticks/death")
			b.ReportMetric(float64(worst/TickPeriod), "ticks/worst")
		})
	}
}
