package poison

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// repeatFor is how long after its last crash a content that is not blocked is repeated to
	// the others: one that heard nothing of the first crash learns it in time for the third.
	repeatFor = 10 * time.Second
	// repeatFrom is from how many crashes on a content is repeated. Of what crashed a server once, most
	// is innocent: an engine crashes with some 40 requests.
	repeatFrom = 2
	// storeAfter is how long after a router has heard that a content is blocked it writes
	// that into the store itself, to twice that, unless it hears that it is there: the router
	// that knew it first may be gone.
	storeAfter = 2 * time.Second
)

// Record is what routers tell each other of a content.
type Record struct {
	Content   routing.ContentHash
	Crashes   []CrashAge
	Succeeded time.Duration // how long ago there was a complete response; 0: there was none
	Stored    bool          // the store has it
}

// CrashAge is a crash, told by ages.
type CrashAge struct {
	Server routing.ServerKey
	Ran    time.Duration // from the sending to the crash
	Age    time.Duration // of the crash
}

// record returns what is told of a content.
func (r *record) record(c routing.ContentHash, now time.Time) Record {
	out := Record{Content: c, Stored: r.stored}
	if !r.succeededAt.IsZero() {
		out.Succeeded = max(now.Sub(r.succeededAt), 1)
	}
	for _, e := range r.crashes {
		out.Crashes = append(out.Crashes, CrashAge{Server: e.Server, Ran: e.At.Sub(e.Sent), Age: now.Sub(e.At)})
	}
	return out
}

// Merge takes what another router reports, or the store, and returns the contents that are
// newly blocked. It draws from rng when this router is to write them into the store.
func (t *Table) Merge(records []Record, rng *rand.Rand, now time.Time) (blocked []routing.ContentHash) {
	for _, told := range records {
		if len(told.Crashes) == 0 || told.Crashes[len(told.Crashes)-1].Age > forgetAfter {
			continue
		}
		r := t.get(told.Content)
		t.mergeRecord(r, told, now)
		t.changed(told.Content, r)
	}
	blocked = t.settle(now)
	t.postponeWrites(blocked, rng, now)
	return blocked
}

// postponeWrites has this router write newly blocked contents into the store later than those that
// saw one of their crashes: any of these writes at once, since the router of the last crash may
// have known of too few others.
func (t *Table) postponeWrites(blocked []routing.ContentHash, rng *rand.Rand, now time.Time) {
	for _, c := range blocked {
		if r := t.records[c]; !r.own {
			r.due = storeDue(rng, now)
		}
	}
}

// mergeRecord takes what was reported of a content.
func (t *Table) mergeRecord(r *record, told Record, now time.Time) {
	for _, e := range told.Crashes {
		at := now.Add(-e.Age)
		if first, known := t.crashedAt[e.Server]; known && first.Before(at) {
			at = first // a report makes it later by its time on the way
		}
		t.add(r, Crash{Server: e.Server, Sent: at.Add(-e.Ran), At: at})
	}
	if told.Succeeded > 0 {
		if at := now.Add(-told.Succeeded); at.Sub(r.succeededAt) > newer {
			r.succeededAt = at
		}
	}
	r.stored = r.stored || told.Stored
}

// TakeUpdates returns what the other routers don't know yet, once.
func (t *Table) TakeUpdates(now time.Time) []Record {
	var list []Record
	for c := range t.dirty {
		list = append(list, t.records[c].record(c, now))
	}
	clear(t.dirty)
	return list
}

// Repeat returns what is told again and again, that with the latest crash first, at most so
// many: what is blocked, and what may be soon.
func (t *Table) Repeat(most int, now time.Time) []Record {
	var list []Record
	for c, r := range t.records {
		if len(r.crashes) < repeatFrom || !now.Before(r.until()) && now.Sub(r.last()) > repeatFor {
			continue
		}
		list = append(list, r.record(c, now))
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Crashes[len(a.Crashes)-1].Age, b.Crashes[len(b.Crashes)-1].Age), cmp.Compare(a.Content, b.Content))
	})
	return list[:min(len(list), most)]
}

// ToStore returns what this router is to write into the store, and what it is to remove
// there if it does so for the rest of the fleet.
func (t *Table) ToStore(now time.Time) (write []Record, remove []routing.ContentHash) {
	for c, r := range t.records {
		if r.held && !r.stored && !now.Before(r.due) {
			write = append(write, r.record(c, now))
		}
	}
	for c := range t.lifted {
		remove = append(remove, c)
	}
	return write, remove
}

// Unstored notes that the store has lost what was written lately: what is blocked is written
// again, by the router that comes first.
func (t *Table) Unstored(rng *rand.Rand, now time.Time) {
	for _, r := range t.records {
		r.stored = false
		r.due = storeDue(rng, now)
	}
}

// Unstored takes from what another router told that the store has it.
func Unstored(told []Record) {
	for i := range told {
		told[i].Stored = false
	}
}

// storeDue is when a router that did not learn first of a blocked content writes it.
func storeDue(rng *rand.Rand, now time.Time) time.Time {
	return now.Add(storeAfter + time.Duration(rng.Int64N(int64(storeAfter))))
}

// Stored notes that the store has the ones and has forgotten the others.
func (t *Table) Stored(written []Record, removed []routing.ContentHash) {
	for _, told := range written {
		if r := t.records[told.Content]; r != nil {
			r.stored = true
			t.dirty[told.Content] = true
		}
	}
	for _, c := range removed {
		delete(t.lifted, c)
	}
}
