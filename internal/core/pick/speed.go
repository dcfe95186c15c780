package pick

// What an engine is, is learnt from its first tokens: how fast it reads prompts
// and what passes before a first token beside that. Both differ by more than
// three times between engines in use (32 to 112 tokens a millisecond, 10 to 50
// ms), so that no figure of either is right for all; every limit and price of a
// choice is in milliseconds, and means as much as they do.

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
	// forget is the part of what is known that goes with each observation: a
	// router sees some 50 first tokens a second, and the speed of an engine
	// changes with what else it runs, within some seconds.
	forget = 0.01
	// leastTokensPerMs and mostTokensPerMs bound what is learnt.
	leastTokensPerMs = 2.0
	mostTokensPerMs  = 2000.0
	// outlier is how many times the expected time an observation counts at most: a
	// server that stood still says nothing of the speed of reading.
	outlier = 4.0
)

// line is the least-squares line through the first tokens seen lately: what has
// been read before them against the time that they took. Old ones fade.
type line struct {
	n, x, y, xx, xy float64 // sums of weights, tokens, ms and their products
}

// newLine returns the line that is believed before anything is seen.
func newLine() line {
	var l line
	w := firstWeight / 2
	l.add(0, firstBaseMs, w)
	l.add(firstTokens, firstBaseMs+firstTokens/firstTokensPerMs, w)
	return l
}

func (l *line) add(x, y, w float64) {
	l.n += w
	l.x += w * x
	l.y += w * y
	l.xx += w * x * x
	l.xy += w * x * y
}

// see takes in that a first token came after y ms, with x tokens to be read.
func (l *line) see(x, y float64) {
	rate, base := l.fit()
	y = min(y, outlier*(base+x/rate))
	keep := 1 - forget
	l.n *= keep
	l.x *= keep
	l.y *= keep
	l.xx *= keep
	l.xy *= keep
	l.add(x, y, 1)
}

// fit returns the speed of reading, tokens a millisecond, and what passes before
// a first token beside it, in milliseconds.
func (l *line) fit() (rate, base float64) {
	spread := l.xx - l.x*l.x/l.n
	rate = mostTokensPerMs
	if slope := (l.xy - l.x*l.y/l.n) / max(spread, 1); slope > 0 {
		rate = 1 / slope
	}
	rate = min(max(rate, leastTokensPerMs), mostTokensPerMs)
	base = max((l.y-l.x/rate)/l.n, 0)
	return rate, base
}
