// Package evacuation keeps which data centres are evacuated: nothing is sent to their servers
// until the operator takes that back. It has no input or output; time comes in as an argument.
//
// Invariants: the rows are the store's as of the stamp, so that equal stamps mean equal rows;
// what a router believes beyond them ends by itself.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/roster"
)

const (
	// keptFor is how long an evacuation stays in force whose row a copy lacks from which the
	// store has come back: the operator writes it again within some moments.
	keptFor = 5 * time.Second
	// endedFor is how long it is remembered when an evacuation was taken back.
	endedFor = time.Minute
	// endedTold is the age up to which others are believed about that: were it the same, two
	// routers would remind each other for ever.
	endedTold = endedFor / 2
)

// List is one router's. It is not safe for concurrent use.
type List struct {
	stamp roster.Stamp
	rows  map[string]bool
	kept  map[string]time.Time // not in the rows and still in force, until when
	ended map[string]time.Time // when each was seen taken back
}

// New returns an empty list.
func New() *List {
	return &List{rows: map[string]bool{}, kept: map[string]time.Time{}, ended: map[string]time.Time{}}
}

// Stamp returns what the rows are as of.
func (l *List) Stamp() roster.Stamp { return l.stamp }

// In reports whether the data centre is evacuated.
func (l *List) In(dataCentre string) bool {
	_, kept := l.kept[dataCentre]
	return kept || l.rows[dataCentre]
}

// All returns the evacuated data centres in order.
func (l *List) All() []string {
	all := maps.Clone(l.rows)
	for dc := range l.kept {
		all[dc] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// Ended returns when each data centre was taken back that was so lately. It is not to be changed.
func (l *List) Ended() map[string]time.Time { return l.ended }

// Replace takes all rows anew, as of the stamp, unless they are older than those known. It
// reports whether they were taken.
func (l *List) Replace(rows []string, as roster.Stamp, now time.Time) bool {
	if l.stamp.After(as) {
		return false
	}
	returned := as.Era > l.stamp.Era && l.stamp != (roster.Stamp{})
	l.stamp = as
	before := l.rows
	l.rows = map[string]bool{}
	for _, dc := range rows {
		l.set(dc)
	}
	for dc := range before {
		switch {
		case l.rows[dc]:
		case returned:
			l.kept[dc] = now.Add(keptFor)
		default:
			l.end(dc, now)
		}
	}
	return true
}

// Apply takes changed rows, as of the stamp.
func (l *List) Apply(set, gone []string, as roster.Stamp, now time.Time) bool {
	if len(set)+len(gone) == 0 || l.stamp.After(as) {
		return false
	}
	l.stamp = as
	for _, dc := range set {
		l.set(dc)
	}
	for _, dc := range gone {
		delete(l.rows, dc)
		l.end(dc, now)
	}
	return true
}

func (l *List) set(dataCentre string) {
	l.rows[dataCentre] = true
	delete(l.kept, dataCentre)
	delete(l.ended, dataCentre)
}

func (l *List) end(dataCentre string, now time.Time) {
	delete(l.kept, dataCentre)
	l.ended[dataCentre] = now
}

// Tick ends what a copy lacked and was not written again, and reports whether there was any.
func (l *List) Tick(now time.Time) (changed bool) {
	for dc, until := range l.kept {
		if !now.Before(until) {
			l.end(dc, now)
			changed = true
		}
	}
	maps.DeleteFunc(l.ended, func(_ string, at time.Time) bool { return now.Sub(at) > endedFor })
	return changed
}

// Told is a list as one router tells it to another.
type Told struct {
	Rows  []string
	Kept  map[string]time.Duration // for how much longer
	Ended map[string]time.Duration // how long ago
}

// Told returns the list for other routers.
func (l *List) Told(now time.Time) Told {
	t := Told{Rows: slices.Sorted(maps.Keys(l.rows))}
	if len(l.kept) > 0 {
		t.Kept = map[string]time.Duration{}
	}
	for dc, until := range l.kept {
		t.Kept[dc] = until.Sub(now)
	}
	if len(l.ended) > 0 {
		t.Ended = map[string]time.Duration{}
	}
	for dc, at := range l.ended {
		t.Ended[dc] = now.Sub(at)
	}
	return t
}

// Take takes another router's list, unless it is older, and reports whether what is in force
// or was taken back has changed.
func (l *List) Take(t Told, as roster.Stamp, now time.Time) bool {
	if l.stamp.After(as) {
		return false
	}
	changed := l.stamp != as
	if changed {
		l.Replace(t.Rows, as, now)
	}
	for dc, left := range t.Kept {
		if _, over := l.ended[dc]; !over && !l.In(dc) && left > 0 {
			l.kept[dc] = now.Add(min(left, keptFor))
			changed = true
		}
	}
	for dc, age := range t.Ended {
		if _, known := l.ended[dc]; !known && !l.In(dc) && age >= 0 && age < endedTold {
			l.ended[dc] = now.Add(-age)
			changed = true
		}
	}
	return changed
}
