package pick

import (
	"math"
	"time"
)

// The speed of an engine is learnt from the time to the first token, as the sum of a fixed delay
// and a time proportional to the prompt tokens processed. Engines in use differ by a factor of
// more than three in both, and all limits and costs of a choice are in milliseconds.

const (
	// initialTokensPerMs is the assumed processing speed before the first observation, in tokens
	// per millisecond: the geometric mean of the range of engines in use.
	initialTokensPerMs = 60.0
	// initialBaseMs is the assumed fixed delay before a first token.
	initialBaseMs = 25.0
	// initialWeight is how many observations the initial assumption counts for. Half of them have
	// no tokens to process, the other half initialTokens.
	initialWeight = 4.0
	initialTokens = 4000.0
	// decayPerObservation is the fraction of their weight that older observations lose with each
	// first token, but they decay no faster than with the time constant minDecayTime. A router of a
	// small fleet sees about 50 first tokens a second and 295 routers see 2,200, while the speed of
	// an engine changes with its other load within a few seconds.
	decayPerObservation = 0.01
	minDecayTime        = time.Second
	// maxBaseMs bounds the fixed delay before a first token that a scheduler believes in: twice the
	// initial assumption.
	maxBaseMs = 2 * initialBaseMs
	// minTokensPerMs and maxTokensPerMs bound the learnt speed.
	minTokensPerMs = 2.0
	maxTokensPerMs = 2000.0
	// maxOutlierFactor caps an observation at this multiple of the expected time, since a server
	// that stalled says nothing about the processing speed.
	maxOutlierFactor = 4.0
)

// FirstTokenSums are the sums of a linear regression over first tokens: x is the number of tokens
// that had to be processed before each, y the time it took in ms.
type FirstTokenSums struct {
	N, X, Y, XX, XY float64
}

// add adds an observation with weight w.
func (f *FirstTokenSums) add(x, y, w float64) {
	f.N += w
	f.X += w * x
	f.Y += w * y
	f.XX += w * x * x
	f.XY += w * x * y
}

// Plus returns the sum of f and o.
func (f FirstTokenSums) Plus(o FirstTokenSums) FirstTokenSums {
	return FirstTokenSums{N: f.N + o.N, X: f.X + o.X, Y: f.Y + o.Y, XX: f.XX + o.XX, XY: f.XY + o.XY}
}

// scaled returns the sums multiplied by k.
func (f FirstTokenSums) scaled(k float64) FirstTokenSums {
	return FirstTokenSums{N: f.N * k, X: f.X * k, Y: f.Y * k, XX: f.XX * k, XY: f.XY * k}
}

// firstTokenFit is a least-squares fit of the recent first tokens of this router and of those that
// other routers report. Older observations decay.
type firstTokenFit struct {
	sums      FirstTokenSums
	updatedAt time.Time // when observations were last merged
}

// newFirstTokenFit returns the fit that is assumed before the first observation.
func newFirstTokenFit() firstTokenFit {
	return firstTokenFit{sums: assumedSums(initialTokensPerMs, initialBaseMs)}
}

// assumedSums returns observations of the weight of the initial assumption that fit the line.
func assumedSums(rate, base float64) (sums FirstTokenSums) {
	sums.add(0, base, initialWeight/2)
	sums.add(initialTokens, base+initialTokens/rate, initialWeight/2)
	return sums
}

// restart replaces the observations by the assumption of their bounded fit.
func (l *firstTokenFit) restart() { l.sums = assumedSums(l.boundedFit()) }

// clampOutlier limits the time y of a first token after x tokens to maxOutlierFactor times the
// expected time.
func (l *firstTokenFit) clampOutlier(x, y float64) float64 {
	rate, base := l.fit()
	return min(y, maxOutlierFactor*(base+x/rate))
}

// merge adds observations and decays the older ones.
func (l *firstTokenFit) merge(f FirstTokenSums, now time.Time) {
	retained := math.Pow(1-decayPerObservation, f.N)
	if !l.updatedAt.IsZero() {
		retained = max(retained, math.Exp(-float64(now.Sub(l.updatedAt))/float64(minDecayTime)))
	}
	l.updatedAt = now
	l.sums = l.sums.scaled(retained).Plus(f)
}

// fit returns the processing speed in tokens per millisecond, and the fixed delay before a first
// token in milliseconds.
func (l *firstTokenFit) fit() (rate, base float64) {
	s := l.sums
	spread := s.XX - s.X*s.X/s.N
	rate = maxTokensPerMs
	if slope := (s.XY - s.X*s.Y/s.N) / max(spread, 1); slope > 0 {
		rate = 1 / slope
	}
	rate = min(max(rate, minTokensPerMs), maxTokensPerMs)
	base = max((s.Y-s.X/rate)/s.N, 0)
	return rate, base
}

// boundedFit is fit with the fixed delay limited to maxBaseMs, through the mean of the observations.
// A scheduler keeps all queues about equally long, so that the tokens ahead of a request vary little
// beside the error with which they are known. A free fit then takes the queueing for a fixed delay,
// the speed for unlimited, and sends to engines whatever waits there.
func (l *firstTokenFit) boundedFit() (rate, base float64) {
	_, base = l.fit()
	base = min(base, maxBaseMs)
	rate = maxTokensPerMs
	if processing := l.sums.Y - base*l.sums.N; processing > 0 {
		rate = l.sums.X / processing
	}
	return min(max(rate, minTokensPerMs), maxTokensPerMs), base
}

// recordFirstToken records a first token of the service, and queues it for the other routers.
func (p *Picker) recordFirstToken(service string, tokensAhead, tookMs float64, now time.Time) {
	fit := &p.speedOf(service).firstToken
	var one FirstTokenSums
	one.add(tokensAhead, fit.clampOutlier(tokensAhead, tookMs), 1)
	fit.merge(one, now)
	p.pendingFirstTokens[service] = p.pendingFirstTokens[service].Plus(one)
}

// TakeFirstTokens returns the first tokens observed since the last call, by service, to be sent to
// the other routers. In a fleet of 295 routers each sees six a second, so that a router that has
// just started would need 15 s to learn the speed of its engines from its own observations.
func (p *Picker) TakeFirstTokens() map[string]FirstTokenSums {
	firstTokens := p.pendingFirstTokens
	p.pendingFirstTokens = map[string]FirstTokenSums{}
	return firstTokens
}

// MergeFirstTokens adds the first tokens that other routers observed.
func (p *Picker) MergeFirstTokens(firstTokens map[string]FirstTokenSums, now time.Time) {
	for service, f := range firstTokens {
		if f.N > 0 && len(p.services[service]) > 0 {
			p.speedOf(service).firstToken.merge(f, now)
		}
	}
}
