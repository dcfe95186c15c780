package link

import (
	"errors"
	"fmt"

	"github.com/windscale/windscale/internal/core/msg"
)

// Kind classes the failures of this package.
type Kind string

// The kinds of failure; the texts are for people.
const (
	KindListen     Kind = "cannot listen"                 // the socket could not be opened
	KindConfig     Kind = "credentials of another router" // the credentials are not those of the configured router
	KindNoAddr     Kind = "no address known"              // no address is known for the peer
	KindDial       Kind = "cannot dial"                   // the peer could not be reached or proved another identity
	KindBlocked    Kind = "blocked"                       // the link to the peer is cut by the admin fault
	KindClosed     Kind = "stopped"                       // this link has stopped
	KindTimeout    Kind = "timeout"                       // the caller's context ended first
	KindBroken     Kind = "connection broken"             // the connection ended within the conversation
	KindRefused    Kind = "refused by the peer"           // the peer did not answer the conversation
	KindTooLarge   Kind = "message too large"             // a message beyond the limit
	KindUnresolved Kind = "malformed address"             // an address that is not IP:port
)

// Error is a failure of the link.
type Error struct {
	Kind Kind
	Peer msg.RouterID // empty when it concerns no one peer
	Err  error        // the cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	text := "link: " + string(e.Kind)
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

// KindOf returns the kind of err, or "" when it is not an error of this
// package.
func KindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return ""
}
