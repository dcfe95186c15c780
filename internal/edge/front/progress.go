package front

import "sync"

// dominantPart is the part of the requests in progress from which a customer is
// the one that dominates a host: it is refused first when there is no room.
const dominantPart = 0.25

// overRoom is how far others may pass the bound of requests in progress.
const overRoom = 1.25

// fillPart is the part of the requests in progress, fillLeast the number of them, from
// which a customer fills a host by itself. Fewer are a coincidence.
const (
	fillPart  = 0.5
	fillLeast = 8
)

// progress counts the requests in progress at this host by customer. It is safe
// for concurrent use.
type progress struct {
	mu  sync.Mutex
	by  map[string]int
	all int
}

func (p *progress) begin(customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.by[customer]++
	p.all++
}

func (p *progress) end(customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all--
	if p.by[customer]--; p.by[customer] == 0 {
		delete(p.by, customer)
	}
}

// fills reports whether the customer's requests are most of what this host does.
func (p *progress) fills(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isMost(p.by[customer])
}

// filled reports whether some customer's requests are most of what this host does.
func (p *progress) filled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, mine := range p.by {
		if p.isMost(mine) {
			return true
		}
	}
	return false
}

// isMost reports whether so many requests are most of what this host does; the lock is held.
func (p *progress) isMost(mine int) bool {
	return mine >= fillLeast && float64(mine) >= fillPart*float64(p.all)
}

// dominates reports whether the customer has so many of the requests in progress
// that it is the one to give way.
func (p *progress) dominates(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	mine := p.by[customer]
	return mine > 0 && float64(mine) >= dominantPart*float64(p.all)
}
