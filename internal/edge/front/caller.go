package front

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

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
	return ok && peek.Check(c) == peek.Closed
}

// lookAgain is the age from which a request's caller is looked at once more just before
// the request is sent: less passes between two steps on a host that has time. On one
// that a flood fills some seconds may, and requests were sent on two seconds after
// their callers' deadlines.
const lookAgain = 20 * time.Millisecond

// leftMeanwhile reports whether the caller of a request that has waited here has left.
func (q *request) leftMeanwhile() bool {
	return !q.started && q.age() > lookAgain && q.hasLeft()
}

// leave ends a request whose caller has left before it was sent to any server.
func (q *request) leave() {
	q.log(slog.LevelInfo, events.EdgeLeft, "started", false, "last", "")
	q.h.Meter.Failed(q.service, "caller left")
}
