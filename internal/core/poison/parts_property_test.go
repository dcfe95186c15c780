package poison

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/routing"
)

// Checks the invariants of parts under random events at two routers that report to each other.
func TestPartInvariants(t *testing.T) { rapid.Check(t, checkPartInvariants) }

// FuzzPartInvariants is the coverage-guided variant.
func FuzzPartInvariants(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkPartInvariants)) }

func checkPartInvariants(t *rapid.T) {
	tables := [2]*Table{NewParts(), NewParts()}
	trials := [2]map[routing.ContentHash]bool{{}, {}}
	now := start
	part := rapid.Custom(func(t *rapid.T) routing.ContentHash {
		return routing.ContentHash(rapid.IntRange(1, 4).Draw(t, "part"))
	})
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		at := rapid.IntRange(0, 1).Draw(t, "router")
		table, c := tables[at], part.Draw(t, "part")
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0, 1:
			answering := time.Duration(rapid.IntRange(0, 400).Draw(t, "answering")) * time.Millisecond
			server := routing.ServerKey(rapid.IntRange(100, 120).Draw(t, "server"))
			table.NoteBroken(answering, now)
			for _, c := range append(rapid.SliceOfN(part, 0, 2).Draw(t, "beside"), c) {
				table.Crashed(c, Crash{Server: server, Sent: now.Add(-answering - 100*time.Millisecond), At: now, Answering: answering})
			}
		case 2:
			for range rapid.IntRange(1, 40).Draw(t, "answers") {
				table.NoteAnswered(now)
			}
		case 3:
			table.Succeeded(c, now)
			if a := table.AdmitPart(c, rank0, now); a.Wait > 0 || a.Trial {
				t.Fatalf("part %v is blocked although a request with it was answered", c)
			}
		case 4:
			records := tables[at].TakeUpdates(now)
			tables[1-at].Merge(records, rng(), now)
			before := tables[1-at].BlockedCount(now)
			tables[1-at].Merge(records, rng(), now)
			if after := tables[1-at].BlockedCount(now); after != before {
				t.Fatalf("merging the same records again changed %d blocked parts to %d", before, after)
			}
		case 5:
			if trials[at][c] {
				table.EndTrial(c)
				delete(trials[at], c)
				break
			}
			switch a := table.AdmitPart(c, rank0, now); {
			case a.Wait < 0 || a.Wait > BlockDuration:
				t.Fatalf("part %v has to wait for %v", c, a.Wait)
			case a.Trial && trials[at][c]:
				t.Fatalf("two trials of part %v at a time", c)
			case a.Trial:
				trials[at][c] = true
			}
		}
		table.Tick(rng(), now)
	}
	for _, table := range tables {
		for c, r := range table.records {
			if r.corroborated && !r.reportedBlocked && len(r.counted) < CrashesToBlock {
				t.Fatalf("part %v counts as corroborated with %d crashes", c, len(r.counted))
			}
			if len(r.crashes) > maxCrashesPerPart {
				t.Fatalf("part %v has %d crashes", c, len(r.crashes))
			}
		}
	}
}
