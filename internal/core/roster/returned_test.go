package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/routing"
)

func ready(id string) routing.Server    { return routing.Server{ID: id, State: routing.ServerReady} }
func draining(id string) routing.Server { return routing.Server{ID: id, State: routing.ServerDraining} }

// returnedAt is a roster of a and b, from which c has left, whose store has come back.
func returnedAt(ms int) *Roster {
	r := New()
	r.Replace([]routing.Server{ready("a"), ready("b"), ready("c")}, false, start)
	r.Apply(nil, []string{"c"}, at(100))
	r.Returned(at(ms))
	return r
}

// The era goes before the version: what is given out again is newer.
func TestListsAreOrderedByTheirEraFirst(t *testing.T) {
	older := Stamp{Era: 1, Version: 90, Edits: 3}
	newer := Stamp{Era: 2, Version: 40}
	assert.Assert(t, newer.After(older) && !older.After(newer) && !older.After(older))
}

// The copy lacks a server that lives: it stays until it has had its two seconds.
func TestAServerThatTheCopyLacksHasItsTimeToWrite(t *testing.T) {
	for _, sure := range []bool{false, true} {
		r := returnedAt(1000)
		r.Replace([]routing.Server{ready("a")}, sure, at(1100))
		r.Tick(at(3100))
		assert.Equal(t, ids(r), "ab")
		r.Tick(at(3250))
		assert.Equal(t, ids(r), "a")

		r = returnedAt(1000)
		r.Replace([]routing.Server{ready("a")}, sure, at(1100))
		r.Apply([]routing.Server{ready("b")}, nil, at(2900))
		r.Tick(at(9000))
		assert.Equal(t, ids(r), "ab")
	}
}

// Another router's report that it has followed the store for long does not shorten that: it
// may have noticed the return a moment before.
func TestNobodySettlesTheDoubtOfAReturn(t *testing.T) {
	r := returnedAt(1000)
	r.Replace([]routing.Server{ready("a")}, false, at(1100))
	assert.Assert(t, !r.Settle(ReturnGrace, at(1200)))
	assert.Equal(t, ids(r), "ab")
}

// The copy holds a server that has left: it is not used until it has been written again, or
// its entry has outlasted what the platform takes off.
func TestAServerThatHadLeftDoesNotComeBackWithTheCopy(t *testing.T) {
	list := []routing.Server{ready("a"), ready("b"), ready("c")}
	r := returnedAt(1000)
	r.Replace(list, false, at(1100))
	r.Tick(at(5900))
	assert.Equal(t, ids(r), "ab")
	assert.Assert(t, r.Tick(at(6000)))
	assert.Equal(t, ids(r), "abc")

	r = returnedAt(1000)
	r.Replace(list, false, at(1100))
	r.Apply(nil, []string{"c"}, at(1500))
	r.Tick(at(9000))
	assert.Equal(t, ids(r), "ab", "its removal is written again")

	r = returnedAt(1000)
	r.Replace(list, false, at(1100))
	r.Apply([]routing.Server{ready("c")}, nil, at(1500))
	assert.Equal(t, ids(r), "abc", "it lives after all")

	r = returnedAt(1000)
	r.Replace([]routing.Server{ready("a"), ready("b"), {ID: "c", Born: 5, State: routing.ServerReady}}, false, at(1100))
	assert.Equal(t, ids(r), "abc", "another start of it")
}

// A server that was leaving goes on leaving, whatever the copy says of it.
func TestAServerThatWasLeavingGoesOnLeaving(t *testing.T) {
	r := returnedAt(1000)
	r.Apply([]routing.Server{draining("b")}, nil, at(900))
	r.Replace([]routing.Server{ready("a"), ready("b")}, false, at(1100))
	assert.Assert(t, !r.servers["b"].Takes())
	r.Replace([]routing.Server{draining("a"), ready("b")}, false, at(1200))
	assert.Assert(t, !r.servers["a"].Takes())
}

// world is a store that comes back from copies, with routers that follow it or are told by
// others, some of which can't be reached at times.
type world struct {
	now     int // ms
	stamp   Stamp
	rows    map[string]bool
	changes []change
	copy    map[string]bool
	copied  Stamp
	routers []*router
}

// change is a row that was written or removed.
type change struct {
	at   Stamp
	id   string
	live bool
}

// router is one with its list, and how far it has read the store.
type router struct {
	*Roster
	at  Stamp
	era uint64
}

const worldRouters = 4

func newWorld() *world {
	w := &world{rows: map[string]bool{}, stamp: Stamp{Era: 1}}
	for range worldRouters {
		w.routers = append(w.routers, &router{Roster: New()})
	}
	return w
}

// write writes or removes a row.
func (w *world) write(id string, live bool) {
	w.stamp.Version++
	if live {
		w.rows[id] = true
	} else {
		delete(w.rows, id)
	}
	w.changes = append(w.changes, change{w.stamp, id, live})
}

// back has the store come back from the copy.
func (w *world) back() {
	if w.copy == nil {
		return
	}
	w.rows = clone(w.copy)
	w.stamp = Stamp{Era: w.stamp.Era + 1, Version: w.copied.Version}
	w.changes = nil
}

func clone(m map[string]bool) map[string]bool {
	c := map[string]bool{}
	for k := range m {
		c[k] = true
	}
	return c
}

// list is the store's table.
func (w *world) list() []routing.Server {
	var list []routing.Server
	for id := range w.rows {
		list = append(list, ready(id))
	}
	return list
}

// read has a router read the store: what has changed, or the whole table.
func (w *world) read(r *router) {
	now := at(w.now)
	r.heard(w.stamp, now)
	r.StoreBack(now)
	if r.at.Era != w.stamp.Era {
		r.SetStamp(w.stamp)
		r.Replace(w.list(), false, now)
		r.at = w.stamp
		return
	}
	for _, c := range w.changes {
		if !c.at.After(r.at) {
			continue
		}
		r.SetStamp(c.at)
		if c.live {
			r.Apply([]routing.Server{ready(c.id)}, nil, now)
		} else {
			r.Apply(nil, []string{c.id}, now)
		}
	}
	r.at = w.stamp
}

// heard takes a stamp's era. A router that knows nothing yet has nothing to lose.
func (r *router) heard(s Stamp, now time.Time) {
	if s.Era > r.era && r.Stamp() != (Stamp{}) {
		r.Returned(now)
	}
	r.era = max(r.era, s.Era)
}

// tell has a router take another's list, if it is newer: what has changed where the other knows
// that and it is asked for, else the whole list.
func (w *world) tell(from, to *router, changes bool) {
	if !from.Stamp().After(to.Stamp()) {
		return
	}
	now := at(w.now)
	to.NotFollowed()
	to.heard(from.Stamp(), now)
	if d, ok := from.Since(to.Stamp(), now); ok && changes && to.ApplyDelta(d, now) {
		return
	}
	to.SetStamp(from.Stamp())
	to.ReplaceTold(from.Told(now), now)
}

// restart has a router forget all.
func (w *world) restart(i int) { w.routers[i] = &router{Roster: New()} }

// step makes one step that b chooses.
func (w *world) step(b byte) {
	r := int(b) / 16 % worldRouters
	other := int(b) / 64 % worldRouters
	id := string(rune('a' + int(b)/16%5))
	switch b % 10 {
	case 0, 1:
		w.write(id, true)
	case 2:
		w.write(id, false)
	case 3:
		w.copy, w.copied = clone(w.rows), w.stamp
	case 4:
		w.back()
	case 5, 6:
		w.read(w.routers[r])
	case 7:
		w.tell(w.routers[r], w.routers[other], b < 128)
	case 8:
		w.restart(r)
	case 9:
		w.now += 300
	}
	for _, r := range w.routers {
		r.Tick(at(w.now))
	}
}

// settle lets all that was in doubt pass, with everyone in touch, and returns the lists.
func (w *world) settle() []string {
	for range 40 {
		for i, r := range w.routers {
			if i < 2 {
				w.read(r)
			} else {
				r.NotFollowed()
			}
		}
		for i := range w.routers {
			if i >= 2 {
				w.tell(w.routers[i%2], w.routers[i], true)
			}
		}
		w.now += 200
		for _, r := range w.routers {
			r.Tick(at(w.now))
		}
	}
	var lists []string
	for _, r := range w.routers {
		lists = append(lists, ids(r.Roster))
	}
	return lists
}

// check says that all hold the store's table in the end.
func (w *world) check(t assert.TestingT) {
	want := New()
	want.Replace(w.list(), true, at(w.now))
	for i, got := range w.settle() {
		assert.Equal(t, got, ids(want), "router %d of %d", i, worldRouters)
		assert.Equal(t, w.routers[i].Stamp().Era, w.stamp.Era)
	}
}

// Whatever the order of writes, copies, returns, reads, reports and restarts: all that hear
// of each other hold the same list afterwards, and it is the store's.
func TestAllHoldTheListOfTheNewestEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.write("a", true)
		for _, b := range rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "steps") {
			w.step(b)
		}
		w.check(t)
	})
}

func FuzzReturns(f *testing.F) {
	f.Add([]byte{0, 16, 32, 5, 21, 3, 2, 4, 5, 7, 9, 9})
	// A router that was told a list in doubt keeps a server that the others no longer have.
	f.Add([]byte("\x03\x05\x00\x04\x89\x23\x02\x02\x23\xe3"))
	f.Fuzz(func(t *testing.T, steps []byte) {
		w := newWorld()
		w.write("a", true)
		for _, b := range steps[:min(len(steps), 400)] {
			w.step(b)
		}
		w.check(t)
	})
}
