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
	guilty = routing.ContentHash(1)
	beside = routing.ContentHash(2)
)

var start = time.Unix(1000, 0)

// at is a moment, in milliseconds after the start of a test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// end is one of a run of 60 ms.
func end(server, ms int) Crash {
	return Crash{Server: routing.ServerKey(server), Sent: at(ms - 60), At: at(ms)}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// A request that ends one server after the other is blocked at the third, for ten minutes
// after the last, and then again at the next one.
func TestThirdEndBlocks(t *testing.T) {
	table := New()
	assert.Assert(t, table.Empty())
	assert.Equal(t, table.Crashed(guilty, end(1, 0)), Change{Crashes: 1})
	assert.Equal(t, table.Crashed(guilty, end(2, 500)), Change{Crashes: 2})
	assert.Equal(t, table.Blocked(guilty, at(500)), time.Duration(0))
	assert.Equal(t, table.Crashed(guilty, end(3, 1000)), Change{Crashes: 3, Blocked: true})
	assert.Equal(t, table.Blocked(guilty, at(1000)), BlockFor)
	over := at(1000).Add(BlockFor)
	table.Tick(rng(), over)
	assert.Equal(t, table.Blocked(guilty, over), time.Duration(0))
	again := Crash{Server: 4, Sent: over.Add(time.Second), At: over.Add(2 * time.Second)}
	assert.Equal(t, table.Crashed(guilty, again), Change{Crashes: 4, Blocked: true})
	table.Tick(rng(), again.At.Add(forgetAfter+time.Second))
	assert.Assert(t, table.Empty())
}

// A rack that loses its power ends many servers at once: that counts once, also for a content
// that runs at all of them. What was sent after a crash is another, however soon it ends.
func TestEndsOfOneMomentCountOnce(t *testing.T) {
	table := New()
	for server := range 20 {
		table.Crashed(beside, end(server, server))
	}
	assert.Equal(t, table.Blocked(beside, at(50)), time.Duration(0))
	for i := range CrashesToBlock {
		table.Crashed(guilty, Crash{Server: routing.ServerKey(i), Sent: at(30*i + 1), At: at(30*i + 30)})
	}
	assert.Assert(t, table.Blocked(guilty, at(100)) > 0)
}

// The same server ends once in each of its lives; a router and its peers both see it.
func TestOneLifeOfAServerEndsOnce(t *testing.T) {
	table := New()
	for ms := range 10 {
		table.Crashed(guilty, end(1, 500*ms))
	}
	assert.Equal(t, table.Blocked(guilty, at(5000)), time.Duration(0))
}

// Regression: while the platform's list tells of no new start, the crashes of a server that starts again under its ID
// counted as one. They count each where it has answered in between, and none
// counts while it may be down.
func TestLaterStartsUnderOneNameCount(t *testing.T) {
	table := New()
	answered := func(ms, answered int) Crash {
		e := end(1, ms)
		e.Answered = at(answered)
		return e
	}
	assert.Equal(t, table.Crashed(guilty, answered(0, -1000)), Change{Crashes: 1})
	assert.Equal(t, table.Crashed(guilty, answered(300, -1000)), Change{Crashes: 1}, "it may be down")
	assert.Equal(t, table.Crashed(guilty, answered(1000, 900)), Change{Crashes: 2})
	assert.Equal(t, table.Crashed(guilty, answered(2000, 1900)), Change{Crashes: 3, Blocked: true})
}

// A server that takes connections and answers nobody in between may be down behind something that
// takes them: its crashes are a reason to block a content for seconds, and none for minutes.
func TestUnconfirmedStartsBlockForSeconds(t *testing.T) {
	table := New()
	for i := range 2 * CrashesToBlock {
		e := end(1, 500*i)
		e.Accepted = true
		assert.Equal(t, table.Crashed(guilty, e), Change{Crashes: i + 1, Blocked: i == CrashesToBlock-1})
	}
	assert.Equal(t, table.Blocked(guilty, at(2500)), unconfirmedBlock)
	write, _ := table.ToStore(at(2500))
	assert.Equal(t, len(write), 1, "a router that starts meanwhile has to know")
}

// What ran beside a guilty request ends with its server too; one complete response shows that
// it is innocent, at this router and at those that it tells.
func TestAWholeAnswerClears(t *testing.T) {
	table, other := New(), New()
	for i := range 2 {
		table.Crashed(beside, end(i, 500*i))
	}
	cleared, _ := table.Succeeded(beside, at(700))
	assert.Assert(t, cleared)
	cleared, _ = table.Succeeded(guilty, at(700))
	assert.Assert(t, !cleared, "nothing ended under it")
	table.Crashed(beside, end(3, 1000))
	assert.Equal(t, table.Blocked(beside, at(1000)), time.Duration(0))
	for i := range CrashesToBlock {
		other.Crashed(beside, end(i, 500*i))
	}
	assert.Assert(t, other.Blocked(beside, at(1000)) > 0)
	other.Merge([]Record{{Content: beside, Crashes: []CrashAge{{Server: 1}}, Succeeded: time.Millisecond}}, rng(), at(1100))
	assert.Equal(t, other.Blocked(beside, at(1100)), time.Duration(0))
	_, remove := other.ToStore(at(1100))
	assert.DeepEqual(t, remove, []routing.ContentHash{beside})
}

// rankOf returns the place of a router for any content.
func rankOf(place int) func(routing.ContentHash) int {
	return func(routing.ContentHash) int { return place }
}

// Regression: of two contents that ended the same servers together both were blocked for ten
// minutes. They are held back for a second, and then tried one request at a time: the answer
// clears one, one more crash blocks the other.
func TestOfTwoThatEndTogetherEachIsTriedAlone(t *testing.T) {
	table := New()
	for i := range CrashesToBlock {
		table.Crashed(beside, end(i, 500*i))
		change := table.Crashed(guilty, end(i, 500*i))
		assert.Assert(t, !change.Blocked)
		assert.Equal(t, change.Doubted, i == CrashesToBlock-1)
	}
	for _, c := range []routing.ContentHash{beside, guilty} {
		assert.Equal(t, table.Blocked(c, at(1000)), firstPause)
		assert.Equal(t, table.Admit(c, rankOf(0), at(1500)), Admission{Wait: 500 * time.Millisecond, InDoubt: true})
		assert.Equal(t, table.Admit(c, rankOf(0), at(2000)), Admission{Trial: true, Apart: true})
		assert.Assert(t, table.Admit(c, rankOf(0), at(2000)).Wait > 0, "one at a time")
	}
	_, blocked := table.Succeeded(beside, at(2100))
	table.EndTrial(beside)
	assert.Equal(t, table.Admit(beside, rankOf(0), at(2100)), Admission{})
	assert.DeepEqual(t, blocked, []routing.ContentHash{guilty})
	assert.Equal(t, table.Crashed(guilty, end(9, 2100)), Change{Crashes: 4})
	assert.Equal(t, table.Blocked(guilty, at(2100)), BlockFor)
}

// The routers try a content in doubt one after the other, the next one when it can have heard how the
// trial before it ended; each further crash makes them wait longer.
func TestRoutersTryAContentInDoubtInTurn(t *testing.T) {
	table := New()
	for i := range CrashesToBlock {
		table.Crashed(beside, end(i, 500*i))
		table.Crashed(guilty, end(i, 500*i))
	}
	turn := at(1000).Add(firstPause + 3*(trialStep+60*time.Millisecond))
	assert.Assert(t, table.Admit(guilty, rankOf(3), turn.Add(-1)).Wait > 0)
	assert.Assert(t, table.Admit(guilty, rankOf(3), turn).Trial)
	table.EndTrial(guilty)
	table.Crashed(beside, end(9, 2100))
	table.Crashed(guilty, end(9, 2100))
	assert.Equal(t, table.Blocked(guilty, at(2100)), pauseX*firstPause)
}

// A content that always ran beside another is in doubt for as long as it is not cleared, also once the
// other one is blocked.
func TestWhatRanBesideABlockedContentIsStillTried(t *testing.T) {
	table := New()
	for i := range CrashesToBlock {
		table.Crashed(beside, end(i, 500*i))
		table.Crashed(guilty, end(i, 500*i))
	}
	table.Crashed(guilty, end(7, 2500))
	assert.Equal(t, table.Blocked(guilty, at(2500)), firstPause*pauseX)
	table.Crashed(guilty, end(8, 6600))
	table.Crashed(guilty, end(9, 22_700))
	assert.Equal(t, table.Blocked(guilty, at(22_700)), BlockFor)
	assert.Assert(t, table.Admit(beside, rankOf(0), at(22_700)).Trial)
}

// What a table knows is bounded; a blocked content stays.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range CrashesToBlock {
		table.Crashed(guilty, end(i, 500*i))
	}
	for c := range 3 * most {
		table.Crashed(routing.ContentHash(10+c), end(1, 2000))
	}
	assert.Assert(t, len(table.records) <= most)
	assert.Assert(t, table.Blocked(guilty, at(2000)) > 0)
	table.Tick(rng(), at(2000))
	assert.Assert(t, len(table.order) <= most)
}

// A router writes what it blocked at once, one that was told only if it hears long after
// that nobody has; what is not blocked any more is removed.
func TestTheStoreIsToldOnce(t *testing.T) {
	first, other := New(), New()
	for i := range CrashesToBlock {
		first.Crashed(guilty, end(i, 500*i))
	}
	write, _ := first.ToStore(at(1000))
	assert.Equal(t, len(write), 1)
	blocked := other.Merge(first.TakeUpdates(at(1000)), rng(), at(1001))
	assert.DeepEqual(t, blocked, []routing.ContentHash{guilty})
	write, _ = other.ToStore(at(1100))
	assert.Equal(t, len(write), 0)
	write, _ = other.ToStore(at(1001).Add(2 * storeAfter))
	assert.Equal(t, len(write), 1)
	first.Stored(write, nil)
	other.Merge(first.TakeUpdates(at(1200)), rng(), at(1201))
	write, _ = other.ToStore(at(1001).Add(2 * storeAfter))
	assert.Equal(t, len(write), 0)
	first.Tick(rng(), at(1000).Add(BlockFor))
	_, remove := first.ToStore(at(1000).Add(BlockFor))
	assert.DeepEqual(t, remove, []routing.ContentHash{guilty})
	first.Stored(nil, remove)
	_, remove = first.ToStore(at(1000).Add(BlockFor))
	assert.Equal(t, len(remove), 0)
}

// Regression: where reports crossed, no router had seen the third crash of a content as the third, and all
// waited for another one to write it into the store; a router that started meanwhile sent one more copy.
func TestAnyRouterThatSawACrashWritesAtOnce(t *testing.T) {
	first, last := New(), New()
	for i := range CrashesToBlock - 1 {
		first.Crashed(guilty, end(i, 500*i))
	}
	last.Crashed(guilty, end(9, 1000))
	assert.DeepEqual(t, last.Merge(first.TakeUpdates(at(1010)), rng(), at(1010)), []routing.ContentHash{guilty})
	write, _ := last.ToStore(at(1010))
	assert.Equal(t, len(write), 1)
}

// Regression: what was blocked since another suspect was forgotten was not logged, and each router wrote
// it into the store.
func TestBlockedSinceAnotherSuspectWasForgotten(t *testing.T) {
	saw, heard := New(), New()
	for i := range CrashesToBlock {
		saw.Crashed(beside, end(i, 500*i))
		saw.Crashed(guilty, end(i, 500*i))
	}
	late := forgetAfter - time.Minute
	saw.Crashed(guilty, end(9, int(late.Milliseconds())))
	assert.Equal(t, len(heard.Merge(saw.TakeUpdates(at(0).Add(late)), rng(), at(0).Add(late))), 0)
	forgotten := at(1001).Add(forgetAfter)
	for _, table := range []*Table{saw, heard} {
		assert.Equal(t, len(table.Tick(rng(), forgotten)), 0)
		assert.DeepEqual(t, table.Tick(rng(), forgotten), []routing.ContentHash{guilty})
	}
	write, _ := saw.ToStore(forgotten)
	assert.Equal(t, len(write), 1)
	write, _ = heard.ToStore(forgotten)
	assert.Equal(t, len(write), 0)
	write, _ = heard.ToStore(forgotten.Add(2 * storeAfter))
	assert.Equal(t, len(write), 1)
}

// Regression: crashes that a table had dropped for newer ones came back from another router at moments
// that were later by the report's way and close together, so that they counted once; a content that
// had crashed 12 servers was sent to one more.
func TestDroppedCrashesDoNotComeBackAsNewerOnes(t *testing.T) {
	table, other := New(), New()
	for i := range crashesKept {
		other.Crashed(guilty, end(i, 200*i))
		table.Crashed(guilty, end(i, 200*i))
	}
	told := other.TakeUpdates(at(3000))
	for i := range crashesKept {
		table.Crashed(guilty, end(crashesKept+i, 1600+200*i))
		told[0].Crashes[i].Age = time.Duration(i) * time.Millisecond
	}
	table.Merge(told, rng(), at(3500))
	assert.Equal(t, len(table.records[guilty].counted), crashesKept)
	assert.Equal(t, table.Blocked(guilty, at(3500)), BlockFor-500*time.Millisecond)
}

// Regression: two routers saw the same crash of an unlisted start, which only one of them could confirm. A
// report's way made the later request one that was sent after the crash, so that it counted twice and an
// innocent content was blocked.
func TestACrashThatOnlyOneRouterConfirmsCountsOnce(t *testing.T) {
	table, listed := New(), routing.ServerKey(1)
	table.Merge([]Record{{Content: beside, Crashes: []CrashAge{
		{Server: listed, Ran: 50 * time.Millisecond, Age: 760 * time.Millisecond},
		{Server: listed.NextStart(), Ran: 60 * time.Millisecond, Age: 11 * time.Millisecond},
		{Server: listed.UnconfirmedStart(), Ran: 10 * time.Millisecond, Age: 0},
	}}}, rng(), at(900))
	assert.Equal(t, len(table.records[beside].counted), 2)
	assert.Assert(t, table.Admit(beside, rankOf(0), at(900)).Wait == 0)
}

// Regression: an innocent content that had crashed with each of two guilty ones was blocked until the
// report came that made one of them a suspect, and a caller in between was told to come back in ten minutes.
func TestNobodyIsToldOfMinutesBeforeReportsHaveCome(t *testing.T) {
	table, late := New(), New()
	for i := range CrashesToBlock {
		table.Crashed(beside, end(i, 500*i))
	}
	assert.Equal(t, table.Admit(beside, rankOf(0), at(1000)).Wait, BlockFor, "nothing else has crashed a server")
	table.Crashed(guilty, end(0, 0))
	assert.Equal(t, table.Admit(beside, rankOf(0), at(1000)), Admission{Wait: reportsWithin, InDoubt: true})
	for i := range 2 {
		late.Crashed(guilty, end(i, 500*i))
	}
	table.Merge(late.TakeUpdates(at(1300)), rng(), at(1300))
	assert.Equal(t, table.Admit(beside, rankOf(0), at(1300)).Wait, 700*time.Millisecond)
	assert.Assert(t, table.Admit(beside, rankOf(0), at(2000)).Trial)
}

// What is told again and again is what may matter: what is blocked, and for a while what
// servers crashed under more than once.
func TestWhatIsRepeated(t *testing.T) {
	table := New()
	table.Crashed(beside, end(1, 0))
	table.Crashed(guilty, end(1, 0))
	table.Crashed(guilty, end(2, 500))
	list := table.Repeat(10, at(600))
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Content, guilty)
	assert.Equal(t, len(table.Repeat(10, at(600).Add(repeatFor))), 0)
	table.Crashed(guilty, end(3, 1000))
	assert.Equal(t, len(table.Repeat(10, at(600).Add(repeatFor))), 1)
	assert.Equal(t, len(table.Repeat(0, at(600))), 0)
}

// Routers that hear the same reports in any order, some twice, block the same contents; and a
// content is blocked by nobody of whose crashes fewer than three are at moments of their own. Where
// no two contents run at one server or end at one moment, three are enough.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		together := rapid.Bool().Draw(t, "together")
		var told []Record
		moments := map[routing.ContentHash]map[int]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "ends") {
			c := routing.ContentHash(rapid.IntRange(1, 3).Draw(t, "content"))
			moment := rapid.IntRange(0, 4).Draw(t, "moment")
			if moments[c] == nil {
				moments[c] = map[int]bool{}
			}
			moments[c][moment] = true
			source := New()
			server, ms := rapid.IntRange(0, 20).Draw(t, "server")*5+moment, 1000*moment
			if !together {
				server += 1000 * int(c)
				ms -= 200 * int(c)
			}
			source.Crashed(c, end(server, ms))
			told = append(told, source.TakeUpdates(at(5000))...)
		}
		tables := [2]*Table{New(), New()}
		for _, table := range tables {
			for _, i := range rapid.Permutation(indices(len(told))).Draw(t, "order") {
				table.Merge(told[i:i+1], rng(), at(5000))
				if rapid.Bool().Draw(t, "twice") {
					table.Merge(told[i:i+1], rng(), at(5000))
				}
			}
		}
		for c, seen := range moments {
			blocked := tables[0].Blocked(c, at(5000)) > 0
			if other := tables[1].Blocked(c, at(5000)) > 0; blocked != other {
				t.Fatalf("content %v: %v and %v", c, blocked, other)
			}
			if blocked && len(seen) < CrashesToBlock || !together && blocked != (len(seen) >= CrashesToBlock) {
				t.Fatalf("content %v: blocked %v, ends at %d moments", c, blocked, len(seen))
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
