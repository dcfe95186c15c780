package front

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/peek"
)

// callerConnKey is the context key of the caller's connection.
type callerConnKey struct{}

// WithConn adds the caller's connection to the context of its requests. Use it as the
// ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// RelayedConn is the connection of a caller of another host, which relays it to this one.
type RelayedConn interface {
	// Via returns the control address of the other host.
	Via() string
	// Disconnected reports whether the caller has closed its connection.
	Disconnected() bool
	// Abort makes the end of the connection look like a failure.
	Abort()
}

// relayedConn returns the caller's connection if another host relays it; else nil.
func relayedConn(r *http.Request) RelayedConn {
	c, _ := r.Context().Value(callerConnKey{}).(RelayedConn)
	return c
}

// via returns the control address of the host that relays the request; empty: none does.
func via(r *http.Request) string {
	if c := relayedConn(r); c != nil {
		return c.Via()
	}
	return ""
}

// abort ends the request without a complete response. HTTP/1.1 callers see that from the response's
// length or chunks; others would take the end of the connection for that of the response.
func (q *request) abort() {
	if !q.r.ProtoAtLeast(1, 1) {
		q.resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the close of the caller's connection reset it.
func (q *request) resetOnClose() {
	if c := relayedConn(q.r); c != nil {
		c.Abort()
		return
	}
	c, ok := q.r.Context().Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return // closed already
	}
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed already
		_ = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
}

// callerDisconnected reports whether the caller has closed its connection. The request's context
// is cancelled too, but later: an overloaded host reads a request and the close that follows it
// at about the same time, and would forward the request before the context is cancelled.
func (q *request) callerDisconnected() bool {
	if c := relayedConn(q.r); c != nil {
		return c.Disconnected()
	}
	c, ok := q.r.Context().Value(callerConnKey{}).(syscall.Conn)
	return ok && peek.Check(c) == peek.Closed
}

// recheckAge is the age from which the caller's connection is checked again just before the
// request is sent. Processing takes less than this on a host that is not overloaded. On an
// overloaded host it can take seconds, and requests were sent two seconds after their callers'
// deadlines.
const recheckAge = 20 * time.Millisecond

// disconnectedWhileWaiting reports whether the caller disconnected while the request waited on
// this host.
func (q *request) disconnectedWhileWaiting() bool {
	return !q.headerSent && q.age() > recheckAge && q.callerDisconnected()
}

// recordDisconnect logs and counts a request whose caller disconnected before it was sent to any
// server.
func (q *request) recordDisconnect() {
	q.log(slog.LevelInfo, events.EdgeLeft, "started", q.headerSent, "last", q.lastEventID)
	q.h.Meter.AttemptFailed(q.service, "caller left")
}
