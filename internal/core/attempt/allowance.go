package attempt

import "time"

// The retry allowance is the token bucket of Marc Brooker's talk
// (PAPER-marc-brooker-talk-lessons-27e8.md): a retry takes a whole token, and a success adds a small
// fraction of one. In the steady state retries increase the load by at most that percentage, however
// many requests fail.
const (
	allowanceCap   = 10.0 // tokens, and thus the largest burst of retries after a period without any
	allowanceStart = 3.0  // initial tokens of a router that has seen no success yet
	retryCost      = 1.0
	percent        = 100.0
)

// Allowance is the retry allowance of one pool at one router. It is not safe for concurrent use.
type Allowance struct {
	tokens float64
}

// NewAllowance returns an allowance with the small initial balance of a router that has just
// started.
func NewAllowance() *Allowance { return &Allowance{tokens: allowanceStart} }

// Succeeded adds retryPercent/100 of a token for a successful request.
func (a *Allowance) Succeeded(retryPercent float64) {
	if retryPercent <= 0 {
		return
	}
	a.tokens = min(allowanceCap, a.tokens+retryPercent/percent)
}

// Take takes a token for a retry and reports whether one was available.
func (a *Allowance) Take() bool {
	if a.tokens < retryCost {
		return false
	}
	a.tokens -= retryCost
	return true
}

// Tokens returns the number of tokens left, for the metrics.
func (a *Allowance) Tokens() float64 { return a.tokens }

// The bound of the delay before a retry is backoffBase, doubled with each attempt, up to backoffCap.
const (
	backoffBase = 10 * time.Millisecond
	backoffCap  = 500 * time.Millisecond
	// maxDoublings limits the shift: backoffBase << maxDoublings exceeds backoffCap.
	maxDoublings = 6
)

// Backoff returns the delay before the retry that follows attempt number n (from 1), with full
// jitter below an exponential bound, as the talk recommends to avoid synchronised clients. u is
// uniform in [0,1).
func Backoff(n int, u float64) time.Duration {
	bound := min(backoffCap, backoffBase<<min(n-1, maxDoublings))
	return time.Duration(u * float64(bound))
}
