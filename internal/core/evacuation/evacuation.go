// Package evacuation tracks which data centres are evacuated: no requests are sent to their servers
// until the operator ends the evacuation. It performs no I/O; time is passed in as an argument.
//
// Invariants: the rows are those of the store at the stamp, so that equal stamps imply equal rows;
// any state beyond the rows expires by itself.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
)

const (
	// restoreGracePeriod is how long an evacuation stays in force if the store was restored from a
	// backup that lacks its row: the operator writes it again shortly afterwards.
	restoreGracePeriod = 5 * time.Second
	// endedRetention is how long the end of an evacuation is remembered.
	endedRetention = time.Minute
	// maxReportedEndAge is the age up to which ends reported by other routers are accepted. If it
	// were equal to endedRetention, two routers would keep renewing each other's entries forever.
	maxReportedEndAge = endedRetention / 2
)

// List is one router's list of evacuations. It is not safe for concurrent use.
type List struct {
	stamp    roster.Stamp
	rows     map[string]bool
	retained map[string]time.Time // expiry of evacuations that are in force without a row
	endedAt  map[string]time.Time // when each evacuation was seen to have ended
}

// New returns an empty list.
func New() *List {
	return &List{rows: map[string]bool{}, retained: map[string]time.Time{}, endedAt: map[string]time.Time{}}
}

// Stamp returns the stamp of the rows.
func (l *List) Stamp() roster.Stamp { return l.stamp }

// Evacuated reports whether the data centre is evacuated.
func (l *List) Evacuated(dataCentre string) bool {
	_, isRetained := l.retained[dataCentre]
	return isRetained || l.rows[dataCentre]
}

// All returns the evacuated data centres, sorted.
func (l *List) All() []string {
	all := maps.Clone(l.rows)
	for dc := range l.retained {
		all[dc] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// RecentlyEnded returns the data centres whose evacuation has recently ended, with the time of the
// end. The caller must not modify the map.
func (l *List) RecentlyEnded() map[string]time.Time { return l.endedAt }

// Replace replaces all rows by those at the given stamp, unless they are older than the known ones,
// and reports whether it did.
func (l *List) Replace(rows []string, stamp roster.Stamp, now time.Time) bool {
	if l.stamp.After(stamp) {
		return false
	}
	restored := stamp.Era > l.stamp.Era && l.stamp != (roster.Stamp{})
	l.stamp = stamp
	before := l.rows
	l.rows = map[string]bool{}
	for _, dc := range rows {
		l.set(dc)
	}
	for dc := range before {
		switch {
		case l.rows[dc]:
		case restored:
			l.retained[dc] = now.Add(restoreGracePeriod)
		default:
			l.end(dc, now)
		}
	}
	return true
}

// Apply applies changed rows at the given stamp, unless they are older than the known ones, and
// reports whether it did.
func (l *List) Apply(set, removed []string, stamp roster.Stamp, now time.Time) bool {
	if len(set)+len(removed) == 0 || l.stamp.After(stamp) {
		return false
	}
	l.stamp = stamp
	for _, dc := range set {
		l.set(dc)
	}
	for _, dc := range removed {
		delete(l.rows, dc)
		l.end(dc, now)
	}
	return true
}

func (l *List) set(dataCentre string) {
	l.rows[dataCentre] = true
	delete(l.retained, dataCentre)
	delete(l.endedAt, dataCentre)
}

func (l *List) end(dataCentre string, now time.Time) {
	delete(l.retained, dataCentre)
	l.endedAt[dataCentre] = now
}

// Tick ends the evacuations whose grace period has expired and reports whether there were any.
func (l *List) Tick(now time.Time) (changed bool) {
	for dc, until := range l.retained {
		if !now.Before(until) {
			l.end(dc, now)
			changed = true
		}
	}
	maps.DeleteFunc(l.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) > endedRetention })
	return changed
}

// Snapshot is a list as exchanged between routers.
type Snapshot struct {
	Rows  []string
	Kept  map[string]time.Duration // remaining time
	Ended map[string]time.Duration // time since the end
}

// Snapshot returns the list for other routers.
func (l *List) Snapshot(now time.Time) Snapshot {
	t := Snapshot{Rows: slices.Sorted(maps.Keys(l.rows))}
	if len(l.retained) > 0 {
		t.Kept = map[string]time.Duration{}
	}
	for dc, until := range l.retained {
		t.Kept[dc] = until.Sub(now)
	}
	if len(l.endedAt) > 0 {
		t.Ended = map[string]time.Duration{}
	}
	for dc, at := range l.endedAt {
		t.Ended[dc] = now.Sub(at)
	}
	return t
}

// Merge merges another router's list, unless it is older, and reports whether the evacuations in
// force or the recently ended ones have changed.
func (l *List) Merge(t Snapshot, stamp roster.Stamp, now time.Time) bool {
	if l.stamp.After(stamp) {
		return false
	}
	changed := l.stamp != stamp
	if changed {
		l.Replace(t.Rows, stamp, now)
	}
	for dc, left := range t.Kept {
		if _, hasEnded := l.endedAt[dc]; !hasEnded && !l.Evacuated(dc) && left > 0 {
			l.retained[dc] = now.Add(min(left, restoreGracePeriod))
			changed = true
		}
	}
	for dc, age := range t.Ended {
		if _, hasEnded := l.endedAt[dc]; !hasEnded && !l.Evacuated(dc) && age >= 0 && age < maxReportedEndAge {
			l.endedAt[dc] = now.Add(-age)
			changed = true
		}
	}
	return changed
}
