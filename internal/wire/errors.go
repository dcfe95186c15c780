package wire

import (
	"errors"
	"fmt"
)

// Kind classes the failures of this package.
type Kind int

// The kinds of failure.
const (
	KindTooLarge  Kind = iota + 1 // longer than the reader's limit; nothing was decoded
	KindMalformed                 // not CBOR, beyond a limit, or not of the asked type
	KindVersion                   // an envelope of a version that this program does not speak
	KindEncode                    // a value that has no CBOR form
)

var kindNames = map[Kind]string{
	KindTooLarge:  "too large",
	KindMalformed: "malformed",
	KindVersion:   "unknown version",
	KindEncode:    "not encodable",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

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

// KindOf returns the kind of err, or 0 when it is not an error of this
// package.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
