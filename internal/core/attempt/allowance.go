package attempt

import "time"

// The retry allowance is the token bucket of Marc Brooker's talk
// (PAPER-marc-brooker-talk-lessons-27e8.md): a retry takes a whole token, a
// success puts back a small part of one. In the steady state retries add at
// most the percentage to the load, however many requests fail.
const (
	allowanceCap   = 10.0 // tokens, so also the burst of retries after a quiet time
	allowanceStart = 3.0  // tokens of a router that has seen no success yet
	retryCost      = 1.0
	percent        = 100.0
)

// Allowance is the retry allowance of one pool at one router. It is not safe
// for concurrent use.
type Allowance struct {
	tokens float64
}

// NewAllowance returns an allowance with the small start that a router without
// memory has.
func NewAllowance() *Allowance { return &Allowance{tokens: allowanceStart} }

// Succeeded puts back retryPercent/100 of a token.
func (a *Allowance) Succeeded(retryPercent float64) {
	if retryPercent <= 0 {
		return
	}
	a.tokens = min(allowanceCap, a.tokens+retryPercent/percent)
}

// Take reports whether a retry is allowed, and takes its token.
func (a *Allowance) Take() bool {
	if a.tokens < retryCost {
		return false
	}
	a.tokens -= retryCost
	return true
}

// Tokens returns what is left, for the metrics.
func (a *Allowance) Tokens() float64 { return a.tokens }

// The bounds of the wait before a retry: the base is doubled with each attempt,
// up to the cap.
const (
	backoffBase = 10 * time.Millisecond
	backoffCap  = 500 * time.Millisecond
	// maxDoublings is the most that are needed: base << maxDoublings is above
	// the cap.
	maxDoublings = 6
)

// Backoff returns how long to wait before the retry that follows attempt
// number n (from 1): full jitter over an exponential bound, as the talk
// advises against synchronised clients. u is uniform in [0,1).
func Backoff(n int, u float64) time.Duration {
	bound := min(backoffCap, backoffBase<<min(n-1, maxDoublings))
	return time.Duration(u * float64(bound))
}
