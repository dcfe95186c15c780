package fleet

import "fmt"

// Error is a failure of the scaffolding or of what it watches.
type Error struct {
	What string
	Err  error // the cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.What
	}
	return e.What + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// fail returns an *Error with the cause err, which may be nil.
func fail(err error, format string, args ...any) error {
	return &Error{What: fmt.Sprintf(format, args...), Err: err}
}
