package front

import (
	"context"
	"log/slog"
	"net"
	"syscall"

	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/peek"
)

// connKey is under which a request's context holds its caller's connection.
type connKey struct{}

// WithConn adds a caller's connection to the context of its requests; it is the
// http.Server's ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// hasLeft reports whether the caller has closed its connection. The request's context
// tells that too, but later: a host that was behind reads a request and the close
// behind it together, and would send the request on before it knows.
func (q *request) hasLeft() bool {
	c, ok := q.r.Context().Value(connKey{}).(syscall.Conn)
	return ok && peek.At(c) == peek.Ended
}

// leave ends a request whose caller has left before it was sent to any server.
func (q *request) leave() {
	q.log(slog.LevelInfo, events.EdgeLeft, "started", false, "last", "")
	q.h.Meter.Failed(q.service, "caller left")
}
