package fair

import (
	"testing"

	"gotest.tools/v3/assert"
)

// reportRates reports to the meter every 100 ms from one millisecond offset to the other that
// customer "few" is served the given rate and customer "all" 600. Both have a demand of 5,000
// where a share is 500.
func reportRates(m *Meter, from, to int, served float64) {
	for ms := from; ms <= to; ms += 100 {
		m.SetPeerRates("p", map[string]Rates{"few": {Demand: 5000, Served: served}, "all": {Demand: 5000, Served: 600}}, at(ms))
		m.update(at(ms))
	}
}

// Regression: random short dips of one customer must not throttle all others to their fair share.
//
// Two customers have equal demand, and one gets less than two thirds of the other's throughput.
// That counts only if it lasts, while a deep dip counts at once.
func TestShortDipsAreNotADeficit(t *testing.T) {
	m := New()
	m.SetCapacity(1000)
	reportRates(m, 0, 4000, 600)
	reportRates(m, 4100, 5100, 380)
	assert.Assert(t, !m.deficit.significant)
	reportRates(m, 5200, 12_000, 380)
	assert.Assert(t, m.deficit.significant, "below for eight seconds")
	reportRates(m, 12_100, 12_100, 500)
	assert.Assert(t, !m.deficit.significant, "it has caught up")
	reportRates(m, 12_200, 12_200, 300)
	assert.Assert(t, m.deficit.significant, "deep dip")
}

// One customer is above its share but far below the best-served one, and the engines have spare
// capacity: the best-served customer is limited to a multiple of the other's throughput. Limiting
// it to its fair share would leave the engines idle.
func TestLimitIsAMultipleOfTheLowestThroughput(t *testing.T) {
	for _, tc := range []struct{ served, limit float64 }{{300, 500 * quotaFactor}, {430, 430 * leadFactor}} {
		m := New()
		m.SetCapacity(1000)
		const routers, tokens, step = 50, 2, 10
		admitted := 0.0
		for ms := 0; ms < 12_000; ms += step {
			m.SetPeerRates("p", map[string]Rates{"few": {Demand: 5000, Served: tc.served}, "all": {Demand: 5000 * (routers - 1) / routers, Served: 599}}, at(ms))
			refused := m.QuotaExceeded("all", tokens, 0, at(ms))
			m.RecordDemand("all", 5000/routers*step/1000., at(ms))
			if !refused && ms >= 6000 {
				admitted += tokens * routers
			}
			if !refused {
				m.own["all"].quota.spend(tokens)
			}
		}
		got := admitted / 6
		assert.Assert(t, got > 0.95*tc.limit && got < 1.05*tc.limit, "%.0f of %.0f tokens a second", got, tc.limit)
	}
}
