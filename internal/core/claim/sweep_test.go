package claim_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
)

const (
	minute = int64(time.Minute / time.Millisecond)
	// skew is how far a clock may be off. Two of them, and a commit that takes
	// effect late, stay within claim.Grace.
	skew = 15 * minute
)

// rows is the table.
type rows struct {
	now     int64 // true time, Unix ms
	version uint64
	m       map[string]claim.Stored
	late    [][]claim.Change // replied to as unknown, may take effect yet
}

func (r *rows) read(keys []string) []claim.Stored {
	out := make([]claim.Stored, len(keys))
	for i, k := range keys {
		out[i] = r.m[k]
		out[i].Key = k
	}
	return out
}

// apply commits changes. A claim that is deleted must be over by any clock.
func (r *rows) apply(t *rapid.T, changes []claim.Change) bool {
	for _, c := range changes {
		if r.m[c.Key].Version != c.IfVersion {
			return false
		}
	}
	r.version++
	for _, c := range changes {
		if !c.Delete {
			r.m[c.Key] = claim.Stored{Key: c.Key, Value: c.Value, Version: r.version}
			continue
		}
		if row, err := claim.Decode(r.m[c.Key].Value); strings.HasPrefix(c.Key, "claim/") {
			assert.NilError(t, err)
			assert.Assert(t, r.now-skew > row.Keep, "%s deleted %d ms early", c.Key, row.Keep-r.now)
		}
		delete(r.m, c.Key)
	}
	return true
}

// commit lets a commit succeed, fail, or end as unknown with or without effect,
// or with one that comes late. It reports whether the caller is told of success.
func (r *rows) commit(t *rapid.T, changes []claim.Change) bool {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost reply", "late", "down"}).Draw(t, "reply") {
	case "ok":
		return r.apply(t, changes)
	case "lost reply":
		r.apply(t, changes)
	case "late":
		r.late = append(r.late, changes)
	}
	return false
}

// retention is a fleet of two writers and two sweepers that both think it is
// theirs to sweep.
type retention struct {
	rows
	runs    uint64
	indexes [2]*claim.Index
	sweeps  [2]*claim.Sweep
	claimed int
}

func (f *retention) restart(i int) {
	f.runs++
	f.indexes[i] = claim.NewIndex(claim.Writer{Router: msg.RouterID(fmt.Sprint("r", i)), Incarnation: f.runs})
	f.sweeps[i] = claim.NewSweep("s")
}

func (f *retention) clock(t *rapid.T) int64 {
	return f.now + rapid.Int64Range(-skew, skew).Draw(t, "skew")
}

// begin writes a cursor that is up to date.
func (f *retention) begin(t *rapid.T) {
	b, err := cbor.Marshal(claim.Cursor{Hour: claim.HourOf(f.now) - 1})
	assert.NilError(t, err)
	f.apply(t, []claim.Change{{Key: "claimindex/cursor", Value: b}})
}

// take claims some keys that are free, in one transaction with their page.
func (f *retention) take(t *rapid.T) {
	index, now := f.indexes[rapid.IntRange(0, 1).Draw(t, "writer")], f.clock(t)
	f.claimed++
	want := claim.Want{Holder: msg.RequestID(fmt.Sprint(f.claimed)), Keep: now + rapid.Int64Range(1, 180).Draw(t, "keep")*minute}
	want.Until = now + minute
	first, count := rapid.IntRange(0, 150).Draw(t, "first"), rapid.IntRange(1, 50).Draw(t, "count")
	var keys []string
	for i := range count {
		keys = append(keys, fmt.Sprint("claim/", first+i))
	}
	if !f.register(t, index, now, want.Keep) {
		return
	}
	hour := index.Hour(want.Keep)
	got := f.read(append(keys, index.PageKey(hour)))
	var changes []claim.Change
	var taken []claim.Key
	for _, row := range got[:count] {
		have, err := claim.Decode(row.Value)
		assert.NilError(t, err)
		if verdict, next := claim.Decide(now, have, want); verdict == claim.Take {
			value, err := claim.Encode(next)
			assert.NilError(t, err)
			changes = append(changes, claim.Change{Key: row.Key, Value: value, IfVersion: row.Version})
			taken = append(taken, claim.Key(row.Key))
		}
	}
	page, err := index.Name(hour, got[count], taken)
	assert.NilError(t, err)
	f.commit(t, append(changes, page))
}

// register gets a writer into its hour's manifest, unless the table fails or the
// writer dies in between.
func (f *retention) register(t *rapid.T, index *claim.Index, now, keep int64) bool {
	for range 6 {
		hour := index.Hour(keep)
		if index.Registered(hour) {
			return true
		}
		changes, err := index.Register(now, hour, f.read(index.RegisterKeys(hour)))
		assert.NilError(t, err)
		if len(changes) > 0 {
			f.commit(t, changes)
		}
	}
	return false
}

// sweep lets one sweeper make some calls.
func (f *retention) sweep(t *rapid.T) {
	s := f.sweeps[rapid.IntRange(0, 1).Draw(t, "sweeper")]
	calls := rapid.SampledFrom([]int{1, 5, 20, 100}).Draw(t, "calls")
	f.work(t, s, f.clock(t), calls, f.commit)
}

// work lets a sweeper make calls, and reports whether it had nothing left to do.
func (f *retention) work(t *rapid.T, s *claim.Sweep, now int64, calls int, commit func(*rapid.T, []claim.Change) bool) bool {
	for range calls {
		ask := s.Next(now, []msg.RouterID{"s"})
		switch {
		case len(ask.Read) > 0:
			assert.NilError(t, s.Rows(now, f.read(ask.Read)))
		case len(ask.Commit) == 0:
			return true
		case commit(t, ask.Commit):
			s.Committed()
		default:
			s.Failed()
		}
	}
	return false
}

func (f *retention) applyLate(t *rapid.T) {
	if len(f.late) > 0 {
		f.apply(t, f.late[0])
		f.late = f.late[1:]
	}
}

// pause lets time pass. What is late by more than a while has no effect any more.
func (f *retention) pause(t *rapid.T) {
	d := rapid.Int64Range(1, 120).Draw(t, "minutes") * minute
	f.now += d
	if d > skew {
		f.late = nil
	}
}

// No claim is deleted before it is over, and none is left in the end, nor of the
// index: with lost and late commits, restarts, clocks apart and two sweepers.
func TestClaimsAreDeletedOnceTheyAreOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &retention{rows: rows{now: 1_000_000 * 60 * minute, m: map[string]claim.Stored{}}}
		f.restart(0)
		f.restart(1)
		if rapid.Bool().Draw(t, "swept before") {
			f.begin(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": f.take, "sweep": f.sweep, "late": f.applyLate, "pause": f.pause,
			"restart": func(t *rapid.T) { f.restart(rapid.IntRange(0, 1).Draw(t, "router")) },
		})
		f.late, f.now = nil, f.now+24*60*minute
		assert.Assert(t, f.work(t, claim.NewSweep("s"), f.now, 10_000, f.apply), "the sweep does not end")
		for key := range f.m {
			assert.Equal(t, key, "claimindex/cursor")
		}
	})
}

// A writer whose clock is far behind names its claims where they will be swept.
func TestHoursThatAreSweptTakeNoClaims(t *testing.T) {
	index := claim.NewIndex(claim.Writer{Router: "r", Incarnation: 1})
	b, err := cbor.Marshal(claim.Cursor{Hour: 50})
	assert.NilError(t, err)
	rows := []claim.Stored{{Key: "claimindex/cursor", Value: b, Version: 1}, {Key: "m"}}
	keep := 40 * 60 * minute
	changes, err := index.Register(39*60*minute, index.Hour(keep), rows)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, index.Hour(keep), claim.Hour(50))
	assert.Assert(t, !index.Registered(40) && !index.Registered(50))
}

// One router sweeps an hour, and another one the next or if that one leaves.
func TestOneRouterSweepsAnHour(t *testing.T) {
	live := []msg.RouterID{"r1", "r2", "r3"}
	times := map[msg.RouterID]int{}
	for h := range claim.Hour(300) {
		id := claim.SweeperOf(h, live)
		times[id]++
		assert.Equal(t, claim.SweeperOf(h, []msg.RouterID{"r3", "r1", "r2"}), id)
	}
	for _, id := range live {
		assert.Assert(t, times[id] > 60, "%v", times)
	}
	assert.Equal(t, claim.SweeperOf(7, nil), msg.RouterID(""))
	b, err := cbor.Marshal(claim.Cursor{Hour: 7})
	assert.NilError(t, err)
	for _, id := range live {
		s := claim.NewSweep(id)
		now := 20 * 60 * minute
		s.Next(now, live)
		assert.NilError(t, s.Rows(now, []claim.Stored{{Key: "claimindex/cursor", Value: b, Version: 1}}))
		assert.Equal(t, s.Behind(now), 11*time.Hour) // since 8 o'clock and the grace
		assert.Equal(t, len(s.Next(now, live).Read) > 0, id == claim.SweeperOf(7, live))
	}
}
