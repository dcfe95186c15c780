package router

import "strconv"

// UnknownKindError refuses a conversation of a kind that this release does not
// know.
type UnknownKindError struct {
	Kind uint8
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return "conversation of unknown kind " + strconv.Itoa(int(e.Kind))
}

// CutError says that a drain did not wait for every request.
type CutError struct {
	Requests uint64
	Err      error // why: the drain limit, or a second signal
}

// Error implements error.
func (e *CutError) Error() string {
	return "drain: " + strconv.FormatUint(e.Requests, 10) + " requests cut: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// NoPeerError says that no peer gave its settings.
type NoPeerError struct {
	Asked int // peers that were asked
}

// Error implements error.
func (e *NoPeerError) Error() string {
	return "none of " + strconv.Itoa(e.Asked) + " peers has given its settings"
}
