package pick

import (
	"math"
	"time"
)

// What an engine is, is learnt from its first tokens: how fast it reads prompts and what passes
// before a first token beside that. Engines in use differ by more than three times in both, and
// every limit and price of a choice is in milliseconds.

const (
	// firstTokensPerMs is how fast an engine counts as reading before the first
	// token of it is seen, tokens a millisecond: the geometric middle of the
	// engines in use.
	firstTokensPerMs = 60.0
	// firstBaseMs is what counts as passing before a first token beside reading.
	firstBaseMs = 25.0
	// firstWeight is for how many observations what is believed at first stands,
	// and firstTokens how many tokens these had ahead of them.
	firstWeight = 4.0
	firstTokens = 4000.0
	// forget is the part of what is known that goes with each first token, but what
	// all routers see together is not forgotten faster than within memory: a router
	// of a small fleet sees some 50 first tokens a second, 295 routers 2,200, and the
	// speed of an engine changes with what else it runs, within some seconds.
	forget = 0.01
	memory = time.Second
	// leastTokensPerMs and mostTokensPerMs bound what is learnt.
	leastTokensPerMs = 2.0
	mostTokensPerMs  = 2000.0
	// outlier is how many times the expected time an observation counts at most: a
	// server that stood still says nothing of the speed of reading.
	outlier = 4.0
)

// FirstTokens are sums over first tokens: what had to be read before each (x,
// tokens) and the time that it took (y, ms).
type FirstTokens struct {
	N, X, Y, XX, XY float64
}

// add adds one first token of weight w.
func (f *FirstTokens) add(x, y, w float64) {
	f.N += w
	f.X += w * x
	f.Y += w * y
	f.XX += w * x * x
	f.XY += w * x * y
}

// Plus returns the sums of both.
func (f FirstTokens) Plus(o FirstTokens) FirstTokens {
	return FirstTokens{N: f.N + o.N, X: f.X + o.X, Y: f.Y + o.Y, XX: f.XX + o.XX, XY: f.XY + o.XY}
}

// scaled returns the sums, each times k.
func (f FirstTokens) scaled(k float64) FirstTokens {
	return FirstTokens{N: f.N * k, X: f.X * k, Y: f.Y * k, XX: f.XX * k, XY: f.XY * k}
}

// line is the least-squares line through the first tokens seen lately, by this router
// and, as far as they report them, by the others. Old ones fade.
type line struct {
	sums FirstTokens
	at   time.Time // when some were taken in last
}

// newLine returns the line that is believed before anything is seen.
func newLine() line {
	var l line
	w := firstWeight / 2
	l.sums.add(0, firstBaseMs, w)
	l.sums.add(firstTokens, firstBaseMs+firstTokens/firstTokensPerMs, w)
	return l
}

// bounded is the time that a first token counts as having taken, of y ms after x
// tokens.
func (l *line) bounded(x, y float64) float64 {
	rate, base := l.fit()
	return min(y, outlier*(base+x/rate))
}

// take takes in first tokens.
func (l *line) take(f FirstTokens, now time.Time) {
	keep := math.Pow(1-forget, f.N)
	if !l.at.IsZero() {
		keep = max(keep, math.Exp(-float64(now.Sub(l.at))/float64(memory)))
	}
	l.at = now
	l.sums = l.sums.scaled(keep).Plus(f)
}

// fit returns the speed of reading, tokens a millisecond, and what passes before
// a first token beside it, in milliseconds.
func (l *line) fit() (rate, base float64) {
	s := l.sums
	spread := s.XX - s.X*s.X/s.N
	rate = mostTokensPerMs
	if slope := (s.XY - s.X*s.Y/s.N) / max(spread, 1); slope > 0 {
		rate = 1 / slope
	}
	rate = min(max(rate, leastTokensPerMs), mostTokensPerMs)
	base = max((s.Y-s.X/rate)/s.N, 0)
	return rate, base
}

// seeFirst takes in a first token of the service, and keeps it for the other routers.
func (p *Picker) seeFirst(service string, ahead, tookMs float64, now time.Time) {
	line := &p.rate(service).first
	var one FirstTokens
	one.add(ahead, line.bounded(ahead, tookMs), 1)
	line.take(one, now)
	p.firsts[service] = p.firsts[service].Plus(one)
}

// TakeFirsts returns the first tokens seen since it was called last, by service, once:
// what the other routers are to know. In a fleet of 295 routers each sees six a second,
// and one that starts would need 15 s to learn what its engines are.
func (p *Picker) TakeFirsts() map[string]FirstTokens {
	firsts := p.firsts
	p.firsts = map[string]FirstTokens{}
	return firsts
}

// HeardFirsts takes in the first tokens that other routers saw.
func (p *Picker) HeardFirsts(firsts map[string]FirstTokens, now time.Time) {
	for service, f := range firsts {
		if f.N > 0 && len(p.services[service]) > 0 {
			p.rate(service).first.take(f, now)
		}
	}
}
