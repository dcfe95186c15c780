// Package liveness decides whether a backend server outlived the end of its response. A response
// without a length or chunks ends with its connection, and so does one whose server crashes: only what
// the server does afterwards tells the two apart.
package liveness

import "time"

// Verdict is whether a server still ran when its response ended.
type Verdict int

// The verdicts. A response is complete only if its server was Alive.
const (
	Unknown Verdict = iota
	Alive
	Gone
)

var verdictNames = map[Verdict]string{Unknown: "unknown", Alive: "alive", Gone: "gone"}

// String returns the name of the verdict, which appears in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Observation is the result of one probe of a server after its response ended.
type Observation int

// The observations.
const (
	Accepted  Observation = iota + 1 // a new connection was accepted and stayed open
	Rejected                         // a new connection was accepted and closed at once
	Refused                          // nothing listens at the server's address
	NoReply                          // no connection could be attempted, or the attempt timed out
	Connected                        // a connection from before the response's end is still open
)

const (
	// MinRejections and MinRejectedFor are how many probes a server rejects, and for how long, until it
	// counts as running. The sockets of a process that crashes are closed one by one, so that its
	// listener may accept a connection after the response has ended.
	MinRejections  = 3
	MinRejectedFor = 30 * time.Millisecond
	// firstPause is the pause after the first undecided probe. It doubles up to maxPause.
	firstPause = 10 * time.Millisecond
	maxPause   = 80 * time.Millisecond
)

// Check is the check of one server after one response. Its zero value is ready for use.
type Check struct {
	// Late means that so much time has passed since the response ended that another process may have the
	// server's address. Only a connection from before then proves that the server runs.
	Late bool

	undecidable   bool
	rejections    int
	firstRejected time.Duration
	pause         time.Duration
}

// Observe adds an observation that was made at the time since the response's end, and returns the
// verdict so far.
func (c *Check) Observe(o Observation, at time.Duration) Verdict {
	switch o {
	case Connected:
		return Alive
	case Refused:
		return Gone
	case Accepted, Rejected:
		if c.Late {
			c.undecidable = true
			return Unknown
		}
		if o == Accepted {
			return Alive
		}
		return c.observeRejection(at)
	case NoReply:
	}
	return Unknown
}

// observeRejection handles a connection that the server closed at once, as a server does that has all
// the connections that it allows.
func (c *Check) observeRejection(at time.Duration) Verdict {
	if c.rejections == 0 {
		c.firstRejected = at
	}
	c.rejections++
	if c.rejections >= MinRejections && at-c.firstRejected >= MinRejectedFor {
		return Alive
	}
	return Unknown
}

// Undecidable reports whether further probes can't lead to a verdict.
func (c *Check) Undecidable() bool { return c.undecidable }

// Pause returns the time until the next probe. There is none after the first rejection: a server that
// crashes refuses connections then, but may have been started again some milliseconds later.
func (c *Check) Pause() time.Duration {
	if c.rejections == 1 {
		return 0
	}
	c.pause = min(max(2*c.pause, firstPause), maxPause)
	return c.pause
}
