package fair

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestLevelIsTheMaxMinShare(t *testing.T) {
	// Of a total of 300, the demand of 50 is met and the other two customers share 250.
	got := maxMinLevel(map[string]Rates{
		"small": {Demand: 50, Served: 50},
		"big":   {Demand: 400, Served: 200},
		"huge":  {Demand: 900, Served: 50},
	}, 300)
	assert.Equal(t, got, 125.0)
}

func TestLevelIsUnboundedWhenAllDemandIsServed(t *testing.T) {
	got := maxMinLevel(map[string]Rates{"a": {Demand: 50, Served: 50}, "b": {Demand: 10, Served: 10}}, 60)
	assert.Assert(t, got >= 50 || math.IsInf(got, 1))
}

func TestShareStatus(t *testing.T) {
	m := New()
	for i := range 100 {
		now := at(i * 20)
		m.RecordDemand("flood", 1000, now)
		m.RecordServed("flood", 700, now)
		m.RecordDemand("steady", 400, now)
		m.RecordServed("steady", 100, now)
		m.RecordDemand("tiny", 10, now)
		m.RecordServed("tiny", 10, now)
	}
	assert.Equal(t, m.ShareStatus("flood", at(2100)), AboveShare)
	assert.Equal(t, m.ShareStatus("steady", at(2100)), BelowShare)
	assert.Equal(t, m.ShareStatus("tiny", at(2100)), AtShare)
}

// Regression: requests sent to servers that had stopped responding counted as served, so their
// customer lost its precedence.
func TestRequestsThatNoServerStartedAreNotCountedAsServed(t *testing.T) {
	m := New()
	for i := range 50 {
		now := at(i * 20)
		m.RecordDemand("a", 100, now)
		m.RecordServed("a", 100, now)
		m.RecordDemand("b", 100, now)
		m.RecordServed("b", 100, now)
		m.UndoServed("b", 100, now)
	}
	assert.Equal(t, m.ShareStatus("b", at(1100)), BelowShare)
	assert.Equal(t, m.ShareStatus("a", at(1100)), AboveShare)
}

func TestPeerRatesExpire(t *testing.T) {
	m := New()
	m.SetPeerRates("p", map[string]Rates{"a": {Demand: 100, Served: 90}}, start)
	got, _ := m.FleetRates("a", at(10))
	assert.Equal(t, got.Served, 90.0)
	got, _ = m.FleetRates("a", at(5000))
	assert.Equal(t, got.Served, 0.0)
}

// A router that has not refused any request itself learns from its peers' reports that a customer
// is far below its share (each of 58 routers sees a small fraction of a customer's requests).
func TestContentionIsDetectedFromPeerRates(t *testing.T) {
	m := New()
	m.RecordDemand("flood", 9000, at(0))
	m.RecordServed("flood", 9000, at(0))
	assert.Assert(t, !m.Contended(at(10)))
	m.SetPeerRates("p", map[string]Rates{"owed": {Demand: 2000, Served: 300}}, at(100))
	assert.Assert(t, m.Contended(at(200)))
	m.SetPeerRates("p", map[string]Rates{"owed": {Demand: 2000, Served: 1900}}, at(300))
	assert.Assert(t, !m.Contended(at(400)))
	m.SetPeerRates("p", map[string]Rates{"owed": {Demand: 2000, Served: 1900}, "tiny": {Demand: 10, Served: 0}}, at(500))
	assert.Assert(t, !m.Contended(at(600)), "a single small refusal is not contention")
}

// Regression: shares were computed from the served rate alone, so that a few failed requests
// lowered every share and with it the served rate. Half of the capacity was idle for six seconds
// while customers above these shares were refused.
func TestShareIsComputedFromCapacityWhenLessIsServed(t *testing.T) {
	m := New()
	m.SetCapacity(1000)
	m.RecordDemand("big", 4000, at(0))
	m.RecordServed("big", 600, at(0))
	m.RecordDemand("small", 400, at(0))
	m.RecordServed("small", 100, at(0))
	_, share := m.FleetRates("big", at(1))
	assert.Assert(t, share > 750, "the rest of the capacity of 1,000: %v", share)
	assert.Assert(t, m.ShareStatus("big", at(1)) != AboveShare)
	m.SetCapacity(0)
	assert.Equal(t, m.ShareStatus("big", at(1)), AboveShare)
}

// One customer, arriving through two hosts, gets 0.7 of its share, and another, arriving through
// all hosts, gets 1.5 times its share because the servers have spare capacity. The second must be
// throttled before the first falls below half of its throughput, which a comparison with the share
// does not detect.
func TestContendedWhenACustomerIsFarBelowTheBestServed(t *testing.T) {
	m := New()
	m.SetCapacity(2600)
	m.RecordDemand("small", 200, at(0))
	m.RecordServed("small", 200, at(0))
	m.RecordDemand("few hosts", 9000, at(0))
	m.RecordServed("few hosts", 1900, at(0))
	m.RecordDemand("all hosts", 9000, at(0))
	m.RecordServed("all hosts", 2800, at(0))
	assert.Equal(t, m.ShareStatus("few hosts", at(1)), AtShare, "0.8 of its share")
	assert.Equal(t, m.ShareStatus("all hosts", at(1)), AboveShare)
	assert.Assert(t, !m.Contended(at(1)))
	m.RecordServed("all hosts", 600, at(55))
	assert.Equal(t, m.ShareStatus("few hosts", at(60)), AtShare)
	assert.Assert(t, m.Contended(at(60)))
}

// A customer demands ten times its share while another one is short. It is admitted at its share,
// of which each router grants the fraction of the demand that it sees: half each for two routers.
// Requests refused before they reach the quota count as demand too.
func TestQuotasAddUpToTheShare(t *testing.T) {
	for _, routers := range []int{1, 2} {
		m := New()
		m.SetCapacity(1000)
		admitted := 0.0
		const step, tokens = 10, 20
		for ms := 0; ms < 8000; ms += step {
			now := at(ms)
			others := map[string]Rates{"short": {Demand: 5000, Served: 200}}
			if routers == 2 {
				others["flood"] = Rates{Demand: 2000, Served: m.customerRates("flood", now).served}
			}
			m.SetPeerRates("p", others, now)
			refused := m.QuotaExceeded("flood", tokens, 0.5, now)
			m.RecordDemand("flood", tokens, now)
			if refused {
				continue
			}
			m.RecordServed("flood", tokens, now)
			if ms >= 4000 {
				admitted += tokens
			}
		}
		share := 500.0
		got := admitted / 4 * float64(routers)
		assert.Assert(t, got > 0.8*share && got < 1.25*share, "%d routers: %.0f tokens a second", routers, got)
	}
}

// A customer whose demand is little above its share has no quota. Nobody has one while no customer
// is far below the best-served one, even if a customer is far below its share, since servers may
// have spare capacity.
func TestQuotasApplyOnlyToFloodsDuringAShortage(t *testing.T) {
	m := New()
	m.SetCapacity(1000)
	m.SetPeerRates("p", map[string]Rates{"short": {Demand: 5000, Served: 100}, "wave": {Demand: 500, Served: 300}, "flood": {Demand: 5000, Served: 450}}, at(0))
	m.RecordDemand("flood", 100, at(0))
	m.RecordDemand("wave", 100, at(0))
	m.RecordServed("wave", 100, at(0))
	assert.Assert(t, m.Contended(at(1)))
	assert.Assert(t, m.QuotaExceeded("flood", 100, 1, at(1)))
	assert.Assert(t, !m.QuotaExceeded("wave", 100, 1, at(1)))
	assert.Assert(t, !m.QuotaExceeded("newcomer", 100, 1, at(1)))
	m.SetPeerRates("p", map[string]Rates{"short": {Demand: 5000, Served: 320}, "flood": {Demand: 5000, Served: 450}}, at(100))
	assert.Assert(t, m.Contended(at(101)))
	assert.Assert(t, m.QuotaExceeded("flood", 100, 1, at(101)), "the quota grows gradually after the shortage")
	over := 1 + int(quotaRelaxTime/time.Millisecond)
	m.SetPeerRates("p", map[string]Rates{"short": {Demand: 400, Served: 400}, "flood": {Demand: 5000, Served: 450}}, at(over))
	assert.Assert(t, !m.QuotaExceeded("flood", 100, 1, at(over)))
}

// A customer demands forty times its share through 120 routers while another one is short, and the
// shortage then ends by a small margin. The first customer's throughput must grow gradually until
// all routers know of it: without that, they admitted its whole demand at once. Two seconds after
// the shortage nothing limits it.
func TestQuotasGrowAfterAShortage(t *testing.T) {
	const routers, tokens, share = 120, 100.0, 500.0
	m := New()
	m.SetCapacity(1000)
	others := func(short float64) map[string]Rates {
		return map[string]Rates{"short": {Demand: 5000, Served: short}, "flood": {Demand: 20000, Served: 450}}
	}
	admitted := map[int]float64{} // tokens by 300 ms interval
	for ms := 0; ms < 6000; ms += 10 {
		now := at(ms)
		short := 100.0
		if ms >= 3000 {
			short = 480
		}
		m.SetPeerRates("p", others(short), now)
		for range 2 { // this router's part of the demand
			refused := m.QuotaExceeded("flood", tokens, 0.5, now)
			m.RecordDemand("flood", tokens, now)
			if !refused {
				m.own["flood"].quota.spend(tokens)
				admitted[ms/300] += tokens * routers
			}
		}
	}
	before := admitted[8] + admitted[9]
	assert.Assert(t, admitted[10]+admitted[11] < 4*max(before, 0.3*share), "%v", admitted)
	assert.Assert(t, admitted[18] > 10*max(before, 0.3*share), "%v", admitted)
}
