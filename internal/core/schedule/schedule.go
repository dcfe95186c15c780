// Package schedule orders the requests that wait at the scheduler of a data centre because no engine
// has room for them. The package does no I/O; time is passed in as an argument.
//
// Order: customers below their share before those at it and those above it; then the priority, until
// a request has used up half of its time to wait; then the least time left; then the customer that
// was served least recently. Customers far above their share are not queued here.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/fair"
)

const (
	// MaxLength bounds the queue: what 64 engines serve in half a second at most.
	MaxLength = 512
	// slackStep is the precision of the comparison of the time left, so that customers take turns
	// among requests that are equally urgent.
	slackStep = 20 * time.Millisecond
	// maxServed bounds the customers whose last served request is remembered.
	maxServed = 4096
)

// Key identifies an ask: the router that sent it and its ID.
type Key struct {
	From string
	ID   uint64
}

// Item is a request that waits.
type Item[T any] struct {
	Key      Key
	Service  string
	Customer string
	Priority int // 0 is the highest
	Arrived  time.Time
	// Latest is when it must be assigned to an engine that has nothing to do, or it is late.
	Latest time.Time
	Work   time.Duration // processing time at an engine
	// NextTry is when an engine may have room for it, by the last try.
	NextTry time.Time
	Value   T

	standing   int
	lastServed int64 // of its customer, as a sequence number
}

// rank returns the priority that counts now: none after half of the time to wait, so that a less
// urgent request is not passed over until it is too late.
func (i *Item[T]) rank(now time.Time) int {
	if now.Sub(i.Arrived) > i.Latest.Sub(i.Arrived)/2 {
		return 0
	}
	return i.Priority
}

// compare orders two requests; the one that goes first is less.
func compare[T any](a, b *Item[T], now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.standing, b.standing),
		cmp.Compare(a.rank(now), b.rank(now)),
		cmp.Compare(a.Latest.UnixNano()/int64(slackStep), b.Latest.UnixNano()/int64(slackStep)),
		cmp.Compare(a.lastServed, b.lastServed),
		a.Latest.Compare(b.Latest),
		cmp.Compare(a.Key.From, b.Key.From),
		cmp.Compare(a.Key.ID, b.Key.ID),
	)
}

// standings orders customers by their throughput relative to their share.
var standings = [...]int{fair.BelowShare: 0, fair.AtShare: 1, fair.AboveShare: 2}

// Queue holds the requests that wait. It is not safe for concurrent use.
type Queue[T any] struct {
	items    []*Item[T]
	sequence int64
	served   map[string]int64 // by customer, the sequence number of its last request that was served
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] { return &Queue[T]{served: map[string]int64{}} }

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// Each calls f with each waiting request, in no particular order.
func (q *Queue[T]) Each(f func(*Item[T])) {
	for _, i := range q.items {
		f(i)
	}
}

// setStanding sets what the order depends on besides the request itself.
func (q *Queue[T]) setStanding(i *Item[T], status fair.ShareStatus) {
	i.standing = standings[status]
	i.lastServed = q.served[i.Customer]
}

// Push adds a request of a customer with the given standing. If the queue is full, the last one in
// the order expires and is returned; it may be the new one, which is then not added.
func (q *Queue[T]) Push(i *Item[T], status fair.ShareStatus, now time.Time) (dropped *Item[T]) {
	q.setStanding(i, status)
	q.items = append(q.items, i)
	if len(q.items) <= MaxLength {
		return nil
	}
	last := q.items[0]
	for _, other := range q.items[1:] {
		if compare(other, last, now) > 0 {
			last = other
		}
	}
	if last == i {
		q.Remove(i.Key)
	}
	last.Latest = now.Add(-time.Nanosecond)
	return last
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue[T]) Remove(k Key) bool {
	n := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(i *Item[T]) bool { return i.Key == k })
	return len(q.items) < n
}

// TakeExpired removes and returns the requests that can't be in time any more.
func (q *Queue[T]) TakeExpired(now time.Time) (expired []*Item[T]) {
	q.items = slices.DeleteFunc(q.items, func(i *Item[T]) bool {
		late := now.After(i.Latest)
		if late {
			expired = append(expired, i)
		}
		return late
	})
	return expired
}

// Due orders the queue by the customers' standing of this moment and returns the first requests
// whose time for a try has come, up to limit.
func (q *Queue[T]) Due(standing func(customer string) fair.ShareStatus, now time.Time, limit int) (first []*Item[T]) {
	known := map[string]fair.ShareStatus{}
	for _, i := range q.items {
		status, ok := known[i.Customer]
		if !ok {
			status = standing(i.Customer)
			known[i.Customer] = status
		}
		q.setStanding(i, status)
	}
	slices.SortFunc(q.items, func(a, b *Item[T]) int { return compare(a, b, now) })
	for _, i := range q.items {
		if len(first) == limit {
			break
		}
		if !now.Before(i.NextTry) {
			first = append(first, i)
		}
	}
	return first
}

// Ahead returns how much work waits before a request of a customer with the given standing that is
// not in the queue, and whether one before it may find room now.
func (q *Queue[T]) Ahead(i *Item[T], status fair.ShareStatus, now time.Time) (work time.Duration, ready bool) {
	q.setStanding(i, status)
	for _, other := range q.items {
		if other.Service == i.Service && compare(other, i, now) < 0 {
			work += other.Work
			ready = ready || !now.Before(other.NextTry)
		}
	}
	return work, ready
}

// HasWaiting reports whether a customer that is not above its share waits.
func (q *Queue[T]) HasWaiting() bool {
	return slices.ContainsFunc(q.items, func(i *Item[T]) bool { return i.standing < standings[fair.AboveShare] })
}

// RecordServed records that a request of the customer was assigned to an engine.
func (q *Queue[T]) RecordServed(customer string) {
	q.sequence++
	if len(q.served) >= maxServed {
		clear(q.served)
	}
	q.served[customer] = q.sequence
}
