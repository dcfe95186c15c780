// Package intake bounds what a router takes from another process: how long a message may get before it
// is complete, and for how long it may arrive.
package intake

import "fmt"

// Bound names a limit on what another process sends.
type Bound string

// The bounds.
const (
	BoundHead          Bound = "bytes of a response's heads"
	BoundHeaderLines   Bound = "header lines of a response"
	BoundInformational Bound = "informational responses"
	BoundArrival       Bound = "milliseconds of a message's arrival"
	BoundEvent         Bound = "bytes of an event"
	BoundBody          Bound = "bytes of a body"
)

// LimitError means that another process went past a bound. What it sent is incomplete.
type LimitError struct {
	Bound Bound
	Limit int64
}

// Error implements error.
func (e *LimitError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.Bound) }
