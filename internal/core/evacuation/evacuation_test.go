package evacuation

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/roster"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func stamp(era, version uint64) roster.Stamp { return roster.Stamp{Era: era, Version: version} }

func joined(l *List) string { return strings.Join(l.All(), ",") }

func TestEvacuationsAreSetAndEnded(t *testing.T) {
	l := New()
	assert.Assert(t, l.Replace([]string{"b", "a"}, stamp(1, 5), at(0)))
	assert.Equal(t, joined(l), "a,b")
	assert.Assert(t, l.Apply(nil, []string{"a"}, stamp(1, 7), at(100)))
	assert.Equal(t, joined(l), "b")
	assert.Equal(t, l.RecentlyEnded()["a"], at(100))
	assert.Assert(t, !l.Replace([]string{"a"}, stamp(1, 6), at(200)), "the rows are older")
	assert.Assert(t, l.Apply([]string{"a"}, nil, stamp(1, 8), at(300)))
	assert.Equal(t, len(l.RecentlyEnded()), 0)
	l.Replace(nil, stamp(1, 9), at(400))
	assert.Equal(t, joined(l), "")
	assert.Equal(t, len(l.RecentlyEnded()), 2)
	l.Tick(at(400).Add(endedRetention + time.Second))
	assert.Equal(t, len(l.RecentlyEnded()), 0)
}

// An evacuation that was set and ended between two reads is recorded as ended, since it still left
// the servers cold.
func TestUnseenEvacuationIsRecordedAsEnded(t *testing.T) {
	l := New()
	l.Apply(nil, []string{"a"}, stamp(1, 5), at(0))
	assert.Equal(t, l.RecentlyEnded()["a"], at(0))
	assert.Equal(t, joined(l), "")
}

// If the store is restored from a backup that lacks the row, the evacuation stays in force until the
// operator has had time to write it again, and ends immediately if its removal is written.
func TestEvacuationOutlastsStoreRestore(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		l := New()
		l.Replace([]string{"a"}, stamp(1, 50), at(0))
		l.Replace(nil, stamp(2, 20), at(100))
		assert.Equal(t, joined(l), "a")
		if rewritten {
			l.Apply([]string{"a"}, nil, stamp(2, 21), at(2000))
		}
		l.Tick(at(5100))
		assert.Equal(t, joined(l) == "a", rewritten)
	}
	l := New()
	l.Replace([]string{"a"}, stamp(1, 50), at(0))
	l.Replace(nil, stamp(2, 20), at(100))
	l.Apply(nil, []string{"a"}, stamp(2, 21), at(200))
	assert.Equal(t, joined(l), "")
}

// Reports are delayed: an evacuation that expires must not be reinstated by a report that was sent
// just before its end.
func TestRoutersDoNotRevertEndedEvacuations(t *testing.T) {
	a, b := New(), New()
	for _, l := range []*List{a, b} {
		l.Replace([]string{"x"}, stamp(1, 50), at(0))
	}
	a.Replace(nil, stamp(2, 20), at(0))
	const every, delayed = 20, 3 // ms between reports, and the number of reports in transit
	var toA, toB []Snapshot
	ended := map[*List]bool{}
	for ms := 0; ms < 200_000; ms += every {
		toA, toB = append(toA, b.Snapshot(at(ms))), append(toB, a.Snapshot(at(ms)))
		if len(toA) > delayed {
			a.Merge(toA[0], a.Stamp(), at(ms))
			b.Merge(toB[0], a.Stamp(), at(ms))
			toA, toB = toA[1:], toB[1:]
		}
		a.Tick(at(ms))
		b.Tick(at(ms))
		for _, l := range []*List{a, b} {
			assert.Assert(t, ms == 0 || !ended[l] || joined(l) == "", "in force again %d ms after the restore", ms)
			ended[l] = ms > 0 && joined(l) == ""
		}
	}
	for _, l := range []*List{a, b} {
		assert.Equal(t, joined(l), "")
		assert.Equal(t, len(l.RecentlyEnded()), 0)
	}
}

// storeModel simulates a store that is restored from backups, and routers that read it or receive
// reports.
type storeModel struct {
	ms          int
	at          roster.Stamp
	rows        map[string]bool
	backup      map[string]bool
	backupStamp roster.Stamp
	changes     []change
	routers     []*modelRouter
}

type change struct {
	at roster.Stamp
	dc string
	on bool
}

type modelRouter struct {
	*List
	read roster.Stamp
}

func newStoreModel() *storeModel {
	w := &storeModel{at: stamp(1, 0), rows: map[string]bool{}}
	for range 4 {
		w.routers = append(w.routers, &modelRouter{List: New()})
	}
	return w
}

func clone(m map[string]bool) map[string]bool {
	c := map[string]bool{}
	for k := range m {
		c[k] = true
	}
	return c
}

func (w *storeModel) write(dc string, on bool) {
	w.at.Version++
	delete(w.rows, dc)
	if on {
		w.rows[dc] = true
	}
	w.changes = append(w.changes, change{w.at, dc, on})
}

func (w *storeModel) list() (rows []string) {
	for dc := range w.rows {
		rows = append(rows, dc)
	}
	return rows
}

// readChanges lets a router read the changes since its last read, or all rows in a new era.
func (w *storeModel) readChanges(r *modelRouter) {
	if r.read.Era != w.at.Era {
		r.Replace(w.list(), w.at, at(w.ms))
		r.read = w.at
		return
	}
	for _, c := range w.changes {
		if !c.at.After(r.read) {
			continue
		}
		if c.on {
			r.Apply([]string{c.dc}, nil, c.at, at(w.ms))
		} else {
			r.Apply(nil, []string{c.dc}, c.at, at(w.ms))
		}
	}
	r.read = w.at
}

func (w *storeModel) report(from, to *modelRouter) {
	to.Merge(from.Snapshot(at(w.ms)), from.Stamp(), at(w.ms))
}

func (w *storeModel) step(b byte) {
	r := w.routers[int(b)/16%4]
	switch b % 10 {
	case 0, 1:
		w.write(string(rune('a'+b/16%3)), true)
	case 2:
		w.write(string(rune('a'+b/16%3)), false)
	case 3:
		w.backup, w.backupStamp = clone(w.rows), w.at
	case 4:
		if w.backup != nil {
			w.rows, w.at, w.changes = clone(w.backup), stamp(w.at.Era+1, w.backupStamp.Version), nil
		}
	case 5, 6:
		w.readChanges(r)
	case 7:
		w.report(r, w.routers[int(b)/64%4])
	case 8:
		w.routers[int(b)/16%4] = &modelRouter{List: New()}
	case 9:
		w.ms += 300
	}
	for _, r := range w.routers {
		r.Tick(at(w.ms))
	}
}

// check checks that all routers converge on the store's rows once they have been connected for
// longer than any state is retained.
func (w *storeModel) check(t assert.TestingT) {
	for range 40 {
		w.readChanges(w.routers[0])
		w.readChanges(w.routers[1])
		w.report(w.routers[0], w.routers[2])
		w.report(w.routers[1], w.routers[3])
		w.ms += 200
		for _, r := range w.routers {
			r.Tick(at(w.ms))
		}
	}
	want := New()
	want.Replace(w.list(), w.at, at(w.ms))
	for i, r := range w.routers {
		assert.Equal(t, joined(r.List), joined(want), "router %d", i)
	}
}

func TestRoutersConvergeOnStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newStoreModel()
		for _, b := range rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "steps") {
			w.step(b)
		}
		w.check(t)
	})
}

func FuzzEvacuations(f *testing.F) {
	f.Add([]byte{0, 5, 3, 2, 4, 5, 7, 9, 9, 21, 71})
	f.Fuzz(func(t *testing.T, steps []byte) {
		w := newStoreModel()
		for _, b := range steps[:min(len(steps), 400)] {
			w.step(b)
		}
		w.check(t)
	})
}
