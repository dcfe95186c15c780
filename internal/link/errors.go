package link

import (
	"errors"
	"fmt"

	"github.com/windscale/windscale/internal/core/msg"
)

// Kind classes the failures of this package.
type Kind int

// The kinds of failure.
const (
	KindListen     Kind = iota + 1 // the socket could not be opened
	KindConfig                     // the credentials are not those of the configured router
	KindNoAddr                     // no address is known for the peer
	KindDial                       // the peer could not be reached or proved another identity
	KindBlocked                    // the link to the peer is cut by the admin fault
	KindClosed                     // this link has stopped
	KindTimeout                    // the caller's context ended first
	KindBroken                     // the connection ended within the conversation
	KindRefused                    // the peer did not answer the conversation
	KindTooLarge                   // a message beyond the limit
	KindUnresolved                 // an address that is not IP:port
)

var kindNames = map[Kind]string{
	KindListen:     "cannot listen",
	KindConfig:     "credentials of another router",
	KindNoAddr:     "no address known",
	KindDial:       "cannot dial",
	KindBlocked:    "blocked",
	KindClosed:     "stopped",
	KindTimeout:    "timeout",
	KindBroken:     "connection broken",
	KindRefused:    "refused by the peer",
	KindTooLarge:   "message too large",
	KindUnresolved: "malformed address",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Error is a failure of the link.
type Error struct {
	Kind Kind
	Peer msg.RouterID // empty when it concerns no one peer
	Err  error        // the cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	text := "link: " + e.Kind.String()
	if e.Peer != "" {
		text = fmt.Sprintf("link to %s: %s", e.Peer, e.Kind)
	}
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
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
