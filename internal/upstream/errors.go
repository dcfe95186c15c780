package upstream

import "fmt"

// Stage is how far an exchange got before it failed.
type Stage int

// The stages of an exchange.
const (
	StageDial   Stage = iota + 1 // no connection: no byte has left
	StageSend                    // while the request was written or its answer awaited
	StageAnswer                  // what came is no answer to this request
	StageBody                    // within the answer
)

var stageNames = map[Stage]string{
	StageDial: "dial", StageSend: "send", StageAnswer: "answer", StageBody: "body",
}

// String returns the stage's name.
func (s Stage) String() string { return stageNames[s] }

// Error is why an exchange failed. Unless Sent is false, the request may have
// run.
type Error struct {
	Stage Stage
	Sent  bool // a byte of the request may have left
	Kept  bool // on a connection that had been used before
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s: %v", e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Fault is a cause that has no further detail.
type Fault string

// Error implements error.
func (f Fault) Error() string { return string(f) }

// The faults of an exchange.
const (
	ErrForeign   Fault = "answer of another request"
	ErrUpgrade   Fault = "server switched to another protocol unasked"
	ErrCancelled Fault = "the exchange was cancelled"
	ErrLeft      Fault = "the server takes no new requests any more"
	ErrFull      Fault = "the server's connections are all in use"
	ErrTooLarge  Fault = "the event is too large"
)
