// Package affinity remembers which software version of a service began each stream. Versions may write
// incompatible events, so a stream that broke off may be resumed only at the version that began it, by
// whichever router its caller comes back to.
//
// A router records each stream at a few holders, chosen among all routers by rendezvous hashing of the
// stream's key, and a router that doesn't know a stream asks them. The holders of a key change only
// when one of them leaves the fleet or a router with a higher score joins.
//
// The package does no I/O; time is passed in as an argument.
package affinity

import (
	"time"
	"unique"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// RecordHolders is the number of other routers at which a stream is recorded. It is lost only if
	// they and the router that served it fail within the lifetime of the stream.
	RecordHolders = 3
	// LookupHolders is the number of routers that are asked for a stream. The router that recorded it
	// left itself out, so that the holders are among the first RecordHolders+1.
	LookupHolders = RecordHolders + 1
	// MaxTTL is the longest time for which a stream is remembered. No caller waits that long.
	MaxTTL = time.Minute
	// maxEntries bounds the memory of a table, at about 80 bytes for each entry.
	maxEntries = 1 << 15
	// expiryInterval is how often expired entries are removed.
	expiryInterval = 2 * time.Second
)

// Key identifies a stream by the attempt that brought its first event.
type Key uint64

// KeyOf returns the key of a stream. The customer and the route are part of it, so that no caller can
// resume the stream of another one.
func KeyOf(customer, route, attempt string) Key {
	return Key(routing.HashContent(customer, route, attempt, "", nil))
}

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // software version of the server
}

// entry is a stream in a table.
type entry struct {
	origin  unique.Handle[Origin]
	expires time.Time
	// conflicting means that the stream was recorded with two origins, neither of which can be trusted.
	conflicting bool
}

// Outcome is the effect of recording a stream.
type Outcome int

// The outcomes.
const (
	Recorded Outcome = iota + 1
	TableFull
	Conflicting // it is known with another origin
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"", "recorded", "table full", "known with another origin"}[o]
}

// UnknownError means that it can't be found out where a stream began.
type UnknownError struct {
	Asked    int // number of routers that were asked
	Answered int // number of those that answered; none of them knows the stream
}

// Error implements error.
func (e *UnknownError) Error() string {
	if e.Unreachable() {
		return "the routers that may know the stream can't be reached"
	}
	return "no router knows the stream"
}

// AmbiguousError means that a stream whose first attempt is not named may have begun at several places.
type AmbiguousError struct {
	// UnknownHere means that this router does not know all servers and routes for as long as a stream can
	// last; another one may.
	UnknownHere bool
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	if e.UnknownHere {
		return "its first attempt is not named, and this router does not know all servers and routes of the last minute"
	}
	return "its first attempt is not named, and it may have begun at several versions"
}

// Unreachable reports whether a router that did not answer may know the stream.
func (e *UnknownError) Unreachable() bool { return e.Answered < e.Asked || e.Asked == 0 }

// Table holds the origins of streams. It is not safe for concurrent use.
type Table struct {
	entries    map[Key]entry
	lastExpiry time.Time
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[Key]entry{}} }

// Len returns the number of streams in the table, including some that have expired.
func (t *Table) Len() int { return len(t.entries) }

// Record records a stream for the given time, at most MaxTTL. Recording it again can extend the time.
func (t *Table) Record(k Key, o Origin, ttl time.Duration, now time.Time) Outcome {
	t.expire(now)
	e, known := t.entries[k]
	if known && !now.Before(e.expires) {
		known = false
	}
	expires := now.Add(min(ttl, MaxTTL))
	origin := unique.Make(o)
	switch {
	case known && e.origin != origin:
		e.conflicting = true
		t.entries[k] = e
		return Conflicting
	case known:
		if expires.After(e.expires) {
			e.expires = expires
			t.entries[k] = e
		}
		return Recorded
	case len(t.entries) >= maxEntries:
		return TableFull
	}
	t.entries[k] = entry{origin: origin, expires: expires}
	return Recorded
}

// Find returns the origin of a stream and the time for which it is still remembered.
func (t *Table) Find(k Key, now time.Time) (_ Origin, ttl time.Duration, ok bool) {
	e, known := t.entries[k]
	if !known || e.conflicting || !now.Before(e.expires) {
		return Origin{}, 0, false
	}
	return e.origin.Value(), e.expires.Sub(now), true
}

// expire removes expired entries if that is due.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.lastExpiry) < expiryInterval {
		return
	}
	t.lastExpiry = now
	for k, e := range t.entries {
		if !now.Before(e.expires) {
			delete(t.entries, k)
		}
	}
}
