package backend

import (
	"fmt"
	"time"

	"github.com/windscale/windscale/internal/core/attempt"
)

// Stage is how far an attempt got before it failed.
type Stage int

// The stages of an attempt.
const (
	StageDial   Stage = iota + 1 // before a connection was had
	StageSend                    // while the request was written or its answer awaited
	StageStatus                  // the status line refused the request
	StageHeader                  // the answer's header is not the request's own
	StageBody                    // within the answer
)

var stageNames = map[Stage]string{
	StageDial: "dial", StageSend: "send", StageStatus: "status",
	StageHeader: "header", StageBody: "body",
}

// String returns the stage's name.
func (s Stage) String() string { return stageNames[s] }

// Error is why an attempt failed, with what is known of it.
type Error struct {
	Stage      Stage
	Outcome    attempt.Outcome
	Leaving    bool          // the server said it is leaving, or can't be dialled
	Busy       bool          // it refused for overload
	Foreign    bool          // the answer names another request or attempt
	RetryAfter time.Duration // what a refusing server said; 0: nothing
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("backend %s: %s: %v", e.Stage, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Fault is a cause that has no further detail.
type Fault string

// Error implements error.
func (f Fault) Error() string { return string(f) }

// The faults of an exchange with a backend server.
const (
	errSealed       Fault = "attempt is over"
	errReplayed     Fault = "connection was replaced after a byte had left"
	ErrStatus       Fault = "refused by status"
	ErrServerFailed Fault = "server failed by status"
	ErrFence        Fault = "refused for an old fencing number"
	ErrForeign      Fault = "answer of another request"
	ErrUpgrade      Fault = "server switched to another protocol unasked"
	ErrUnframed     Fault = "answer has neither length nor chunks"
	ErrTooLarge     Fault = "answer is too large"
	ErrLine         Fault = "malformed or oversized line in event stream"
	ErrEvent        Fault = "malformed event in event stream"
	ErrNotClosed    Fault = "event stream ended without its closing event"
	ErrContentType  Fault = "answer is not an event stream"
	ErrNotWhole     Fault = "answer lacks its finish reason or usage"
	ErrStreamAbsent Fault = "server no longer has the stream"
)
