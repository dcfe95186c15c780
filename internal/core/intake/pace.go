package intake

import "time"

const (
	// MaxArrival bounds how long a message may arrive before it is complete. Heads and events lie in a
	// few packets, of which a lossy link delays each by less than a second.
	MaxArrival = 5 * time.Second
	// maxPause is the longest pause between two reads that counts towards MaxArrival. Longer silence
	// has limits of its own, and may be that of a host that was suspended.
	maxPause = 500 * time.Millisecond
)

// Pace measures how long a message has been arriving. Its zero value is ready to use.
type Pace struct {
	last    time.Time // of the latest read; zero: none yet
	arrived time.Duration
}

// Read notes that bytes were read at now and the message is still incomplete. The error is a
// *LimitError.
func (p *Pace) Read(now time.Time) error {
	if !p.last.IsZero() {
		p.arrived += min(max(now.Sub(p.last), 0), maxPause)
	}
	p.last = now
	if p.arrived > MaxArrival {
		return &LimitError{Bound: BoundArrival, Limit: MaxArrival.Milliseconds()}
	}
	return nil
}
