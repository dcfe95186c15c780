// Package budget bounds how often a router sends a request to a second server.
// The fleet has one budget for each service: a part of its requests and a
// fixed slack in each window. Each router spends an even share of it without
// asking anyone, so that the bound holds with no answer from anyone and after
// every restart. The bucket is that of Marc Brooker's talk
// (PAPER-marc-brooker-talk-lessons-27e8.md).
package budget

// use is the part of the fleet's budget that routers spend: the window of the
// requests that count and that of the retries need not agree.
const use = 0.7

// startShare is the part of a full bucket that a router begins with. Routers
// that were restarted within one window begin anew, so it is small.
const startShare = 0.25

// Bucket is the budget of one service at one router. It is not safe for
// concurrent use.
type Bucket struct {
	tokens float64
	ratio  float64
	size   float64
}

// New returns the share of one of n routers in a budget of ratio x requests +
// slack in a window.
func New(ratio, slack float64, n int) *Bucket {
	size := max(slack*use/float64(max(n, 1)), 1)
	return &Bucket{ratio: ratio * use, size: size, tokens: max(size*startShare, 1)}
}

// Resize changes the number of routers that share the budget.
func (b *Bucket) Resize(slack float64, n int) {
	b.size = max(slack*use/float64(max(n, 1)), 1)
	b.tokens = min(b.tokens, b.size)
}

// Request counts a request of a caller.
func (b *Bucket) Request() { b.tokens = min(b.size, b.tokens+b.ratio) }

// Take reports whether a request may be sent once more, and takes it off.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns what is left.
func (b *Bucket) Tokens() float64 { return b.tokens }
