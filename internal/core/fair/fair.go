// Package fair determines which customers exceed their max-min fair share of the fleet's
// throughput. Each router measures the demand and the served rate of its customers, and routers
// exchange their rates. The package does no I/O.
package fair

import (
	"math"
	"slices"
	"time"
)

const (
	// averagingTime is the time constant of the rate averages: half of the window over which
	// shares are guaranteed (4 s where the platform specifies one).
	averagingTime = 2 * time.Second
	// reportTTL is how long a peer's report is used.
	reportTTL = 1500 * time.Millisecond
	// levelTTL is how long a computed level is reused.
	levelTTL = 50 * time.Millisecond
	// aboveShareFactor is the multiple of the level above which a customer counts as above its
	// share.
	aboveShareFactor = 1.1
	// farAboveShareFactor is the multiple of its share above which a customer is refused
	// everything while others are below theirs.
	farAboveShareFactor = 1.2
	// belowShareFraction is the fraction of its share below which a customer gets precedence over
	// others. Fairness is violated at half.
	belowShareFraction = 0.7
	// belowBestFraction is the fraction of the best-served customer's throughput below which a
	// customer with as much demand counts as short: fairness is violated at half. A comparison
	// with the share alone does not suffice: while servers have spare capacity, customers above
	// their shares are served too. One whose requests arrived through all hosts got 1.5 times its
	// share, and 0.7 of a share is less than half of that.
	belowBestFraction = 0.6
	// contentionFraction is the fraction of the total throughput that customers must lack before
	// others are throttled. Anything less is a single refused request of a customer with little
	// other demand.
	contentionFraction = 0.01
	// minRate is the demand below which a customer is no longer tracked, in tokens/s.
	minRate = 1.0
)

// Rates are one customer's demand and served rate, in tokens/s.
type Rates struct {
	Demand float64
	Served float64
}

func (r Rates) Plus(o Rates) Rates {
	return Rates{Demand: r.Demand + o.Demand, Served: r.Served + o.Served}
}

// decayingRates are exponentially decaying averages of one customer's rates at this router.
type decayingRates struct {
	demand         float64
	served         float64
	at             time.Time
	demandIntegral float64 // integral of the demand since the quota was last updated, tokens
	quota          quota
}

// decay updates the averages to the given time.
func (r *decayingRates) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(r.at)) / float64(averagingTime))
	r.demandIntegral += r.demand * (1 - f) * averagingTime.Seconds()
	r.demand *= f
	r.served *= f
	r.at = now
}

// report holds the rates that a peer reported.
type report struct {
	at    time.Time
	rates map[string]Rates
}

// Meter measures the rates of customers at one router and combines them with those of its peers.
// It is not safe for concurrent use.
type Meter struct {
	own           map[string]*decayingRates
	peers         map[string]report
	totals        map[string]Rates
	level         float64
	capacityLevel float64 // level for the configured capacity; if there is none, for the served rate
	// capacity is the configured throughput of all backend servers in tokens/s; 0 if it is not
	// configured.
	capacity      float64
	contended     bool // customers are far below their shares
	deficit       deficit
	shortageStart time.Time // start of the latest shortage
	lastDeficit   time.Time // last time a customer had a significant deficit
	at            time.Time // last update
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{own: map[string]*decayingRates{}, peers: map[string]report{}, totals: map[string]Rates{}, deficit: deficit{averages: map[string]Rates{}}}
}

// customerRates returns the customer's rates at this router, decayed to now.
func (m *Meter) customerRates(customer string, now time.Time) *decayingRates {
	r := m.own[customer]
	if r == nil {
		r = &decayingRates{at: now}
		m.own[customer] = r
	}
	r.decay(now)
	return r
}

// ratePerToken is the rate that one token adds to a decaying average.
const ratePerToken = float64(time.Second) / float64(averagingTime)

// RecordDemand records a request of the given size.
func (m *Meter) RecordDemand(customer string, tokens float64, now time.Time) {
	m.customerRates(customer, now).demand += tokens * ratePerToken
}

// RecordServed records a request that was sent to a server.
func (m *Meter) RecordServed(customer string, tokens float64, now time.Time) {
	r := m.customerRates(customer, now)
	r.served += tokens * ratePerToken
	if _, active := m.quotaGrowth(now); active {
		r.quota.spend(tokens)
	}
}

// UndoServed reverts RecordServed for a request that no server started.
func (m *Meter) UndoServed(customer string, tokens float64, now time.Time) {
	r := m.customerRates(customer, now)
	r.served = max(0, r.served-tokens*ratePerToken)
	if _, active := m.quotaGrowth(now); active {
		r.quota.spend(-tokens)
	}
}

// SetPeerRates records a peer's report.
func (m *Meter) SetPeerRates(peer string, rates map[string]Rates, now time.Time) {
	m.peers[peer] = report{at: now, rates: rates}
}

// OwnRates returns the rates at this router.
func (m *Meter) OwnRates(now time.Time) map[string]Rates {
	all := make(map[string]Rates, len(m.own))
	for name, r := range m.own {
		r.decay(now)
		if r.demand < minRate {
			delete(m.own, name)
			continue
		}
		all[name] = Rates{Demand: r.demand, Served: r.served}
	}
	return all
}

// ShareStatus compares a customer's throughput with its max-min share.
type ShareStatus int

const (
	AtShare    ShareStatus = iota
	AboveShare             // above its share
	BelowShare             // demands its share and gets much less
)

func (s ShareStatus) String() string { return [...]string{"even", "over", "below its share"}[s] }

// FleetRates returns the customer's rates summed over all routers, and the max-min level.
func (m *Meter) FleetRates(customer string, now time.Time) (Rates, float64) {
	m.update(now)
	return m.totals[customer], m.level
}

// ServedRatio returns the customer's served rate divided by the max-min level, or 0 if there is no
// level.
func (m *Meter) ServedRatio(customer string, now time.Time) float64 {
	m.update(now)
	if math.IsInf(m.level, 1) || m.level <= 0 {
		return 0
	}
	return m.totals[customer].Served / m.level
}

// ShareStatus compares the customer's recent throughput with its max-min share of the total.
func (m *Meter) ShareStatus(customer string, now time.Time) ShareStatus {
	m.update(now)
	sum := m.totals[customer]
	switch {
	case sum.Served > m.level*aboveShareFactor:
		return AboveShare
	case sum.Served < min(sum.Demand, m.level)*belowShareFraction:
		return BelowShare
	}
	return AtShare
}

// FarAboveShare reports whether the customer is so far above its share that it must be refused
// while others are below theirs.
func (m *Meter) FarAboveShare(customer string, now time.Time) bool {
	m.update(now)
	return farAboveShare(m.totals[customer], m.level)
}

// farAboveShare reports whether the served rate is far above the level, if there is one.
func farAboveShare(r Rates, level float64) bool {
	return level > 0 && r.Served > level*farAboveShareFactor
}

// Contended reports whether customers are so far below their shares, summed over all routers, that
// customers above theirs must be throttled.
func (m *Meter) Contended(now time.Time) bool {
	m.update(now)
	return m.contended
}

// Unfair reports whether customers get so much less than the best-served one that customers above
// their shares must be throttled even if the servers have spare capacity.
func (m *Meter) Unfair(now time.Time) bool {
	m.update(now)
	best := bestServed(m.totals)
	missing := 0.0
	for _, r := range m.totals {
		missing += shortfall(r, best, belowBestFraction)
	}
	return missing > totalServed(m.totals)*contentionFraction
}

// isContended reports whether customers are far below their shares or far below the best-served
// customer.
func isContended(totals map[string]Rates, level float64) bool {
	best := bestServed(totals)
	missing := 0.0
	for _, r := range totals {
		missing += max(shortfall(r, best, belowBestFraction), shortfall(r, level, belowShareFraction))
	}
	return missing > totalServed(totals)*contentionFraction
}

// shortfall returns how far the customer's served rate is below the given rate, or below its
// demand if that is less. It returns 0 if the customer gets at least the given fraction.
func shortfall(r Rates, target, fraction float64) float64 {
	if entitled := min(r.Demand, target); r.Served < entitled*fraction {
		return entitled - r.Served
	}
	return 0
}

// update sums the rates of all routers and recomputes the level.
func (m *Meter) update(now time.Time) {
	if now.Sub(m.at) < levelTTL && !m.at.IsZero() {
		return
	}
	m.at = now
	m.totals = m.OwnRates(now)
	for peer, reported := range m.peers {
		if now.Sub(reported.at) > reportTTL {
			delete(m.peers, peer)
			continue
		}
		for name, r := range reported.rates {
			m.totals[name] = m.totals[name].Plus(r)
		}
	}
	m.level = maxMinLevel(m.totals, totalServed(m.totals))
	m.capacityLevel = m.level
	if m.capacity > 0 {
		m.capacityLevel = maxMinLevel(m.totals, m.capacity)
		m.level = max(m.level, m.capacityLevel)
	}
	m.contended = isContended(m.totals, m.level)
	m.deficit.update(m.totals, now)
	m.recordDeficit(now)
}

// SetCapacity sets the throughput of all backend servers in tokens/s; 0 means unknown.
func (m *Meter) SetCapacity(tokensPerSec float64) {
	if tokensPerSec == m.capacity {
		return
	}
	m.capacity = tokensPerSec
	m.at = time.Time{}
}

// totalServed returns the served rate of all customers.
func totalServed(totals map[string]Rates) float64 {
	total := 0.0
	for _, r := range totals {
		total += r.Served
	}
	return total
}

// maxMinLevel returns the max-min level L with sum(min(demand, L)) = total: the most that each
// customer can get if the total is shared evenly. It is infinite if the total covers all demand.
func maxMinLevel(totals map[string]Rates, total float64) float64 {
	demands := make([]float64, 0, len(totals))
	for _, r := range totals {
		demands = append(demands, r.Demand)
	}
	slices.Sort(demands)
	for i, demand := range demands {
		share := total / float64(len(demands)-i)
		if demand >= share {
			return share
		}
		total -= demand
	}
	return math.Inf(1)
}
