package platform

import (
	"errors"
	"fmt"
)

// Kind classes the failures of the platform's services.
type Kind string

// The kinds of failure; the texts are for people.
const (
	KindUnavailable Kind = "unavailable"      // the service did not take the call: nothing happened
	KindConflict    Kind = "conflict"         // a condition failed: nothing happened
	KindAbsent      Kind = "absent"           // no such object
	KindUnknown     Kind = "outcome unknown"  // the call may have taken effect
	KindMalformed   Kind = "malformed answer" // the service answered what its protocol does not allow
)

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

// KindOf returns the kind of err, or "" when it is not a platform error.
func KindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return ""
}
