package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/routing"
)

const (
	culprit   = routing.ContentHash(1)
	bystander = routing.ContentHash(2)
)

var start = time.Unix(1000, 0)

// at returns the time ms milliseconds after the start of a test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crashAt returns a crash of the server at the given time, 60 ms after the request was sent.
func crashAt(server, ms int) Crash {
	return Crash{Server: routing.ServerKey(server), Sent: at(ms - 60), At: at(ms)}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// A content is blocked at its third crash, until ten minutes after the last one, and again at the
// next crash.
func TestThirdCrashBlocks(t *testing.T) {
	table := New()
	assert.Assert(t, table.Empty())
	assert.Equal(t, table.Crashed(culprit, crashAt(1, 0)), Change{Crashes: 1})
	assert.Equal(t, table.Crashed(culprit, crashAt(2, 500)), Change{Crashes: 2})
	assert.Equal(t, table.Blocked(culprit, at(500)), time.Duration(0))
	assert.Equal(t, table.Crashed(culprit, crashAt(3, 1000)), Change{Crashes: 3, Blocked: true})
	assert.Equal(t, table.Blocked(culprit, at(1000)), BlockDuration)
	over := at(1000).Add(BlockDuration)
	table.Tick(rng(), over)
	assert.Equal(t, table.Blocked(culprit, over), time.Duration(0))
	again := Crash{Server: 4, Sent: over.Add(time.Second), At: over.Add(2 * time.Second)}
	assert.Equal(t, table.Crashed(culprit, again), Change{Crashes: 4, Blocked: true})
	table.Tick(rng(), again.At.Add(retention+time.Second))
	assert.Assert(t, table.Empty())
}

// A rack that loses power stops many servers at once, which counts as one crash, also for a content
// that ran on all of them. A request that was sent after a crash counts separately, however soon it
// crashes the server.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	table := New()
	for server := range 20 {
		table.Crashed(bystander, crashAt(server, server))
	}
	assert.Equal(t, table.Blocked(bystander, at(50)), time.Duration(0))
	for i := range CrashesToBlock {
		table.Crashed(culprit, Crash{Server: routing.ServerKey(i), Sent: at(30*i + 1), At: at(30*i + 30)})
	}
	assert.Assert(t, table.Blocked(culprit, at(100)) > 0)
}

// Each start of a server crashes at most once, although a router may receive the same crash several
// times.
func TestEachServerStartCrashesOnce(t *testing.T) {
	table := New()
	for ms := range 10 {
		table.Crashed(culprit, crashAt(1, 500*ms))
	}
	assert.Equal(t, table.Blocked(culprit, at(5000)), time.Duration(0))
}

// Regression: while the platform's list reported no restarts, all crashes of a server that restarted
// under the same ID counted as one. They count separately if the server has answered in between, and
// not while it may be down.
func TestRestartsUnderSameKeyAreCounted(t *testing.T) {
	table := New()
	answered := func(ms, answered int) Crash {
		crash := crashAt(1, ms)
		crash.LastAnswered = at(answered)
		return crash
	}
	assert.Equal(t, table.Crashed(culprit, answered(0, -1000)), Change{Crashes: 1})
	assert.Equal(t, table.Crashed(culprit, answered(300, -1000)), Change{Crashes: 1}, "the server may still be down")
	assert.Equal(t, table.Crashed(culprit, answered(1000, 900)), Change{Crashes: 2})
	assert.Equal(t, table.Crashed(culprit, answered(2000, 1900)), Change{Crashes: 3, Blocked: true})
}

// A server that accepts connections but answers nothing may be down behind a proxy that accepts
// them. Such crashes block a content for seconds, not minutes.
func TestUnconfirmedStartsBlockForSeconds(t *testing.T) {
	table := New()
	for i := range 2 * CrashesToBlock {
		crash := crashAt(1, 500*i)
		crash.Accepted = true
		assert.Equal(t, table.Crashed(culprit, crash), Change{Crashes: i + 1, Blocked: i == CrashesToBlock-1})
	}
	assert.Equal(t, table.Blocked(culprit, at(2500)), unconfirmedBlockDuration)
	write, _ := table.StoreChanges(at(2500))
	assert.Equal(t, len(write), 1, "a router that starts in the meantime has to learn of the block")
}

// Requests that run beside a poison request crash with its server too. One complete response shows
// that such a request is harmless, at this router and at those that receive its reports.
func TestCompleteResponseClears(t *testing.T) {
	table, other := New(), New()
	for i := range 2 {
		table.Crashed(bystander, crashAt(i, 500*i))
	}
	cleared, _ := table.Succeeded(bystander, at(700))
	assert.Assert(t, cleared)
	cleared, _ = table.Succeeded(culprit, at(700))
	assert.Assert(t, !cleared, "it has no crashes")
	table.Crashed(bystander, crashAt(3, 1000))
	assert.Equal(t, table.Blocked(bystander, at(1000)), time.Duration(0))
	for i := range CrashesToBlock {
		other.Crashed(bystander, crashAt(i, 500*i))
	}
	assert.Assert(t, other.Blocked(bystander, at(1000)) > 0)
	other.Merge([]Record{{Content: bystander, Crashes: []CrashAge{{Server: 1}}, SucceededAge: time.Millisecond}}, rng(), at(1100))
	assert.Equal(t, other.Blocked(bystander, at(1100)), time.Duration(0))
	_, remove := other.StoreChanges(at(1100))
	assert.DeepEqual(t, remove, []routing.ContentHash{bystander})
}

// rankOf returns a rank function with the same position for every content.
func rankOf(place int) func(routing.ContentHash) int {
	return func(routing.ContentHash) int { return place }
}

// Regression: two contents that ran together on the crashed servers were both blocked for ten
// minutes. They are delayed for a second and then tried one request at a time: a response clears one
// of them, a further crash blocks the other.
func TestAmbiguousContentsAreTriedOneAtATime(t *testing.T) {
	table := New()
	for i := range CrashesToBlock {
		table.Crashed(bystander, crashAt(i, 500*i))
		change := table.Crashed(culprit, crashAt(i, 500*i))
		assert.Assert(t, !change.Blocked)
		assert.Equal(t, change.Ambiguous, i == CrashesToBlock-1)
	}
	for _, c := range []routing.ContentHash{bystander, culprit} {
		assert.Equal(t, table.Blocked(c, at(1000)), initialPause)
		assert.Equal(t, table.Admit(c, rankOf(0), at(1500)), Admission{Wait: 500 * time.Millisecond, Ambiguous: true})
		assert.Equal(t, table.Admit(c, rankOf(0), at(2000)), Admission{Trial: true, Isolate: true})
		assert.Assert(t, table.Admit(c, rankOf(0), at(2000)).Wait > 0, "only one trial at a time")
	}
	_, blocked := table.Succeeded(bystander, at(2100))
	table.EndTrial(bystander)
	assert.Equal(t, table.Admit(bystander, rankOf(0), at(2100)), Admission{})
	assert.DeepEqual(t, blocked, []routing.ContentHash{culprit})
	assert.Equal(t, table.Crashed(culprit, crashAt(9, 2100)), Change{Crashes: 4})
	assert.Equal(t, table.Blocked(culprit, at(2100)), BlockDuration)
}

// Routers try an ambiguous content in turn, each one when it can have learnt the result of the
// previous trial. Each further crash lengthens the pause.
func TestRoutersTryAmbiguousContentInTurn(t *testing.T) {
	table := New()
	for i := range CrashesToBlock {
		table.Crashed(bystander, crashAt(i, 500*i))
		table.Crashed(culprit, crashAt(i, 500*i))
	}
	turn := at(1000).Add(initialPause + 3*(trialInterval+60*time.Millisecond))
	assert.Assert(t, table.Admit(culprit, rankOf(3), turn.Add(-1)).Wait > 0)
	assert.Assert(t, table.Admit(culprit, rankOf(3), turn).Trial)
	table.EndTrial(culprit)
	table.Crashed(bystander, crashAt(9, 2100))
	table.Crashed(culprit, crashAt(9, 2100))
	assert.Equal(t, table.Blocked(culprit, at(2100)), pauseFactor*initialPause)
}

// A content that always ran beside another one stays ambiguous until it is cleared, even after the
// other one is blocked.
func TestBystanderOfBlockedContentIsStillTried(t *testing.T) {
	table := New()
	for i := range CrashesToBlock {
		table.Crashed(bystander, crashAt(i, 500*i))
		table.Crashed(culprit, crashAt(i, 500*i))
	}
	table.Crashed(culprit, crashAt(7, 2500))
	assert.Equal(t, table.Blocked(culprit, at(2500)), initialPause*pauseFactor)
	table.Crashed(culprit, crashAt(8, 6600))
	table.Crashed(culprit, crashAt(9, 22_700))
	assert.Equal(t, table.Blocked(culprit, at(22_700)), BlockDuration)
	assert.Assert(t, table.Admit(bystander, rankOf(0), at(22_700)).Trial)
}

// The table is bounded, and blocked contents are not evicted.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range CrashesToBlock {
		table.Crashed(culprit, crashAt(i, 500*i))
	}
	for c := range 3 * maxContents {
		table.Crashed(routing.ContentHash(10+c), crashAt(1, 2000))
	}
	assert.Assert(t, len(table.records) <= maxContents)
	assert.Assert(t, table.Blocked(culprit, at(2000)) > 0)
	table.Tick(rng(), at(2000))
	assert.Assert(t, len(table.insertionOrder) <= maxContents)
}

// A router writes a content that it blocked itself immediately. A router that learnt of it from a
// report writes it only if nobody has done so after a delay. Contents that are no longer blocked are
// removed.
func TestBlockedContentIsStoredOnce(t *testing.T) {
	first, other := New(), New()
	for i := range CrashesToBlock {
		first.Crashed(culprit, crashAt(i, 500*i))
	}
	write, _ := first.StoreChanges(at(1000))
	assert.Equal(t, len(write), 1)
	blocked := other.Merge(first.TakeUpdates(at(1000)), rng(), at(1001))
	assert.DeepEqual(t, blocked, []routing.ContentHash{culprit})
	write, _ = other.StoreChanges(at(1100))
	assert.Equal(t, len(write), 0)
	write, _ = other.StoreChanges(at(1001).Add(2 * storeWriteDelay))
	assert.Equal(t, len(write), 1)
	first.MarkStored(write, nil)
	other.Merge(first.TakeUpdates(at(1200)), rng(), at(1201))
	write, _ = other.StoreChanges(at(1001).Add(2 * storeWriteDelay))
	assert.Equal(t, len(write), 0)
	first.Tick(rng(), at(1000).Add(BlockDuration))
	_, remove := first.StoreChanges(at(1000).Add(BlockDuration))
	assert.DeepEqual(t, remove, []routing.ContentHash{culprit})
	first.MarkStored(nil, remove)
	_, remove = first.StoreChanges(at(1000).Add(BlockDuration))
	assert.Equal(t, len(remove), 0)
}

// Regression: when reports crossed, no router saw the third crash of a content as the third, and
// each waited for another one to write it to the store. A router that started in the meantime sent
// one more copy.
func TestRouterThatSawACrashWritesImmediately(t *testing.T) {
	first, last := New(), New()
	for i := range CrashesToBlock - 1 {
		first.Crashed(culprit, crashAt(i, 500*i))
	}
	last.Crashed(culprit, crashAt(9, 1000))
	assert.DeepEqual(t, last.Merge(first.TakeUpdates(at(1010)), rng(), at(1010)), []routing.ContentHash{culprit})
	write, _ := last.StoreChanges(at(1010))
	assert.Equal(t, len(write), 1)
}

// Regression: a content that became blocked because another suspect expired was not logged, and
// every router wrote it to the store.
func TestBlockedAfterOtherSuspectExpires(t *testing.T) {
	saw, heard := New(), New()
	for i := range CrashesToBlock {
		saw.Crashed(bystander, crashAt(i, 500*i))
		saw.Crashed(culprit, crashAt(i, 500*i))
	}
	late := retention - time.Minute
	saw.Crashed(culprit, crashAt(9, int(late.Milliseconds())))
	assert.Equal(t, len(heard.Merge(saw.TakeUpdates(at(0).Add(late)), rng(), at(0).Add(late))), 0)
	forgotten := at(1001).Add(retention)
	for _, table := range []*Table{saw, heard} {
		assert.Equal(t, len(table.Tick(rng(), forgotten)), 0)
		assert.DeepEqual(t, table.Tick(rng(), forgotten), []routing.ContentHash{culprit})
	}
	write, _ := saw.StoreChanges(forgotten)
	assert.Equal(t, len(write), 1)
	write, _ = heard.StoreChanges(forgotten)
	assert.Equal(t, len(write), 0)
	write, _ = heard.StoreChanges(forgotten.Add(2 * storeWriteDelay))
	assert.Equal(t, len(write), 1)
}

// Regression: crashes that had been evicted for newer ones came back in a report, with later times
// because of the transmission delay and close together, so that they counted as one. A content that
// had crashed 12 servers was sent to another one.
func TestEvictedCrashesAreNotReaddedAsNewer(t *testing.T) {
	table, other := New(), New()
	for i := range maxCrashesPerContent {
		other.Crashed(culprit, crashAt(i, 200*i))
		table.Crashed(culprit, crashAt(i, 200*i))
	}
	reported := other.TakeUpdates(at(3000))
	for i := range maxCrashesPerContent {
		table.Crashed(culprit, crashAt(maxCrashesPerContent+i, 1600+200*i))
		reported[0].Crashes[i].Age = time.Duration(i) * time.Millisecond
	}
	table.Merge(reported, rng(), at(3500))
	assert.Equal(t, len(table.records[culprit].counted), maxCrashesPerContent)
	assert.Equal(t, table.Blocked(culprit, at(3500)), BlockDuration-500*time.Millisecond)
}

// Regression: two routers saw the same crash of an unlisted start, which only one of them could
// confirm. Because of the transmission delay the later request seemed to have been sent after the
// crash, so it counted twice and a harmless content was blocked.
func TestCrashConfirmedByOneRouterCountsOnce(t *testing.T) {
	table, listed := New(), routing.ServerKey(1)
	table.Merge([]Record{{Content: bystander, Crashes: []CrashAge{
		{Server: listed, Ran: 50 * time.Millisecond, Age: 760 * time.Millisecond},
		{Server: listed.NextStart(), Ran: 60 * time.Millisecond, Age: 11 * time.Millisecond},
		{Server: listed.UnconfirmedStart(), Ran: 10 * time.Millisecond, Age: 0},
	}}}, rng(), at(900))
	assert.Equal(t, len(table.records[bystander].counted), 2)
	assert.Assert(t, table.Admit(bystander, rankOf(0), at(900)).Wait == 0)
}

// Regression: a harmless content that had crashed together with two poison requests was blocked
// until the report arrived that made one of them a suspect. A caller in the meantime was told to
// retry in ten minutes.
func TestLongBlockWaitsForReports(t *testing.T) {
	table, late := New(), New()
	for i := range CrashesToBlock {
		table.Crashed(bystander, crashAt(i, 500*i))
	}
	assert.Equal(t, table.Admit(bystander, rankOf(0), at(1000)).Wait, BlockDuration, "no other content has crashes")
	table.Crashed(culprit, crashAt(0, 0))
	assert.Equal(t, table.Admit(bystander, rankOf(0), at(1000)), Admission{Wait: maxReportDelay, Ambiguous: true})
	for i := range 2 {
		late.Crashed(culprit, crashAt(i, 500*i))
	}
	table.Merge(late.TakeUpdates(at(1300)), rng(), at(1300))
	assert.Equal(t, table.Admit(bystander, rankOf(0), at(1300)).Wait, 700*time.Millisecond)
	assert.Assert(t, table.Admit(bystander, rankOf(0), at(2000)).Trial)
}

// Blocked contents are repeated, and for a limited time also those with more than one crash.
func TestRecordsToRepeat(t *testing.T) {
	table := New()
	table.Crashed(bystander, crashAt(1, 0))
	table.Crashed(culprit, crashAt(1, 0))
	table.Crashed(culprit, crashAt(2, 500))
	list := table.RecordsToRepeat(10, at(600))
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Content, culprit)
	assert.Equal(t, len(table.RecordsToRepeat(10, at(600).Add(repeatDuration))), 0)
	table.Crashed(culprit, crashAt(3, 1000))
	assert.Equal(t, len(table.RecordsToRepeat(10, at(600).Add(repeatDuration))), 1)
	assert.Equal(t, len(table.RecordsToRepeat(0, at(600))), 0)
}

// Routers that receive the same reports in any order, some of them twice, block the same contents.
// No content with fewer than three non-simultaneous crashes is blocked. If no two contents share a
// server or a crash time, three crashes are enough.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		colocated := rapid.Bool().Draw(t, "together")
		var reported []Record
		crashTimes := map[routing.ContentHash]map[int]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "ends") {
			c := routing.ContentHash(rapid.IntRange(1, 3).Draw(t, "content"))
			second := rapid.IntRange(0, 4).Draw(t, "moment")
			if crashTimes[c] == nil {
				crashTimes[c] = map[int]bool{}
			}
			crashTimes[c][second] = true
			source := New()
			server, ms := rapid.IntRange(0, 20).Draw(t, "server")*5+second, 1000*second
			if !colocated {
				server += 1000 * int(c)
				ms -= 200 * int(c)
			}
			source.Crashed(c, crashAt(server, ms))
			reported = append(reported, source.TakeUpdates(at(5000))...)
		}
		tables := [2]*Table{New(), New()}
		for _, table := range tables {
			for _, i := range rapid.Permutation(indices(len(reported))).Draw(t, "order") {
				table.Merge(reported[i:i+1], rng(), at(5000))
				if rapid.Bool().Draw(t, "twice") {
					table.Merge(reported[i:i+1], rng(), at(5000))
				}
			}
		}
		for c, seen := range crashTimes {
			blocked := tables[0].Blocked(c, at(5000)) > 0
			if other := tables[1].Blocked(c, at(5000)) > 0; blocked != other {
				t.Fatalf("content %v: blocked is %v at one router and %v at the other", c, blocked, other)
			}
			if blocked && len(seen) < CrashesToBlock || !colocated && blocked != (len(seen) >= CrashesToBlock) {
				t.Fatalf("content %v: blocked is %v with crashes at %d distinct times", c, blocked, len(seen))
			}
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
