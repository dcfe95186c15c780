package fair

import (
	"math"
	"time"
)

const (
	// quotaFactor is the multiple of its share that a customer above it may use while another one
	// is far below the best-served customer. Refusing all or nothing, on rates that are known
	// 0.3 s late, would admit bursts of twice the share (docs/design/admission.md).
	quotaFactor = 1.1
	// quotaDemandFactor is the multiple of its capacity share that a customer must demand to get a
	// quota. A customer with less demand can't get far above its share before all routers know of
	// it.
	quotaDemandFactor = 2.0
	// quotaBurstTime is how long unused quota accumulates at a router: requests arrive in bursts,
	// and shares are guaranteed over seconds.
	quotaBurstTime = averagingTime
	// maxQuotaBoost limits how much extra a router admits to make up for routers that can't admit
	// their part: hosts differ in capacity.
	maxQuotaBoost = 1.5
)

// After a shortage, quotas grow by a factor of e every quotaGrowthTime and end after
// quotaRelaxTime. If they ended at once, a customer that demands many times its share through all
// routers would get several seconds' worth of it before any router knew.
const (
	quotaGrowthTime = 500 * time.Millisecond
	quotaRelaxTime  = 4 * quotaGrowthTime
)

// quotaGrowth returns the current multiplier for quotas, and whether quotas are in force.
func (m *Meter) quotaGrowth(now time.Time) (growth float64, active bool) {
	if m.deficit.significant {
		return 1, true
	}
	since := now.Sub(m.lastDeficit)
	if m.lastDeficit.IsZero() || since >= quotaRelaxTime {
		return 0, false
	}
	return math.Exp(float64(since) / float64(quotaGrowthTime)), true
}

// shortageGap is the time without a significant deficit after which the next one starts a new
// shortage.
const shortageGap = 2 * time.Second

// quota is the token bucket that limits a customer at this router.
type quota struct {
	remaining     float64
	shortageStart time.Time // start of the shortage to which the quota applies
}

// QuotaExceeded reports whether the customer, whose demand is far above its share while others are
// below theirs, has used up its quota at this router: the fraction of its limit that corresponds
// to the fraction of its demand seen here. The limit is its share, or leadFactor times the lowest
// throughput. draw (0 to 1) is the fraction of a request that counts as served when a shortage
// begins, so that hundreds of routers don't admit one request each at once.
func (m *Meter) QuotaExceeded(customer string, tokens, draw float64, now time.Time) bool {
	m.update(now)
	total := m.totals[customer]
	own := m.customerRates(customer, now)
	q := &own.quota
	growth, active := m.quotaGrowth(now)
	if !active || total.Demand <= quotaDemandFactor*m.capacityLevel {
		*q = quota{}
		return false
	}
	if own.demand < minRate {
		return false // the customer's callers have only just reached this router
	}
	if q.shortageStart != m.shortageStart {
		*q = quota{remaining: -draw * tokens, shortageStart: m.shortageStart}
		own.demandIntegral = 0
	}
	earned := own.demandIntegral / total.Demand
	own.demandIntegral = 0
	limit := max(m.level, m.deficit.lowest*leadFactor/quotaFactor)
	if m.deficit.significant && farAboveShare(total, limit) {
		return true // served before the shortage began; no quota accumulates meanwhile
	}
	boost := min(max(limit/max(total.Served, 1), 1), maxQuotaBoost)
	rate := limit * quotaFactor * boost * growth
	burst := max(tokens, rate*quotaBurstTime.Seconds()*own.demand/total.Demand)
	q.remaining = min(q.remaining+rate*earned, burst)
	return q.remaining <= 0
}

// spend deducts served tokens.
func (q *quota) spend(tokens float64) { q.remaining -= tokens }

// recordDeficit records the time of a significant deficit and, if it begins a shortage, its start.
func (m *Meter) recordDeficit(now time.Time) {
	if !m.deficit.significant {
		return
	}
	if now.Sub(m.lastDeficit) > shortageGap {
		m.shortageStart = now
	}
	m.lastDeficit = now
}
