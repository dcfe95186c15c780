package poison

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/routing"
)

// Checks the invariants of admission under random events at two routers that report to each other.
func TestAdmissionInvariants(t *testing.T) { rapid.Check(t, checkAdmissionInvariants) }

// FuzzAdmissionInvariants is the coverage-guided variant.
func FuzzAdmissionInvariants(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkAdmissionInvariants)) }

func checkAdmissionInvariants(t *rapid.T) {
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
				table.Crashed(c, Crash{Server: server, Sent: now.Add(-ran), At: now, LastAnswered: now.Add(-answered), Accepted: rapid.Bool().Draw(t, "accepted")})
			}
		case 2:
			table.Succeeded(c, now)
			checkNotDelayed(t, table, c, now)
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
			if wait := table.Blocked(c, now); wait > BlockDuration {
				t.Fatalf("content %v: blocked for %v", c, wait)
			}
			if r.class == poisonous && len(table.withoutOtherSuspects(r, r.counted)) < CrashesToBlock {
				t.Fatalf("content %v is classified as poisonous, but another suspect ran at its crashes", c)
			}
			if r.class != belowThreshold && len(r.counted) < CrashesToBlock {
				t.Fatalf("content %v is not below the threshold with only %d crashes", c, len(r.counted))
			}
		}
	}
}

// checkNotDelayed checks that a content with a complete response is sent without delay.
func checkNotDelayed(t *rapid.T, table *Table, c routing.ContentHash, now time.Time) {
	if a := table.Admit(c, rankOf(0), now); a.Wait > 0 || a.Trial {
		t.Fatalf("content %v had a complete response but is not admitted freely: %+v", c, a)
	}
}

// checkAdmission checks that at most one trial request of an ambiguous content runs at a time, and
// that all others get a time to wait.
func checkAdmission(t *rapid.T, table *Table, c routing.ContentHash, trials map[routing.ContentHash]bool, now time.Time) {
	a := table.Admit(c, rankOf(0), now)
	r := table.records[c]
	judged := r != nil && len(r.counted) >= CrashesToBlock
	switch {
	case !judged:
		if a.Wait > 0 || a.Trial {
			t.Fatalf("content %v is delayed after too few crashes: %+v", c, a)
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
