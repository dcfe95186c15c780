package fleetcert

import (
	"errors"
	"fmt"
)

// Kind classes the failures of this package.
type Kind string

// The kinds of failure; the texts are for people.
const (
	KindName     Kind = "name not allowed"                          // a name that no certificate may carry
	KindGenerate Kind = "certificate not made"                      // a key or certificate could not be made
	KindFile     Kind = "file"                                      // a file could not be read or written
	KindPEM      Kind = "malformed PEM"                             // a file does not hold what it should
	KindIdentity Kind = "no single fleet identity"                  // a certificate without exactly one fleet identity
	KindRole     Kind = "wrong role"                                // an identity of another role than asked for
	KindChain    Kind = "not issued by the fleet's CA for this use" // a certificate that the fleet's CA did not issue for this use
	KindPeer     Kind = "another router than expected"              // a valid router, but not the expected one
	KindExpired  Kind = "not valid at this time"                    // a certificate that is not valid now
)

// Error is a failure to make, read or accept a certificate.
type Error struct {
	Kind    Kind
	Subject string // the file, name or identity concerned
	Err     error  // the cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("fleet certificate: %s: %s", e.Kind, e.Subject)
	}
	return fmt.Sprintf("fleet certificate: %s: %s: %v", e.Kind, e.Subject, e.Err)
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
