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
	// skew is the maximum clock error. The errors of two clocks and the delay of
	// a commit together stay within claim.GracePeriod.
	skew = 15 * minute
)

// table is the platform's table.
type table struct {
	now     int64 // true time in Unix ms
	version uint64
	rows    map[string]claim.StoredRow
	delayed [][]claim.Change // commits with unknown outcome that may still be applied
}

func (tbl *table) read(keys []string) []claim.StoredRow {
	out := make([]claim.StoredRow, len(keys))
	for i, k := range keys {
		out[i] = tbl.rows[k]
		out[i].Key = k
	}
	return out
}

// apply commits changes, and checks that a deleted claim has expired according to
// every clock within skew.
func (tbl *table) apply(t *rapid.T, changes []claim.Change) bool {
	for _, c := range changes {
		if tbl.rows[c.Key].Version != c.IfVersion {
			return false
		}
	}
	tbl.version++
	for _, c := range changes {
		if !c.Delete {
			tbl.rows[c.Key] = claim.StoredRow{Key: c.Key, Value: c.Value, Version: tbl.version}
			continue
		}
		if row, err := claim.Decode(tbl.rows[c.Key].Value); strings.HasPrefix(c.Key, "claim/") {
			assert.NilError(t, err)
			assert.Assert(t, tbl.now-skew > row.RetainUntil, "%s deleted %d ms early", c.Key, row.RetainUntil-tbl.now)
		}
		delete(tbl.rows, c.Key)
	}
	return true
}

// commit commits changes with a random outcome: success, failure, or a lost reply
// with the changes applied at once or later. It reports whether the caller learns
// of the success.
func (tbl *table) commit(t *rapid.T, changes []claim.Change) bool {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost reply", "late", "down"}).Draw(t, "reply") {
	case "ok":
		return tbl.apply(t, changes)
	case "lost reply":
		tbl.apply(t, changes)
	case "late":
		tbl.delayed = append(tbl.delayed, changes)
	}
	return false
}

// sweepModel is a fleet of two writers and two sweepers that both consider
// themselves responsible for every hour.
type sweepModel struct {
	table
	runs       uint64
	indexes    [2]*claim.Index
	sweeps     [2]*claim.Sweep
	claimCount int
}

func (m *sweepModel) restart(i int) {
	m.runs++
	m.indexes[i] = claim.NewIndex(claim.Writer{Router: msg.RouterID(fmt.Sprint("r", i)), Incarnation: m.runs})
	m.sweeps[i] = claim.NewSweep("s")
}

func (m *sweepModel) clock(t *rapid.T) int64 {
	return m.now + rapid.Int64Range(-skew, skew).Draw(t, "skew")
}

// writeCursor writes a cursor that is up to date.
func (m *sweepModel) writeCursor(t *rapid.T) {
	b, err := cbor.Marshal(claim.Cursor{Hour: claim.HourOf(m.now) - 1})
	assert.NilError(t, err)
	m.apply(t, []claim.Change{{Key: "claimindex/cursor", Value: b}})
}

// claimKeys claims some of the available keys in one transaction with their page.
func (m *sweepModel) claimKeys(t *rapid.T) {
	index, now := m.indexes[rapid.IntRange(0, 1).Draw(t, "writer")], m.clock(t)
	m.claimCount++
	request := claim.Request{Holder: msg.RequestID(fmt.Sprint(m.claimCount)), RetainUntil: now + rapid.Int64Range(1, 180).Draw(t, "keep")*minute}
	request.CallDeadline = now + minute
	first, count := rapid.IntRange(0, 150).Draw(t, "first"), rapid.IntRange(1, 50).Draw(t, "count")
	var keys []string
	for i := range count {
		keys = append(keys, fmt.Sprint("claim/", first+i))
	}
	if !m.register(t, index, now, request.RetainUntil) {
		return
	}
	hour := index.Hour(request.RetainUntil)
	stored := m.read(append(keys, index.PageKey(hour)))
	var changes []claim.Change
	var claimed []claim.Key
	for _, row := range stored[:count] {
		current, err := claim.Decode(row.Value)
		assert.NilError(t, err)
		if verdict, next := claim.Decide(now, current, request); verdict == claim.Granted {
			value, err := claim.Encode(next)
			assert.NilError(t, err)
			changes = append(changes, claim.Change{Key: row.Key, Value: value, IfVersion: row.Version})
			claimed = append(claimed, claim.Key(row.Key))
		}
	}
	page, err := index.AddKeys(hour, stored[count], claimed)
	assert.NilError(t, err)
	m.commit(t, append(changes, page))
}

// register adds a writer to the manifest of its hour. It returns false if that does
// not succeed within a few attempts.
func (m *sweepModel) register(t *rapid.T, index *claim.Index, now, retainUntil int64) bool {
	for range 6 {
		hour := index.Hour(retainUntil)
		if index.Registered(hour) {
			return true
		}
		changes, err := index.Register(now, hour, m.read(index.RegisterKeys(hour)))
		assert.NilError(t, err)
		if len(changes) > 0 {
			m.commit(t, changes)
		}
	}
	return false
}

// runSweeper runs one sweeper for a random number of operations.
func (m *sweepModel) runSweeper(t *rapid.T) {
	s := m.sweeps[rapid.IntRange(0, 1).Draw(t, "sweeper")]
	calls := rapid.SampledFrom([]int{1, 5, 20, 100}).Draw(t, "calls")
	m.runSweep(t, s, m.clock(t), calls, m.commit)
}

// runSweep runs up to calls operations of a sweep, and reports whether it had
// nothing left to do.
func (m *sweepModel) runSweep(t *rapid.T, s *claim.Sweep, now int64, calls int, commit func(*rapid.T, []claim.Change) bool) bool {
	for range calls {
		op := s.Next(now, []msg.RouterID{"s"})
		switch {
		case len(op.Read) > 0:
			assert.NilError(t, s.RowsRead(now, m.read(op.Read)))
		case len(op.Commit) == 0:
			return true
		case commit(t, op.Commit):
			s.Committed()
		default:
			s.Failed()
		}
	}
	return false
}

func (m *sweepModel) applyDelayed(t *rapid.T) {
	if len(m.delayed) > 0 {
		m.apply(t, m.delayed[0])
		m.delayed = m.delayed[1:]
	}
}

// advance advances the time. Commits delayed by more than skew are dropped.
func (m *sweepModel) advance(t *rapid.T) {
	d := rapid.Int64Range(1, 120).Draw(t, "minutes") * minute
	m.now += d
	if d > skew {
		m.delayed = nil
	}
}

// No claim is deleted before it expires, and in the end no claims or index rows
// except the cursor remain, despite lost and delayed commits, restarts, clock skew
// and two concurrent sweepers.
func TestExpiredClaimsAreDeleted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &sweepModel{table: table{now: 1_000_000 * 60 * minute, rows: map[string]claim.StoredRow{}}}
		m.restart(0)
		m.restart(1)
		if rapid.Bool().Draw(t, "swept before") {
			m.writeCursor(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": m.claimKeys, "sweep": m.runSweeper, "late": m.applyDelayed, "pause": m.advance,
			"restart": func(t *rapid.T) { m.restart(rapid.IntRange(0, 1).Draw(t, "router")) },
		})
		m.delayed, m.now = nil, m.now+24*60*minute
		assert.Assert(t, m.runSweep(t, claim.NewSweep("s"), m.now, 10_000, m.apply), "the sweep did not finish")
		for key := range m.rows {
			assert.Equal(t, key, "claimindex/cursor")
		}
	})
}

// A writer whose clock is far behind lists its claims in an hour that has not been
// swept, so that they are deleted later.
func TestSweptHoursAcceptNoClaims(t *testing.T) {
	index := claim.NewIndex(claim.Writer{Router: "r", Incarnation: 1})
	b, err := cbor.Marshal(claim.Cursor{Hour: 50})
	assert.NilError(t, err)
	rows := []claim.StoredRow{{Key: "claimindex/cursor", Value: b, Version: 1}, {Key: "m"}}
	retainUntil := 40 * 60 * minute
	changes, err := index.Register(39*60*minute, index.Hour(retainUntil), rows)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, index.Hour(retainUntil), claim.Hour(50))
	assert.Assert(t, !index.Registered(40) && !index.Registered(50))
}

// Every hour is swept by exactly one live router, and the hours are spread over all
// of them.
func TestOneRouterSweepsEachHour(t *testing.T) {
	live := []msg.RouterID{"r1", "r2", "r3"}
	sweepCount := map[msg.RouterID]int{}
	for h := range claim.Hour(300) {
		id := claim.SweeperOf(h, live)
		sweepCount[id]++
		assert.Equal(t, claim.SweeperOf(h, []msg.RouterID{"r3", "r1", "r2"}), id)
	}
	for _, id := range live {
		assert.Assert(t, sweepCount[id] > 60, "%v", sweepCount)
	}
	assert.Equal(t, claim.SweeperOf(7, nil), msg.RouterID(""))
	b, err := cbor.Marshal(claim.Cursor{Hour: 7})
	assert.NilError(t, err)
	for _, id := range live {
		s := claim.NewSweep(id)
		now := 20 * 60 * minute
		s.Next(now, live)
		assert.NilError(t, s.RowsRead(now, []claim.StoredRow{{Key: "claimindex/cursor", Value: b, Version: 1}}))
		assert.Equal(t, s.Lag(now), 11*time.Hour) // hour 7 has been due since hour 8 plus claim.GracePeriod
		assert.Equal(t, len(s.Next(now, live).Read) > 0, id == claim.SweeperOf(7, live))
	}
}
