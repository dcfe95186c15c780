package fair

import (
	"math"
	"time"
)

const (
	// deficitFraction is the fraction of the best-served customer's throughput below which a
	// customer with as much demand has a deficit, if it stays there for deficitAveragingTime.
	// Fairness is violated at half, and rates are known 0.3 s late.
	deficitFraction = 0.73
	// deficitAveragingTime is the time constant for detecting a sustained deficit. Among many
	// customers with equal demand, a single one falls behind for a second or two by chance.
	deficitAveragingTime = 5 * time.Second
	// leadFactor limits other customers to this multiple of the lowest throughput of a customer
	// with a deficit, if that is more than their share.
	leadFactor = 1.4
)

// deficit compares customers with the best-served one.
type deficit struct {
	averages    map[string]Rates // fleet rates averaged over deficitAveragingTime
	averagedAt  time.Time        // time of the last averaging
	significant bool             // the total deficit is large enough to throttle other customers
	// lowest is the lowest throughput of a customer with a deficit whose demand matches the
	// best-served customer; 0 if no customer has a deficit.
	lowest float64
}

// update recomputes the deficit from the fleet rates.
func (d *deficit) update(totals map[string]Rates, now time.Time) {
	d.average(totals, now)
	best, bestAverage := bestServed(totals), bestServed(d.averages)
	total := 0.0
	lowest := math.Inf(1)
	for name, r := range totals {
		average := d.averages[name]
		shortage := customerDeficit(r, average, best, bestAverage)
		total += shortage
		if shortage > 0 && average.Demand >= bestAverage*deficitFraction {
			lowest = min(lowest, max(average.Served, r.Served))
		}
	}
	d.significant = total > totalServed(totals)*contentionFraction
	d.lowest = 0
	if !math.IsInf(lowest, 1) {
		d.lowest = lowest
	}
}

// customerDeficit returns how far a customer's throughput is below that of the best-served
// customer. Short dips count only below belowBestFraction.
func customerDeficit(r, average Rates, best, bestAverage float64) float64 {
	if shortfall(average, bestAverage, deficitFraction) > 0 {
		return shortfall(r, best, deficitFraction)
	}
	return shortfall(r, best, belowBestFraction)
}

// average updates the moving averages with the current rates.
func (d *deficit) average(totals map[string]Rates, now time.Time) {
	weight := 0.0
	if !d.averagedAt.IsZero() {
		weight = math.Exp(-float64(now.Sub(d.averagedAt)) / float64(deficitAveragingTime))
	}
	d.averagedAt = now
	for name := range d.averages {
		if _, ok := totals[name]; !ok {
			delete(d.averages, name)
		}
	}
	for name, r := range totals {
		previous := d.averages[name]
		d.averages[name] = Rates{
			Demand: previous.Demand*weight + r.Demand*(1-weight),
			Served: previous.Served*weight + r.Served*(1-weight),
		}
	}
}

// bestServed returns the highest served rate of any customer.
func bestServed(totals map[string]Rates) float64 {
	best := 0.0
	for _, r := range totals {
		best = max(best, r.Served)
	}
	return best
}
