package backend

import "sync"

// Faults holds how a stand-in behaves now. Its methods may be called from any
// goroutine.
type Faults[F any] struct {
	ok    F
	count func(*F) *int

	mu  sync.Mutex
	now F
}

// NewFaults returns Faults that behave as ok. count finds the number of
// requests that a fault holds for; 0: until the next change.
func NewFaults[F any](ok F, count func(*F) *int) *Faults[F] {
	return &Faults[F]{ok: ok, count: count, now: ok}
}

// Set replaces the fault.
func (f *Faults[F]) Set(fault F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = fault
}

// Now returns the fault without using it up.
func (f *Faults[F]) Now() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Take returns the fault that a new request meets.
func (f *Faults[F]) Take() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.now
	left := f.count(&f.now)
	if *left == 0 {
		return fault
	}
	*left--
	if *left == 0 {
		f.now = f.ok
	}
	return fault
}
