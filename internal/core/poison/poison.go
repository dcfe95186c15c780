// Package poison finds requests that crash the servers which run them (poison requests,
// queries of death). Such a request comes again and again, under new attempt IDs, at any
// router, and ends one server after the other with all that they run.
//
// Each router notes under which contents a server ended (End) and tells the others, so that
// all hold the same table within some reports. A content under which servers have ended
// three times, with no whole answer since, is blocked: it is sent to no server for a while.
// What ran beside a guilty request ends with its server too; it differs in that it does not end
// servers again and again.
//
// The package has no input or output; time comes in as an argument. Tables merge in any order
// and as often as they are told.
package poison

import (
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// EndsToBlock is how many times servers have to end under a content for it to be
	// blocked. Two may be chance. By count: of 40 requests that one of 18 engines runs beside a
	// guilty one and that all come again, 40/18 meet it a second time and 40/324 a third.
	EndsToBlock = 3
	// sameMoment is the time within which ends of servers count once, unless the later
	// run was sent after the earlier end. A lost rack or power feed ends many servers at
	// once, and a content that many callers ask for runs at several of them.
	sameMoment = 100 * time.Millisecond
	// BlockFor is how long a content is blocked after the last end. After it one more end
	// blocks it again: what can't be mended costs a server in each such time, and what was
	// mended meanwhile, or was blocked by chance, is served again.
	BlockFor = 10 * time.Minute
	// forgetAfter is when a content is forgotten after the last end under it.
	forgetAfter = time.Hour
	// most bounds the contents that are remembered: 100 engines that end with 40 requests
	// each. One takes some 300 bytes.
	most = 4096
	// endsKept bounds the ends that are kept of one content, the newest.
	endsKept = 8
	// newer is by how much a moment that is told has to be later than the one known to be
	// another: each router that tells it on makes it later by the way.
	newer = 500 * time.Millisecond
)

// End is a server that ended while it ran a request.
type End struct {
	Server routing.ServerKey
	Sent   time.Time // when the request was sent there
	At     time.Time // when the server ended
}

// Change is what one end changed.
type Change struct {
	Ends    int  // that count, since the last whole answer
	Blocked bool // the content is blocked from now on
}

// record is what is known of one content.
type record struct {
	ends   []End     // by At
	worked time.Time // the last whole answer to it
	held   bool      // it was blocked when it was last looked at
	stored bool      // the store has it
	due    time.Time // when this router writes it into the store
}

// Table is what a router knows. It is not safe for concurrent use.
type Table struct {
	records map[routing.Content]*record
	order   []routing.Content        // of the records, as they came
	fresh   map[routing.Content]bool // what the others are to be told
	lifted  map[routing.Content]bool // what the store is to forget
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records: map[routing.Content]*record{},
		fresh:   map[routing.Content]bool{},
		lifted:  map[routing.Content]bool{},
	}
}

// Empty reports whether no server has ended lately: then nothing is blocked, and no
// answer tells anything.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Ended notes that a server ended under one of this router's own requests.
func (t *Table) Ended(c routing.Content, e End) Change {
	r := t.get(c)
	if !r.add(e) {
		return Change{Ends: r.count()}
	}
	t.fresh[c] = true
	change := Change{Ends: r.count(), Blocked: t.settle(c, r, e.At)}
	if change.Blocked {
		r.due = e.At // this router knows it first
	}
	return change
}

// Worked notes a whole answer to the content, and reports whether it counted as blocked
// or on the way to it.
func (t *Table) Worked(c routing.Content, now time.Time) bool {
	r := t.records[c]
	if r == nil || r.count() == 0 {
		return false
	}
	r.worked = now
	t.fresh[c] = true
	t.settle(c, r, now)
	return true
}

// Blocked returns for how long the content is blocked yet; 0: it is not.
func (t *Table) Blocked(c routing.Content, now time.Time) time.Duration {
	r := t.records[c]
	if r == nil || !r.blocked(now) {
		return 0
	}
	return r.last().Add(BlockFor).Sub(now)
}

// Count returns how many contents are blocked.
func (t *Table) Count(now time.Time) int {
	n := 0
	for _, r := range t.records {
		if r.blocked(now) {
			n++
		}
	}
	return n
}

// Tick forgets what is old.
func (t *Table) Tick(now time.Time) {
	for c, r := range t.records {
		t.settle(c, r, now)
		if now.Sub(r.last()) > forgetAfter {
			t.forget(c)
		}
	}
	t.order = slices.DeleteFunc(t.order, func(c routing.Content) bool { return t.records[c] == nil })
}

// settle looks whether the content is blocked, and reports whether it newly is. What is not
// any more is to be forgotten by the store.
func (t *Table) settle(c routing.Content, r *record, now time.Time) bool {
	held := r.held
	r.held = r.blocked(now)
	if held && !r.held {
		r.stored = false
		t.lifted[c] = true
	}
	if r.held {
		delete(t.lifted, c)
	}
	return r.held && !held
}

// forget drops a content.
func (t *Table) forget(c routing.Content) {
	delete(t.records, c)
	delete(t.fresh, c)
}

// get returns the content's record.
func (t *Table) get(c routing.Content) *record {
	r := t.records[c]
	if r == nil {
		t.makeRoom()
		r = &record{}
		t.records[c] = r
		t.order = append(t.order, c)
	}
	return r
}

// makeRoom forgets the content that came first of those that are not blocked, if there is
// no room.
func (t *Table) makeRoom() {
	for range most {
		if len(t.records) < most {
			return
		}
		c := t.order[0]
		t.order = t.order[1:]
		if r := t.records[c]; r != nil && r.held {
			t.order = append(t.order, c)
			continue
		}
		t.forget(c)
	}
}

// add notes an end and reports whether it is new. Each start of a server ends once.
func (r *record) add(e End) bool {
	for _, known := range r.ends {
		if known.Server == e.Server {
			return false
		}
	}
	at, _ := slices.BinarySearchFunc(r.ends, e, func(a, b End) int { return a.At.Compare(b.At) })
	r.ends = slices.Insert(r.ends, at, e)
	if len(r.ends) > endsKept {
		r.ends = r.ends[1:]
	}
	return true
}

// last is when the last server ended; zero: none has.
func (r *record) last() time.Time {
	if len(r.ends) == 0 {
		return time.Time{}
	}
	return r.ends[len(r.ends)-1].At
}

// count is how many times servers have ended since the last whole answer.
func (r *record) count() int {
	n := 0
	var counted time.Time
	for _, e := range r.ends {
		if !e.At.After(r.worked) {
			continue
		}
		if n > 0 && e.Sent.Before(counted) && e.At.Sub(counted) < sameMoment {
			continue
		}
		n++
		counted = e.At
	}
	return n
}

// blocked reports whether the content is blocked.
func (r *record) blocked(now time.Time) bool {
	return r.count() >= EndsToBlock && now.Sub(r.last()) < BlockFor
}
