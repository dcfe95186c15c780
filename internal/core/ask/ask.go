// Package ask is the asking router's side of scheduling: the IDs of its asks, when it stops asking a
// scheduler that doesn't answer, and how an ask ended. It does no I/O; time is passed in.
package ask

import "time"

// Reason states why an ask brought no decision.
type Reason int

// The reasons. Decided means that it brought one.
const (
	NotAsked Reason = iota // there was no ask
	Decided
	NoScheduler  // this router has none: small fleet, cut off, or switched off
	Paused       // the scheduler left asks unanswered lately
	NoAnswer     // no answer in time
	Silent       // the ask was queued, and the scheduler has fallen silent
	Declined     // the router that was asked doesn't schedule
	NoServer     // the scheduler knows no server that may be used
	TargetPassed // the request can't meet its target any more
	CallerLeft   // the caller disconnected, or its deadline passed
	reasonCount
)

var reasonNames = [reasonCount]string{
	"not asked", "decided", "no scheduler", "paused", "no answer", "silent", "declined", "no server there", "target passed", "caller left",
}

// String returns the reason's name, for logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// blamesScheduler reports whether asks that end like this are better not sent.
func (r Reason) blamesScheduler() bool { return r == NoAnswer || r == Silent || r == Declined }

// Outcome is how an ask ended.
type Outcome struct {
	Scheduler string // control address of the router that was asked; empty: none
	Reason    Reason
	Waited    time.Duration
}
