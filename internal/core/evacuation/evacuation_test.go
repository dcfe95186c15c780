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

func text(l *List) string { return strings.Join(l.All(), ",") }

func TestEvacuationsAreSetAndTakenBack(t *testing.T) {
	l := New()
	assert.Assert(t, l.Replace([]string{"b", "a"}, stamp(1, 5), at(0)))
	assert.Equal(t, text(l), "a,b")
	assert.Assert(t, l.Apply(nil, []string{"a"}, stamp(1, 7), at(100)))
	assert.Equal(t, text(l), "b")
	assert.Equal(t, l.Ended()["a"], at(100))
	assert.Assert(t, !l.Replace([]string{"a"}, stamp(1, 6), at(200)), "an older view")
	assert.Assert(t, l.Apply([]string{"a"}, nil, stamp(1, 8), at(300)))
	assert.Equal(t, len(l.Ended()), 0)
	l.Replace(nil, stamp(1, 9), at(400))
	assert.Equal(t, text(l), "")
	assert.Equal(t, len(l.Ended()), 2)
	l.Tick(at(400).Add(endedFor + time.Second))
	assert.Equal(t, len(l.Ended()), 0)
}

// One that came and went within one read has left its servers cold all the same.
func TestWhatWasTakenBackUnseenCounts(t *testing.T) {
	l := New()
	l.Apply(nil, []string{"a"}, stamp(1, 5), at(0))
	assert.Equal(t, l.Ended()["a"], at(0))
	assert.Equal(t, text(l), "")
}

// A copy of the store lacks the row: the evacuation stays until the operator has had the time
// to write it again, and ends at once when its removal is written.
func TestAnEvacuationOutlastsACopyThatLacksIt(t *testing.T) {
	for _, again := range []bool{true, false} {
		l := New()
		l.Replace([]string{"a"}, stamp(1, 50), at(0))
		l.Replace(nil, stamp(2, 20), at(100))
		assert.Equal(t, text(l), "a")
		if again {
			l.Apply([]string{"a"}, nil, stamp(2, 21), at(2000))
		}
		l.Tick(at(5100))
		assert.Equal(t, text(l) == "a", again)
	}
	l := New()
	l.Replace([]string{"a"}, stamp(1, 50), at(0))
	l.Replace(nil, stamp(2, 20), at(100))
	l.Apply(nil, []string{"a"}, stamp(2, 21), at(200))
	assert.Equal(t, text(l), "")
}

// Each report comes a little late: what ends by itself must not be brought back by one that
// was sent just before its end.
func TestTwoRoutersDoNotRemindEachOtherForEver(t *testing.T) {
	a, b := New(), New()
	for _, l := range []*List{a, b} {
		l.Replace([]string{"x"}, stamp(1, 50), at(0))
	}
	a.Replace(nil, stamp(2, 20), at(0))
	const every, late = 20, 3 // ms between reports, and how many of them one is on its way
	var toA, toB []Told
	ended := map[*List]bool{}
	for ms := 0; ms < 200_000; ms += every {
		toA, toB = append(toA, b.Told(at(ms))), append(toB, a.Told(at(ms)))
		if len(toA) > late {
			a.Take(toA[0], a.Stamp(), at(ms))
			b.Take(toB[0], a.Stamp(), at(ms))
			toA, toB = toA[1:], toB[1:]
		}
		a.Tick(at(ms))
		b.Tick(at(ms))
		for _, l := range []*List{a, b} {
			assert.Assert(t, ms == 0 || !ended[l] || text(l) == "", "again %d ms after the copy", ms)
			ended[l] = ms > 0 && text(l) == ""
		}
	}
	for _, l := range []*List{a, b} {
		assert.Equal(t, text(l), "")
		assert.Equal(t, len(l.Ended()), 0)
	}
}

// world is a store that comes back from copies, and routers that read it or are told.
type world struct {
	ms      int
	at      roster.Stamp
	rows    map[string]bool
	copy    map[string]bool
	copied  roster.Stamp
	changes []change
	routers []*reader
}

type change struct {
	at roster.Stamp
	dc string
	on bool
}

type reader struct {
	*List
	read roster.Stamp
}

func newWorld() *world {
	w := &world{at: stamp(1, 0), rows: map[string]bool{}}
	for range 4 {
		w.routers = append(w.routers, &reader{List: New()})
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

func (w *world) write(dc string, on bool) {
	w.at.Version++
	delete(w.rows, dc)
	if on {
		w.rows[dc] = true
	}
	w.changes = append(w.changes, change{w.at, dc, on})
}

func (w *world) list() (rows []string) {
	for dc := range w.rows {
		rows = append(rows, dc)
	}
	return rows
}

// reads has a router read what has changed, or all.
func (w *world) reads(r *reader) {
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

func (w *world) tell(from, to *reader) {
	to.Take(from.Told(at(w.ms)), from.Stamp(), at(w.ms))
}

func (w *world) step(b byte) {
	r := w.routers[int(b)/16%4]
	switch b % 10 {
	case 0, 1:
		w.write(string(rune('a'+b/16%3)), true)
	case 2:
		w.write(string(rune('a'+b/16%3)), false)
	case 3:
		w.copy, w.copied = clone(w.rows), w.at
	case 4:
		if w.copy != nil {
			w.rows, w.at, w.changes = clone(w.copy), stamp(w.at.Era+1, w.copied.Version), nil
		}
	case 5, 6:
		w.reads(r)
	case 7:
		w.tell(r, w.routers[int(b)/64%4])
	case 8:
		w.routers[int(b)/16%4] = &reader{List: New()}
	case 9:
		w.ms += 300
	}
	for _, r := range w.routers {
		r.Tick(at(w.ms))
	}
}

// check: with all in touch for longer than anything is kept, all have the store's rows.
func (w *world) check(t assert.TestingT) {
	for range 40 {
		w.reads(w.routers[0])
		w.reads(w.routers[1])
		w.tell(w.routers[0], w.routers[2])
		w.tell(w.routers[1], w.routers[3])
		w.ms += 200
		for _, r := range w.routers {
			r.Tick(at(w.ms))
		}
	}
	want := New()
	want.Replace(w.list(), w.at, at(w.ms))
	for i, r := range w.routers {
		assert.Equal(t, text(r.List), text(want), "router %d", i)
	}
}

func TestAllHoldTheEvacuationsOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for _, b := range rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "steps") {
			w.step(b)
		}
		w.check(t)
	})
}

func FuzzEvacuations(f *testing.F) {
	f.Add([]byte{0, 5, 3, 2, 4, 5, 7, 9, 9, 21, 71})
	f.Fuzz(func(t *testing.T, steps []byte) {
		w := newWorld()
		for _, b := range steps[:min(len(steps), 400)] {
			w.step(b)
		}
		w.check(t)
	})
}
