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

func (p *customerLoad) add(customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[customer]++
	p.total++
}

func (p *customerLoad) remove(customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	if p.counts[customer]--; p.counts[customer] == 0 {
		delete(p.counts, customer)
	}
}

// isMajority reports whether the customer has the majority of this host's requests.
func (p *customerLoad) isMajority(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reachesMajority(p.counts[customer])
}

// anyMajority reports whether some customer has the majority of this host's requests.
func (p *customerLoad) anyMajority() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.counts {
		if p.reachesMajority(count) {
			return true
		}
	}
	return false
}

// reachesMajority reports whether count requests are the majority. The caller holds the lock.
func (p *customerLoad) reachesMajority(count int) bool {
	return count >= majorityMinimum && float64(count) >= majorityFraction*float64(p.total)
}

// dominates reports whether the customer has at least dominantFraction of the requests in flight.
func (p *customerLoad) dominates(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := p.counts[customer]
	return count > 0 && float64(count) >= dominantFraction*float64(p.total)
}
