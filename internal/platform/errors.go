package platform

import (
	"errors"
	"fmt"
)

// Kind classes the failures of the platform's services.
type Kind int

// The kinds of failure.
const (
	KindUnavailable Kind = iota + 1 // the service did not take the call: nothing happened
	KindConflict                    // a condition failed: nothing happened
	KindAbsent                      // no such object
	KindUnknown                     // the call may have taken effect
	KindMalformed                   // the service answered what its protocol does not allow
)

var kindNames = map[Kind]string{
	KindUnavailable: "unavailable",
	KindConflict:    "conflict",
	KindAbsent:      "absent",
	KindUnknown:     "outcome unknown",
	KindMalformed:   "malformed answer",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Error is a failure of one call to the platform.
type Error struct {
	Kind Kind
	Op   string // such as "table.commit"
	Err  error  // the cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of err, or 0 when it is not a platform error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
