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

// restoredAt returns a roster of servers a and b, from which c has left, whose store was restored
// at the given time.
func restoredAt(ms int) *Roster {
	r := New()
	r.Replace([]routing.Server{ready("a"), ready("b"), ready("c")}, false, start)
	r.Apply(nil, []string{"c"}, at(100))
	r.StoreRestored(at(ms))
	return r
}

// The era precedes the version: versions are reused after a restore, and the later era is newer.
func TestStampsAreOrderedByEraFirst(t *testing.T) {
	older := Stamp{Era: 1, Version: 90, Edits: 3}
	newer := Stamp{Era: 2, Version: 40}
	assert.Assert(t, newer.After(older) && !older.After(newer) && !older.After(older))
}

// A live server that is missing from the restored copy stays listed for the grace period in which
// it can write its entry.
func TestServerMissingFromARestoredCopyHasAGracePeriod(t *testing.T) {
	for _, authoritative := range []bool{false, true} {
		r := restoredAt(1000)
		r.Replace([]routing.Server{ready("a")}, authoritative, at(1100))
		r.Tick(at(3100))
		assert.Equal(t, ids(r), "ab")
		r.Tick(at(3250))
		assert.Equal(t, ids(r), "a")

		r = restoredAt(1000)
		r.Replace([]routing.Server{ready("a")}, authoritative, at(1100))
		r.Apply([]routing.Server{ready("b")}, nil, at(2900))
		r.Tick(at(9000))
		assert.Equal(t, ids(r), "ab")
	}
}

// A peer's report that it has followed the store for long does not end the grace period: the peer
// may have noticed the restore only a moment before.
func TestPeerReportDoesNotResolveDoubtAfterARestore(t *testing.T) {
	r := restoredAt(1000)
	r.Replace([]routing.Server{ready("a")}, false, at(1100))
	assert.Assert(t, !r.ResolveDoubt(RecoveryGrace, at(1200)))
	assert.Equal(t, ids(r), "ab")
}

// A server that has left and is in the restored copy is not used until it is written again, or its
// entry outlasts the time after which the platform removes dead servers.
func TestDepartedServerInARestoredCopyIsHeldBack(t *testing.T) {
	list := []routing.Server{ready("a"), ready("b"), ready("c")}
	r := restoredAt(1000)
	r.Replace(list, false, at(1100))
	r.Tick(at(5900))
	assert.Equal(t, ids(r), "ab")
	assert.Assert(t, r.Tick(at(6000)))
	assert.Equal(t, ids(r), "abc")

	r = restoredAt(1000)
	r.Replace(list, false, at(1100))
	r.Apply(nil, []string{"c"}, at(1500))
	r.Tick(at(9000))
	assert.Equal(t, ids(r), "ab", "the removal is repeated")

	r = restoredAt(1000)
	r.Replace(list, false, at(1100))
	r.Apply([]routing.Server{ready("c")}, nil, at(1500))
	assert.Equal(t, ids(r), "abc", "the server is live after all")

	r = restoredAt(1000)
	r.Replace([]routing.Server{ready("a"), ready("b"), {ID: "c", Born: 5, State: routing.ServerReady}}, false, at(1100))
	assert.Equal(t, ids(r), "abc", "a new start of the server")
}

// A draining server stays draining even if the restored copy lists it as ready.
func TestDrainingServerStaysDrainingAfterARestore(t *testing.T) {
	r := restoredAt(1000)
	r.Apply([]routing.Server{draining("b")}, nil, at(900))
	r.Replace([]routing.Server{ready("a"), ready("b")}, false, at(1100))
	assert.Assert(t, !r.servers["b"].AcceptsRequests())
	r.Replace([]routing.Server{draining("a"), ready("b")}, false, at(1200))
	assert.Assert(t, !r.servers["a"].AcceptsRequests())
}

// simulation is a store that is restored from copies, with routers that follow it or get their
// lists from peers, and some of which are unreachable at times.
type simulation struct {
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

// router is a simulated router with its list and its position in the store.
type router struct {
	*Roster
	at  Stamp
	era uint64
}

const simulatedRouters = 4

func newSimulation() *simulation {
	s := &simulation{rows: map[string]bool{}, stamp: Stamp{Era: 1}}
	for range simulatedRouters {
		s.routers = append(s.routers, &router{Roster: New()})
	}
	return s
}

// write writes or removes a row of the store.
func (s *simulation) write(id string, live bool) {
	s.stamp.Version++
	if live {
		s.rows[id] = true
	} else {
		delete(s.rows, id)
	}
	s.changes = append(s.changes, change{s.stamp, id, live})
}

// restore restores the store from the copy.
func (s *simulation) restore() {
	if s.copy == nil {
		return
	}
	s.rows = clone(s.copy)
	s.stamp = Stamp{Era: s.stamp.Era + 1, Version: s.copied.Version}
	s.changes = nil
}

func clone(m map[string]bool) map[string]bool {
	c := map[string]bool{}
	for k := range m {
		c[k] = true
	}
	return c
}

// list returns the rows of the store.
func (s *simulation) list() []routing.Server {
	var list []routing.Server
	for id := range s.rows {
		list = append(list, ready(id))
	}
	return list
}

// read lets a router read the store: the changes since its last read, or all rows after a restore.
func (s *simulation) read(r *router) {
	now := at(s.now)
	r.observeEra(s.stamp, now)
	r.StoreUp(now)
	if r.at.Era != s.stamp.Era {
		r.SetStamp(s.stamp)
		r.Replace(s.list(), false, now)
		r.at = s.stamp
		return
	}
	for _, c := range s.changes {
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
	r.at = s.stamp
}

// observeEra records a stamp's era and a restore if the era is newer. A router with no list yet
// has nothing to protect.
func (r *router) observeEra(s Stamp, now time.Time) {
	if s.Era > r.era && r.Stamp() != (Stamp{}) {
		r.StoreRestored(now)
	}
	r.era = max(r.era, s.Era)
}

// send passes one router's list to another if it is newer: as a delta if requested and possible,
// else whole.
func (s *simulation) send(from, to *router, changes bool) {
	if !from.Stamp().After(to.Stamp()) {
		return
	}
	now := at(s.now)
	to.StopFollowing()
	to.observeEra(from.Stamp(), now)
	if d, ok := from.DeltaSince(to.Stamp(), now); ok && changes && to.ApplyDelta(d, now) {
		return
	}
	to.SetStamp(from.Stamp())
	to.ReplaceFromPeer(from.Snapshot(now), now)
}

// restart replaces a router by an empty one.
func (s *simulation) restart(i int) { s.routers[i] = &router{Roster: New()} }

// step makes the step that is encoded in b.
func (s *simulation) step(b byte) {
	r := int(b) / 16 % simulatedRouters
	other := int(b) / 64 % simulatedRouters
	id := string(rune('a' + int(b)/16%5))
	switch b % 10 {
	case 0, 1:
		s.write(id, true)
	case 2:
		s.write(id, false)
	case 3:
		s.copy, s.copied = clone(s.rows), s.stamp
	case 4:
		s.restore()
	case 5, 6:
		s.read(s.routers[r])
	case 7:
		s.send(s.routers[r], s.routers[other], b < 128)
	case 8:
		s.restart(r)
	case 9:
		s.now += 300
	}
	for _, r := range s.routers {
		r.Tick(at(s.now))
	}
}

// settle keeps all routers connected until every doubt has expired, and returns their lists.
func (s *simulation) settle() []string {
	for range 40 {
		for i, r := range s.routers {
			if i < 2 {
				s.read(r)
			} else {
				r.StopFollowing()
			}
		}
		for i := range s.routers {
			if i >= 2 {
				s.send(s.routers[i%2], s.routers[i], true)
			}
		}
		s.now += 200
		for _, r := range s.routers {
			r.Tick(at(s.now))
		}
	}
	var lists []string
	for _, r := range s.routers {
		lists = append(lists, ids(r.Roster))
	}
	return lists
}

// check asserts that all routers end up with the rows of the store.
func (s *simulation) check(t assert.TestingT) {
	want := New()
	want.Replace(s.list(), true, at(s.now))
	for i, got := range s.settle() {
		assert.Equal(t, got, ids(want), "router %d of %d", i, simulatedRouters)
		assert.Equal(t, s.routers[i].Stamp().Era, s.stamp.Era)
	}
}

// After any sequence of writes, copies, restores, reads, reports and restarts, all connected
// routers converge on the same list, and it is the store's.
func TestRoutersConvergeOnTheStoreOfTheNewestEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.write("a", true)
		for _, b := range rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "steps") {
			s.step(b)
		}
		s.check(t)
	})
}

func FuzzStoreRestores(f *testing.F) {
	f.Add([]byte{0, 16, 32, 5, 21, 3, 2, 4, 5, 7, 9, 9})
	// A router that got a list with doubtful servers kept a server that the others no longer had.
	f.Add([]byte("\x03\x05\x00\x04\x89\x23\x02\x02\x23\xe3"))
	f.Fuzz(func(t *testing.T, steps []byte) {
		s := newSimulation()
		s.write("a", true)
		for _, b := range steps[:min(len(steps), 400)] {
			s.step(b)
		}
		s.check(t)
	})
}
