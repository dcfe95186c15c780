package join

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func draws(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 5)) }

// play has a router ask until its start is over, and returns when that is. answer is asked for
// what a router answers, nil: nothing.
func play(j *Join, answer func(seed string, now time.Time) *Offer, fetch func(from string, now time.Time) bool) (took time.Duration, asked int) {
	now := start
	for ; !j.Finished(now); now = now.Add(10 * time.Millisecond) {
		if seed := j.NextSeed(now); seed != "" {
			asked++
			if o := answer(seed, now); o != nil {
				j.HandleOffer(*o, now)
			}
		}
		if from := j.NextFetch(); from != "" {
			j.FetchEnded(fetch(from, now), nil, now)
		}
	}
	return now.Sub(start), asked
}

// At the first start of all the seeds read the store, and nobody else does while they live.
func TestOnlySeedsReadStoreAtFirstStart(t *testing.T) {
	seeds := []string{"a", "b", "c"}
	assert.Assert(t, New("b", seeds, true, draws(1), start).Finished(start))
	ready := start.Add(2 * time.Second)
	for i := range uint64(986) {
		j := New("x", seeds, true, draws(i), start)
		took, asked := play(j, func(seed string, now time.Time) *Offer {
			if now.Before(ready) {
				return &Offer{From: seed}
			}
			return &Offer{From: seed, HasView: true, Sources: []string{seed}}
		}, func(string, time.Time) bool { return true })
		assert.Assert(t, j.done)
		assert.Assert(t, took <= 3*time.Second && asked <= 12, "%s, %d times", took, asked)
	}
}

// Whoever starts alone, with seeds that have no power, reads the store at once.
func TestStoreIsReadIfNoSeedAnswers(t *testing.T) {
	took, asked := play(New("x", []string{"a", "b", "c"}, false, draws(1), start), func(string, time.Time) *Offer { return nil }, nil)
	assert.Equal(t, took, 3*answerWithin)
	assert.Equal(t, asked, 3)
	assert.Assert(t, New("x", nil, false, draws(1), start).Finished(start))
}

// The pattern: all of 986 routers are killed at once, and the store can't be read by the seeds.
// Those that have waited read it one after the other, so that the first ones serve the others.
func TestStoreReadsAreStaggered(t *testing.T) {
	var reads []time.Duration
	for i := range uint64(986) {
		took, _ := play(New("x", []string{"a", "b", "c"}, false, draws(i), start), func(seed string, _ time.Time) *Offer { return &Offer{From: seed} }, nil)
		reads = append(reads, took)
		assert.Assert(t, took >= patience && took <= patience+spreadOver+20*time.Millisecond)
	}
	first := 0
	for _, d := range reads {
		if d <= patience+rampDoubles {
			first++
		}
	}
	assert.Assert(t, first <= 20, "%d of 986 read the store in the first quarter of a second", first)
}

// A seed that has started again asks the others first, and then reads the store.
func TestRestartedSeedAsksOtherSeeds(t *testing.T) {
	j := New("a", []string{"a", "b", "c"}, false, draws(1), start)
	took, _ := play(j, func(seed string, _ time.Time) *Offer { return &Offer{From: seed} }, nil)
	assert.Equal(t, took, 2*answerWithin)
	j = New("a", []string{"a", "b", "c"}, false, draws(1), start)
	took, _ = play(j, func(seed string, _ time.Time) *Offer {
		return &Offer{From: seed, HasView: true, Sources: []string{seed}}
	}, func(string, time.Time) bool { return true })
	assert.Equal(t, took, time.Duration(0)+10*time.Millisecond)
}

// A source that is busy names others; one that fails is followed by the next.
func TestFetchTriesSourcesInTurn(t *testing.T) {
	j := New("x", []string{"a"}, true, draws(1), start)
	j.HandleOffer(Offer{From: "a", HasView: true, Sources: []string{"s1", "s2"}}, start)
	first := j.NextFetch()
	assert.Equal(t, j.NextFetch(), "", "one at a time")
	j.FetchEnded(false, nil, start)
	second := j.NextFetch()
	assert.Assert(t, first != second && second != "")
	j.FetchEnded(false, []string{"s3"}, start)
	assert.Equal(t, j.NextFetch(), "s3")
	assert.Assert(t, !j.Finished(start.Add(time.Hour)), "a fetch is under way")
	j.FetchEnded(false, nil, start)
	assert.Equal(t, j.NextFetch(), "")
	assert.Assert(t, j.NextSeed(start.Add(time.Second)) != "", "it asks again")
	j.Done()
	assert.Assert(t, j.Finished(start))
}

// What is asked of seeds in a second does not grow faster than the fleet, and not with the time
// that the seeds need.
func TestQueriesToSeedsAreBounded(t *testing.T) {
	for _, n := range []int{100, 1000, 2000} {
		total := 0
		for i := range n {
			_, asked := play(New(fmt.Sprint(i), []string{"a", "b", "c"}, true, draws(uint64(i)), start),
				func(seed string, _ time.Time) *Offer { return &Offer{From: seed} }, nil)
			total += asked
		}
		assert.Assert(t, total <= 16*n, "%d asks of %d routers in five seconds", total, n)
	}
}
