package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// engines are the engines in use and one twice as fast: the processing speed (tokens per
// millisecond) and the fixed delay before a first token (ms).
var engines = []struct{ rate, base float64 }{{32, 10}, {38.7, 12}, {70, 47}, {112, 50}, {220, 9}}

// timedFit is a fit that gets an observation every 20 ms.
type timedFit struct {
	firstTokenFit
	now time.Time
}

func newTimedFit() *timedFit { return &timedFit{firstTokenFit: newFirstTokenFit(), now: at(0)} }

func (o *timedFit) observe(x, y float64) {
	o.now = o.now.Add(20 * time.Millisecond)
	var one FirstTokenSums
	one.add(x, o.clampOutlier(x, y), 1)
	o.merge(one, o.now)
}

// observeFirstTokens draws n first tokens of an engine after up to 8,000 prompt tokens, with times
// that vary by 10%.
func observeFirstTokens(rng *rand.Rand, n int, rate, base float64, observe func(x, y float64)) {
	for range n {
		x := rng.Float64() * 8000
		observe(x, (base+x/rate)*(0.9+0.2*rng.Float64()))
	}
}

// A router sees about 50 first tokens a second, and must know the speed of an engine after two
// seconds.
func TestEngineSpeedConvergesInTwoSeconds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, e := range engines {
		l := newTimedFit()
		observeFirstTokens(rng, 100, e.rate, e.base, l.observe)
		rate, base := l.fit()
		for _, x := range []float64{0, 1000, 4000, 8000} {
			measured, expected := e.base+x/e.rate, base+x/rate
			assert.Assert(t, expected > 0.8*measured-4 && expected < 1.2*measured+4, "%v: after %g tokens %.1f ms, expected %.1f", e, x, measured, expected)
		}
	}
}

// When an engine becomes slower under load, the estimate of its speed follows within a few seconds.
func TestFitFollowsSlowdown(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := newTimedFit()
	observeFirstTokens(rng, 500, 112, 50, l.observe)
	rate, _ := l.fit()
	assert.Assert(t, rate > 100, "%g", rate)
	observeFirstTokens(rng, 250, 56, 60, l.observe)
	rate, _ = l.fit()
	assert.Assert(t, rate < 70, "%g", rate)
}

// A first token delayed by a stalled server must hardly change the estimated processing speed.
func TestOutlierBarelyChangesFit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := newTimedFit()
	observeFirstTokens(rng, 300, 112, 50, l.observe)
	l.observe(500, 5000)
	rate, base := l.fit()
	assert.Assert(t, rate > 90 && base < 60, "%g, %g", rate, base)
}

// If all prompts have the same length, the fit stays within its bounds.
func TestEqualPromptsKeepFitBounded(t *testing.T) {
	l := newTimedFit()
	for range 5000 {
		l.observe(0, 50)
	}
	rate, base := l.fit()
	assert.Assert(t, rate >= minTokensPerMs && rate <= maxTokensPerMs)
	assert.Assert(t, base > 45 && base < 55)
}

// The estimated times match the measured ones, whether an engine is slower or faster than the
// initial assumption.
func TestEstimateMatchesMeasuredTime(t *testing.T) {
	for _, e := range engines {
		p := newPicker(9)
		for i := range 300 {
			req := Request{Service: "llm", Prompt: prompt(i%60, i)}
			now := i * 900
			c := choose(t, p, req, now)
			j := p.Begin(req, c, at(now))
			tookMs := e.base + float64(c.UncachedTokens)/e.rate
			if c.FetchFrom != "" {
				tookMs += 8
			}
			p.NoteFirstEvent(j, at(now).Add(millis(tookMs)))
			p.End(j, Succeeded, at(now).Add(millis(tookMs)))
		}
		c := choose(t, p, Request{Service: "llm", Prompt: prompt(1, 1000)}, 900*300)
		measured := millis(e.base + float64(c.UncachedTokens)/e.rate)
		expected := c.Wait + c.Processing
		assert.Assert(t, expected > measured*8/10-4*time.Millisecond && expected < measured*12/10+4*time.Millisecond, "%v: %s, expected %s", e, measured, expected)
	}
}

// Guards against wrong estimates at a router that has just started. Of 295 routers in front of 160
// engines each sees six first tokens a second, so that it would need 15 s to learn the speed from
// its own observations. With the reports of the others it needs a tenth of a second; until then it
// assumes 60 tokens per millisecond for engines that reach 38.7 and estimates each wait at two
// thirds of its real length.
func TestNewRouterLearnsSpeedFromPeers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, e := range engines {
		fleet := newPicker(9)
		observeFirstTokens(rng, 400, e.rate, e.base, func(x, y float64) { fleet.recordFirstToken("llm", x, y, at(0)) })
		newRouter := newPicker(9)
		reported := fleet.TakeFirstTokens()
		assert.Equal(t, reported["llm"].N, 400.0)
		newRouter.MergeFirstTokens(map[string]FirstTokenSums{"llm": reported["llm"].scaled(0.5)}, at(50))
		newRouter.MergeFirstTokens(map[string]FirstTokenSums{"llm": reported["llm"].scaled(0.5)}, at(100))
		rate, base := newRouter.speedOf("llm").firstToken.fit()
		for _, x := range []float64{0, 1000, 4000, 8000} {
			measured, expected := e.base+x/e.rate, base+x/rate
			assert.Assert(t, expected > 0.8*measured-4 && expected < 1.2*measured+4, "%v: after %g tokens %.1f ms, expected %.1f", e, x, measured, expected)
		}
		assert.Equal(t, len(fleet.TakeFirstTokens()), 0, "each observation is reported once")
	}
}

// The first tokens that the whole fleet sees in a tenth of a second, about 220, must not displace
// those of the second before.
func TestBurstOfFirstTokensKeepsHistory(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := newFirstTokenFit()
	for i := range 10 {
		var f FirstTokenSums
		observeFirstTokens(rng, 220, 38.7, 12, func(x, y float64) { f.add(x, y, 1) })
		l.merge(f, at(100*i))
	}
	assert.Assert(t, l.sums.N > 1000, "%g", l.sums.N)
}
