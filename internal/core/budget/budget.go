// Package budget limits how often a router sends a request to a second server. The fleet has one
// budget per service: a ratio of its requests plus a fixed slack, in each window. Each router spends
// an even share of it without coordination, so that the limit holds while other routers are
// unreachable and after every restart. The token bucket follows Marc Brooker's talk
// (PAPER-marc-brooker-talk-lessons-27e8.md).
package budget

// usableShare is the part of the fleet's budget that routers spend: the windows in which requests
// and retries are counted need not coincide.
const usableShare = 0.7

// initialFill is the part of a full bucket that a router starts with. It is small because routers
// that restart within one window start with a new bucket.
const initialFill = 0.25

// Bucket is one router's share of the budget of a service. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	ratio  float64
	size   float64
}

// New returns the share of one of n routers in a budget of ratio x requests + slack per window.
func New(ratio, slack float64, n int) *Bucket {
	size := max(slack*usableShare/float64(max(n, 1)), 1)
	return &Bucket{ratio: ratio * usableShare, size: size, tokens: max(size*initialFill, 1)}
}

// Resize adjusts the bucket to a new slack and number of routers.
func (b *Bucket) Resize(slack float64, n int) {
	b.size = max(slack*usableShare/float64(max(n, 1)), 1)
	b.tokens = min(b.tokens, b.size)
}

// RecordRequest adds the tokens earned by one request of a caller.
func (b *Bucket) RecordRequest() { b.tokens = min(b.size, b.tokens+b.ratio) }

// Take takes a token for sending a request again and reports whether one was available.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens left.
func (b *Bucket) Tokens() float64 { return b.tokens }
