package poison

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	// repeatDuration is how long after its last crash a content that is not blocked is repeated to
	// other routers. A router that missed the report of the first crash then learns of it in time
	// for the third.
	repeatDuration = 10 * time.Second
	// crashesToRepeat is the number of crashes from which a content is repeated. Most contents with
	// a single crash are harmless: an engine crashes with some 40 requests.
	crashesToRepeat = 2
	// storeWriteDelay is the minimum delay after which a router that only heard of a blocked content
	// writes it to the store itself, in case the router that knew of it first is gone. The delay is
	// random, up to twice this value, and the write is skipped if the content is reported as stored
	// by then.
	storeWriteDelay = 2 * time.Second
)

// maxPartUpdates bounds the parts in one report of updates. Each crash changes the records of all parts
// that the server's requests have.
const maxPartUpdates = 48

// Record is the state of one content as exchanged between routers.
type Record struct {
	Content      routing.ContentHash
	Crashes      []CrashAge
	SucceededAge time.Duration // time since the last complete response; 0 if there was none
	Stored       bool          // the store has this record
	// Blocked means that the sender has blocked the part, not only by unconfirmed crashes. It is not set
	// for contents, which each router classifies by the crashes alone.
	Blocked bool
}

// CrashAge is a crash with relative instead of absolute times.
type CrashAge struct {
	Server routing.ServerKey
	Ran    time.Duration // from sending the request to the crash
	Age    time.Duration // time since the crash
}

// toRecord returns the exchangeable form of the record.
func (r *record) toRecord(c routing.ContentHash, now time.Time) Record {
	out := Record{Content: c, Stored: r.stored, Blocked: r.corroborated && r.conclusive}
	if !r.succeededAt.IsZero() {
		out.SucceededAge = max(now.Sub(r.succeededAt), 1)
	}
	for _, crash := range r.crashes {
		out.Crashes = append(out.Crashes, CrashAge{Server: crash.Server, Ran: crash.At.Sub(crash.Sent), Age: now.Sub(crash.At)})
	}
	return out
}

// Merge merges records from another router or the store and returns the contents that become
// blocked. rng spreads the times at which routers write them to the store.
func (t *Table) Merge(records []Record, rng *rand.Rand, now time.Time) (blocked []routing.ContentHash) {
	for _, reported := range records {
		if len(reported.Crashes) == 0 || reported.Crashes[len(reported.Crashes)-1].Age > retention {
			continue
		}
		r := t.recordFor(reported.Content)
		t.mergeRecord(r, reported, now)
		t.crashesChanged(reported.Content, r)
	}
	blocked = t.updateBlocked(now)
	t.deferWrites(blocked, rng, now)
	return blocked
}

// deferWrites delays this router's store writes of newly blocked contents, unless it observed one of
// their crashes itself. Every router that did writes immediately, since the router of the last crash
// may not have known enough of the earlier ones.
func (t *Table) deferWrites(blocked []routing.ContentHash, rng *rand.Rand, now time.Time) {
	for _, c := range blocked {
		if r := t.records[c]; !r.sawCrash {
			r.storeAt = fallbackWriteTime(rng, now)
		}
	}
}

// mergeRecord merges a reported record of a content.
func (t *Table) mergeRecord(r *record, reported Record, now time.Time) {
	for _, crash := range reported.Crashes {
		at := now.Add(-crash.Age)
		if first, known := t.crashedAt[crash.Server]; known && first.Before(at) {
			at = first // a report adds its transmission delay
		}
		t.addCrash(r, Crash{Server: crash.Server, Sent: at.Add(-crash.Ran), At: at})
	}
	if reported.SucceededAge > 0 {
		if at := now.Add(-reported.SucceededAge); at.Sub(r.succeededAt) > reportTimeTolerance {
			r.succeededAt = at
			r.corroborated, r.reportedBlocked = false, false
		}
	}
	r.stored = r.stored || reported.Stored
	if reported.Blocked {
		r.corroborated, r.reportedBlocked = true, true
	}
}

// TakeUpdates returns the records that have not been reported to other routers yet and marks them as
// reported.
func (t *Table) TakeUpdates(now time.Time) []Record {
	keys := slices.Collect(maps.Keys(t.dirty))
	if t.kind == Parts && len(keys) > maxPartUpdates {
		slices.SortFunc(keys, func(a, b routing.ContentHash) int {
			return cmp.Or(cmp.Compare(len(t.records[b].counted), len(t.records[a].counted)), cmp.Compare(a, b))
		})
		keys = keys[:maxPartUpdates]
	}
	var list []Record
	for _, c := range keys {
		list = append(list, t.records[c].toRecord(c, now))
		delete(t.dirty, c)
	}
	return list
}

// RecordsToRepeat returns up to limit records that are sent repeatedly, latest crash first: blocked
// contents and those that may soon be blocked.
func (t *Table) RecordsToRepeat(limit int, now time.Time) []Record {
	var list []Record
	for c, r := range t.records {
		if len(r.crashes) < crashesToRepeat || t.kind == Parts && len(r.counted) < crashesToRepeat || !now.Before(r.blockedUntil()) && now.Sub(r.lastCrash()) > repeatDuration {
			continue
		}
		list = append(list, r.toRecord(c, now))
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Crashes[len(a.Crashes)-1].Age, b.Crashes[len(b.Crashes)-1].Age), cmp.Compare(a.Content, b.Content))
	})
	return list[:min(len(list), limit)]
}

// StoreChanges returns the records that this router should write to the store, and the contents to
// remove from it, which applies only if this router removes entries on behalf of the fleet.
func (t *Table) StoreChanges(now time.Time) (write []Record, remove []routing.ContentHash) {
	for c, r := range t.records {
		if r.wasBlocked && !r.stored && !now.Before(r.storeAt) {
			write = append(write, r.toRecord(c, now))
		}
	}
	for c := range t.unblocked {
		remove = append(remove, c)
	}
	return write, remove
}

// MarkAllUnstored records that the store has lost recent writes. Blocked contents are written again
// by whichever router is first.
func (t *Table) MarkAllUnstored(rng *rand.Rand, now time.Time) {
	for _, r := range t.records {
		r.stored = false
		r.storeAt = fallbackWriteTime(rng, now)
	}
}

// ClearStored clears the Stored flag of records received from another router.
func ClearStored(reported []Record) {
	for i := range reported {
		reported[i].Stored = false
	}
}

// fallbackWriteTime returns when a router that was not the first to detect a blocked content writes
// it to the store.
func fallbackWriteTime(rng *rand.Rand, now time.Time) time.Time {
	return now.Add(storeWriteDelay + time.Duration(rng.Int64N(int64(storeWriteDelay))))
}

// MarkStored records that the store now has the written records and no longer has the removed
// contents.
func (t *Table) MarkStored(written []Record, removed []routing.ContentHash) {
	for _, reported := range written {
		if r := t.records[reported.Content]; r != nil {
			r.stored = true
			t.dirty[reported.Content] = true
		}
	}
	for _, c := range removed {
		delete(t.unblocked, c)
	}
}
