package join

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 5)) }

// runJoin runs a join until it is finished. It returns how long that took and how many queries
// were sent to seeds. answer returns the answer of a router, or nil for none.
func runJoin(j *Join, answer func(seed string, now time.Time) *Offer, fetch func(from string, now time.Time) bool) (elapsed time.Duration, queries int) {
	now := start
	for ; !j.Finished(now); now = now.Add(10 * time.Millisecond) {
		if seed := j.NextSeed(now); seed != "" {
			queries++
			if o := answer(seed, now); o != nil {
				j.HandleOffer(*o, now)
			}
		}
		if from := j.NextFetch(); from != "" {
			j.FetchEnded(fetch(from, now), nil, now)
		}
	}
	return now.Sub(start), queries
}

// At the first start of a fleet only the seeds read the store, as long as they answer.
func TestOnlySeedsReadStoreAtFirstStart(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	assert.Assert(t, New("b", seeds, true, newRand(1), start).Finished(start))
	ready := start.Add(2 * time.Second)
	for i := range uint64(986) {
		j := New("x", seeds, true, newRand(i), start)
		elapsed, queries := runJoin(j, func(seed string, now time.Time) *Offer {
			if now.Before(ready) {
				return &Offer{From: seed}
			}
			return &Offer{From: seed, HasView: true, Sources: []string{seed}}
		}, func(string, time.Time) bool { return true })
		assert.Assert(t, j.done)
		assert.Assert(t, elapsed <= 3*time.Second && queries <= 12, "%s, %d times", elapsed, queries)
	}
}

// A router reads the store right after all seeds have failed to answer, or at once if it has no
// seeds.
func TestStoreIsReadIfNoSeedAnswers(t *testing.T) {
	elapsed, queries := runJoin(New("x", []string{"a", "b", "c"}, false, newRand(1), start), func(string, time.Time) *Offer { return nil }, nil)
	assert.Equal(t, elapsed, 3*answerTimeout)
	assert.Equal(t, queries, 3)
	assert.Assert(t, New("x", nil, false, newRand(1), start).Finished(start))
}

// Guards against all routers reading the store at the same time: all 986 were killed at once, and
// the seeds cannot read the store. The others must begin to read it gradually, so that the first
// ones can provide their views.
func TestStoreReadsAreStaggered(t *testing.T) {
	var readTimes []time.Duration
	for i := range uint64(986) {
		elapsed, _ := runJoin(New("x", []string{"a", "b", "c"}, false, newRand(i), start), func(seed string, _ time.Time) *Offer { return &Offer{From: seed} }, nil)
		readTimes = append(readTimes, elapsed)
		assert.Assert(t, elapsed >= maxWait && elapsed <= maxWait+readSpread+20*time.Millisecond)
	}
	early := 0
	for _, d := range readTimes {
		if d <= maxWait+readDoubling {
			early++
		}
	}
	assert.Assert(t, early <= 20, "%d of 986 read the store in the first quarter of a second", early)
}

// A seed that has restarted asks the other seeds before it reads the store.
func TestRestartedSeedAsksOtherSeeds(t *testing.T) {
	j := New("a", []string{"a", "b", "c"}, false, newRand(1), start)
	elapsed, _ := runJoin(j, func(seed string, _ time.Time) *Offer { return &Offer{From: seed} }, nil)
	assert.Equal(t, elapsed, 2*answerTimeout)
	j = New("a", []string{"a", "b", "c"}, false, newRand(1), start)
	elapsed, _ = runJoin(j, func(seed string, _ time.Time) *Offer {
		return &Offer{From: seed, HasView: true, Sources: []string{seed}}
	}, func(string, time.Time) bool { return true })
	assert.Equal(t, elapsed, time.Duration(0)+10*time.Millisecond)
}

// After a failed fetch the next source is tried, and a busy source refers to others.
func TestFetchTriesSourcesInTurn(t *testing.T) {
	j := New("x", []string{"a"}, true, newRand(1), start)
	j.HandleOffer(Offer{From: "a", HasView: true, Sources: []string{"s1", "s2"}}, start)
	first := j.NextFetch()
	assert.Equal(t, j.NextFetch(), "", "one at a time")
	j.FetchEnded(false, nil, start)
	second := j.NextFetch()
	assert.Assert(t, first != second && second != "")
	j.FetchEnded(false, []string{"s3"}, start)
	assert.Equal(t, j.NextFetch(), "s3")
	assert.Assert(t, !j.Finished(start.Add(time.Hour)), "a fetch is in progress")
	j.FetchEnded(false, nil, start)
	assert.Equal(t, j.NextFetch(), "")
	assert.Assert(t, j.NextSeed(start.Add(time.Second)) != "", "it retries")
	j.ViewReceived()
	assert.Assert(t, j.Finished(start))
}

// The number of queries to the seeds grows no faster than the fleet, and not with the time that
// the seeds take to get a view.
func TestQueriesToSeedsAreBounded(t *testing.T) {
	for _, n := range []int{100, 1000, 2000} {
		total := 0
		for i := range n {
			_, queries := runJoin(New(fmt.Sprint(i), []string{"a", "b", "c"}, true, newRand(uint64(i)), start),
				func(seed string, _ time.Time) *Offer { return &Offer{From: seed} }, nil)
			total += queries
		}
		assert.Assert(t, total <= 16*n, "%d queries of %d routers in five seconds", total, n)
	}
}
