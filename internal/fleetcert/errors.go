package fleetcert

import (
	"errors"
	"fmt"
)

// Kind classes the failures of this package.
type Kind int

// The kinds of failure.
const (
	KindName     Kind = iota + 1 // a name that no certificate may carry
	KindGenerate                 // a key or certificate could not be made
	KindFile                     // a file could not be read or written
	KindPEM                      // a file does not hold what it should
	KindIdentity                 // a certificate without exactly one fleet identity
	KindRole                     // an identity of another role than asked for
	KindChain                    // a certificate that the fleet's CA did not issue for this use
	KindPeer                     // a valid router, but not the expected one
	KindExpired                  // a certificate that is not valid now
)

var kindNames = map[Kind]string{
	KindName:     "name not allowed",
	KindGenerate: "certificate not made",
	KindFile:     "file",
	KindPEM:      "malformed PEM",
	KindIdentity: "no single fleet identity",
	KindRole:     "wrong role",
	KindChain:    "not issued by the fleet's CA for this use",
	KindPeer:     "another router than expected",
	KindExpired:  "not valid at this time",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

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

// KindOf returns the kind of err, or 0 when it is not an error of this
// package.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
