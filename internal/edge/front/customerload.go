package front

import "sync"

// dominantFraction is the fraction of the requests in flight from which a customer dominates a
// host. Dominant customers are refused first when the host has no capacity.
const dominantFraction = 0.25

// inFlightOverrun is the factor by which customers that are not dominant may exceed MaxInFlight.
const inFlightOverrun = 1.25

// A customer has the majority of a host's requests if it has at least majorityFraction of those in
// flight, and at least majorityMinimum of them: fewer may be a coincidence.
const (
	majorityFraction = 0.5
	majorityMinimum  = 8
)

// customerLoad counts this host's requests in flight by customer. It is safe for concurrent use.
type customerLoad struct {
	mu     sync.Mutex
	counts map[string]int
	total  int
}

func (l *customerLoad) add(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[customer]++
	l.total++
}

func (l *customerLoad) remove(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	if l.counts[customer]--; l.counts[customer] == 0 {
		delete(l.counts, customer)
	}
}

// isMajority reports whether the customer has the majority of this host's requests.
func (l *customerLoad) isMajority(customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reachesMajority(l.counts[customer])
}

// anyMajority reports whether some customer has the majority of this host's requests.
func (l *customerLoad) anyMajority() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, count := range l.counts {
		if l.reachesMajority(count) {
			return true
		}
	}
	return false
}

// reachesMajority reports whether count requests are the majority. The caller holds the lock.
func (l *customerLoad) reachesMajority(count int) bool {
	return count >= majorityMinimum && float64(count) >= majorityFraction*float64(l.total)
}

// dominates reports whether the customer has at least dominantFraction of the requests in flight.
func (l *customerLoad) dominates(customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.counts[customer]
	return count > 0 && float64(count) >= dominantFraction*float64(l.total)
}
