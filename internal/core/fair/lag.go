package fair

import (
	"math"
	"time"
)

const (
	// lagPart is the part of what the best served customer gets below which one that asks for as
	// much lags: the rule of fair shares is broken at half, and rates are known 0.3 s late.
	lagPart = 0.73
	// lagMemory is the time over which a customer has to lag: as long as the rule looks at. By
	// chance one of many customers that ask for the same has less for a second or two.
	lagMemory = 5 * time.Second
	// leadPart is how many times what the customer gets that lags most others may have, if that
	// is more than their share.
	leadPart = 1.4
)

// lag is how customers stand against the best served one.
type lag struct {
	sums    map[string]Rates // of all routers, averaged over lagMemory
	at      time.Time        // when they were averaged last
	lagging bool
	// least is the rate of the customer that lags most, of those that ask for as much as the best
	// served one gets; 0: none lags.
	least float64
}

// update takes the sums of all routers. A customer lags while it did on average and does still.
func (l *lag) update(sums map[string]Rates, now time.Time) {
	l.average(sums, now)
	best, all := bestOf(sums), served(sums)
	bestLong := bestOf(l.sums)
	lack := 0.0
	l.least = math.Inf(1)
	for name, r := range sums {
		long := l.sums[name]
		lacks := short(r, best, halfPart)
		if short(long, bestLong, lagPart) > 0 {
			lacks = short(r, best, lagPart)
		}
		lack += lacks
		if lacks > 0 && long.Asked >= bestLong*lagPart {
			l.least = min(l.least, max(long.Served, r.Served))
		}
	}
	if math.IsInf(l.least, 1) {
		l.least = 0
	}
	l.lagging = lack > all*contendedAt
}

// average brings the averages up to date.
func (l *lag) average(sums map[string]Rates, now time.Time) {
	kept := 0.0
	if !l.at.IsZero() {
		kept = math.Exp(-float64(now.Sub(l.at)) / float64(lagMemory))
	}
	l.at = now
	for name := range l.sums {
		if _, ok := sums[name]; !ok {
			delete(l.sums, name)
		}
	}
	for name, r := range sums {
		old := l.sums[name]
		l.sums[name] = Rates{
			Asked:  old.Asked*kept + r.Asked*(1-kept),
			Served: old.Served*kept + r.Served*(1-kept),
		}
	}
}

// bestOf is the rate of the best served customer.
func bestOf(sums map[string]Rates) float64 {
	best := 0.0
	for _, r := range sums {
		best = max(best, r.Served)
	}
	return best
}
