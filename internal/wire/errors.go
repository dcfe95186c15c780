package wire

import (
	"errors"
	"fmt"
)

// Kind classes the failures of this package.
type Kind string

// The kinds of failure; the texts are for people.
const (
	KindTooLarge  Kind = "too large"       // longer than the reader's limit; nothing was decoded
	KindMalformed Kind = "malformed"       // not CBOR, beyond a limit, or not of the asked type
	KindVersion   Kind = "unknown version" // an envelope of a version that this program does not speak
	KindEncode    Kind = "not encodable"   // a value that has no CBOR form
)

// Error is a failure to encode or decode a message.
type Error struct {
	Kind Kind
	Size int   // bytes of the input, when decoding
	Err  error // the cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("wire: %s (%d bytes)", e.Kind, e.Size)
	}
	return fmt.Sprintf("wire: %s (%d bytes): %v", e.Kind, e.Size, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of err, or "" when it is not an error of this
// package.
func KindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return ""
}
