// Package bounded reads what other processes send into memory that is bounded for each message and for
// all of them together.
package bounded

import "sync/atomic"

// Budget is the memory that messages of other processes may use together. A nil budget has no limit. It
// is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// add changes the reserved bytes by n, which may be negative, unless they would exceed the limit.
func (b *Budget) add(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit && n > 0 {
		b.used.Add(-n)
		return false
	}
	return true
}

// Reservation is one message's part of a budget. It is not safe for concurrent use.
type Reservation struct {
	Budget *Budget
	size   int64
}

// Resize changes the reservation to size bytes and reports whether the budget allows it.
func (r *Reservation) Resize(size int64) bool {
	if !r.Budget.add(size - r.size) {
		return false
	}
	r.size = size
	return true
}

// Release gives the reserved bytes back.
func (r *Reservation) Release() { r.Resize(0) }

// MemoryError means that other messages use all of the budget.
type MemoryError struct{}

// Error implements error.
func (*MemoryError) Error() string { return "no memory left for messages of other processes" }
