package fair

import (
	"testing"

	"gotest.tools/v3/assert"
)

// lagged returns a meter that has heard from the first millisecond to the last, each 100 ms, that one
// customer is served so much beside another that has 600, both of which ask for 5,000 where a
// share is 500.
func lagged(m *Meter, from, to int, served float64) {
	for ms := from; ms <= to; ms += 100 {
		m.Peer("p", map[string]Rates{"few": {Asked: 5000, Served: served}, "all": {Asked: 5000, Served: 600}}, at(ms))
		m.update(at(ms))
	}
}

// Guards against a fleet that holds customers at their shares since one of them has less by chance.
//
// The pattern: two customers ask for the same, and one has less than two thirds of the other's, for a second
// and for longer. Far less is not waited for.
func TestWhoHasLessForASecondDoesNotLag(t *testing.T) {
	m := New()
	m.SetCapacity(1000)
	lagged(m, 0, 4000, 600)
	lagged(m, 4100, 5100, 380)
	assert.Assert(t, !m.lag.lagging)
	lagged(m, 5200, 12_000, 380)
	assert.Assert(t, m.lag.lagging, "for eight seconds")
	lagged(m, 12_100, 12_100, 500)
	assert.Assert(t, !m.lag.lagging, "it has caught up")
	lagged(m, 12_200, 12_200, 300)
	assert.Assert(t, m.lag.lagging, "far less")
}

// The pattern: a customer lags that has more than its share, and the engines have time. The other
// is held at a multiple of what the first one has and not at its share, which would leave the engines idle.
func TestWhoLeadsIsHeldAtAMultipleOfWhoLags(t *testing.T) {
	for _, tc := range []struct{ lagging, limit float64 }{{300, 500 * rationPart}, {430, 430 * leadPart}} {
		m := New()
		m.SetCapacity(1000)
		const routers, tokens, step = 50, 2, 10
		letIn := 0.0
		for ms := 0; ms < 12_000; ms += step {
			m.Peer("p", map[string]Rates{"few": {Asked: 5000, Served: tc.lagging}, "all": {Asked: 5000 * (routers - 1) / routers, Served: 599}}, at(ms))
			refused := m.Rationed("all", tokens, 0, at(ms))
			m.Asked("all", 5000/routers*step/1000., at(ms))
			if !refused && ms >= 6000 {
				letIn += tokens * routers
			}
			if !refused {
				m.own["all"].ration.take(tokens)
			}
		}
		got := letIn / 6
		assert.Assert(t, got > 0.95*tc.limit && got < 1.05*tc.limit, "%.0f of %.0f tokens a second", got, tc.limit)
	}
}
