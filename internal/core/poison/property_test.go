package poison

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/routing"
)

// Whatever happens in whichever order at two routers that report to each other.
func TestAdmissionsKeepTheirPromises(t *testing.T) { rapid.Check(t, admissionsKeepTheirPromises) }

// FuzzAdmissions is the same, led by coverage.
func FuzzAdmissions(f *testing.F) { f.Fuzz(rapid.MakeFuzz(admissionsKeepTheirPromises)) }

func admissionsKeepTheirPromises(t *rapid.T) {
	tables := [2]*Table{New(), New()}
	trials := [2]map[routing.ContentHash]bool{{}, {}}
	now := start
	content := rapid.Custom(func(t *rapid.T) routing.ContentHash {
		return routing.ContentHash(rapid.IntRange(1, 4).Draw(t, "content"))
	})
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		at := rapid.IntRange(0, 1).Draw(t, "router")
		table, c := tables[at], content.Draw(t, "content")
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0, 1:
			ran := time.Duration(rapid.IntRange(0, 200).Draw(t, "ran")) * time.Millisecond
			answered := time.Duration(rapid.IntRange(0, 2000).Draw(t, "answered")) * time.Millisecond
			server := routing.ServerKey(rapid.IntRange(100, 103).Draw(t, "server"))
			for _, c := range append(rapid.SliceOfN(content, 0, 3).Draw(t, "beside"), c) {
				table.Crashed(c, Crash{Server: server, Sent: now.Add(-ran), At: now, Answered: now.Add(-answered), Accepted: rapid.Bool().Draw(t, "accepted")})
			}
		case 2:
			table.Succeeded(c, now)
			checkFree(t, table, c, now)
		case 3:
			tables[1-at].Merge(table.TakeUpdates(now), rng(), now)
		case 4:
			checkAdmission(t, table, c, trials[at], now)
		}
		table.Tick(rng(), now)
	}
	for i, table := range tables {
		for c := range trials[i] {
			table.EndTrial(c)
		}
		for c, r := range table.records {
			if wait := table.Blocked(c, now); wait > BlockFor {
				t.Fatalf("content %v: blocked for %v", c, wait)
			}
			if r.verdict == convicted && len(table.alone(r, r.counted)) < CrashesToBlock {
				t.Fatalf("content %v is guilty of ends at each of which another suspect was", c)
			}
			if r.verdict != acquitted && len(r.counted) < CrashesToBlock {
				t.Fatalf("content %v: judged by %d ends", c, len(r.counted))
			}
		}
	}
}

// checkFree checks that what was answered is sent as before.
func checkFree(t *rapid.T, table *Table, c routing.ContentHash, now time.Time) {
	if a := table.Admit(c, rankOf(0), now); a.Wait > 0 || a.Trial {
		t.Fatalf("content %v was answered: %+v", c, a)
	}
}

// checkAdmission checks that a content in doubt is tried by one request at a time, and that all
// others are told when to come back.
func checkAdmission(t *rapid.T, table *Table, c routing.ContentHash, trials map[routing.ContentHash]bool, now time.Time) {
	a := table.Admit(c, rankOf(0), now)
	r := table.records[c]
	judged := r != nil && len(r.counted) >= CrashesToBlock
	switch {
	case !judged:
		if a.Wait > 0 || a.Trial {
			t.Fatalf("content %v is held back for too few ends: %+v", c, a)
		}
	case a.Trial == (a.Wait > 0):
		t.Fatalf("content %v: %+v", c, a)
	case a.Trial && trials[c]:
		t.Fatalf("content %v is tried twice at a time", c)
	}
	if a.Trial {
		if second := table.Admit(c, rankOf(0), now); second.Trial || second.Wait == 0 {
			t.Fatalf("content %v is tried twice at a time", c)
		}
		trials[c] = true
		if rapid.Bool().Draw(t, "over") {
			table.EndTrial(c)
			delete(trials, c)
		}
	}
}
