package fair

import (
	"math"
	"time"
)

const (
	// lagPart is the part of what the best served customer gets below which one that asks for as
	// much lags if it has less for some time: the rule of fair shares is broken at half, and
	// rates are known 0.3 s late.
	lagPart = 0.73
	// lagMemory is that time. Of many customers that ask for the same, one has less for a second
	// or two by chance.
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

// update takes the sums of all routers.
func (l *lag) update(sums map[string]Rates, now time.Time) {
	l.average(sums, now)
	best, bestLong := bestOf(sums), bestOf(l.sums)
	lack := 0.0
	least := math.Inf(1)
	for name, r := range sums {
		long := l.sums[name]
		lacks := lacksOf(r, long, best, bestLong)
		lack += lacks
		if lacks > 0 && long.Asked >= bestLong*lagPart {
			least = min(least, max(long.Served, r.Served))
		}
	}
	l.lagging = lack > served(sums)*contendedAt
	l.least = 0
	if !math.IsInf(least, 1) {
		l.least = least
	}
}

// lacksOf is what a customer lags by: one that has far less than the best served one now, or less
// both now and on average.
func lacksOf(r, long Rates, best, bestLong float64) float64 {
	if short(long, bestLong, lagPart) > 0 {
		return short(r, best, lagPart)
	}
	return short(r, best, halfPart)
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
