package node

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/pressure"
)

const (
	// connsPerMB is how many caller connections a router keeps per MB of its memory. One takes
	// about 16 KB with its buffers and stacks, so they use at most an eighth of it.
	connsPerMB = 8
	// maxShedding bounds the connections whose request had not arrived when it was looked for
	// and is awaited only to be refused, because the router is full or the host is behind its
	// work. Each takes a goroutine and about 20 KB; as many of them as of served connections
	// would use up the processor.
	maxShedding = 64
)

// connLimiter is a listener that bounds the number of open connections. A request on a
// connection beyond the bound is refused with a time to retry after. When too many such
// requests are being refused already, the connection is closed at once, which tells the caller
// that nothing was read and lets it try another router.
type connLimiter struct {
	net.Listener
	maxOpen     int64
	shed        func(net.Conn) // refuses the request of a connection and closes it
	maxShedding int64
	// reject answers the request that has arrived on a connection if the host is behind its
	// work or, if full is set, because there is no room. It returns the bytes read if it did
	// not answer.
	reject func(c front.Arrival, full bool) (read []byte, verdict front.Verdict)
	// onAdmitted is called when a connection is going to be served.
	onAdmitted func()
	// onOpenFailed is called when an accepted connection could not be opened and was closed.
	onOpenFailed func(error)
	// listenerConn is the listener's descriptor; nil if it has none.
	listenerConn syscall.RawConn
	// The fields from pending to acceptFailed are used only by the goroutine that calls Accept.
	pending      []pendingConn
	throttle     acceptThrottle
	relayUntil   time.Time // until then the listener's queue is looked at without blocking
	acceptFailed bool      // the last non-blocking accept
	// relay takes connections for other hosts while this one is overloaded; nil: there is none.
	relay connRelay
	// onRelayed is called when a connection has been given to another host.
	onRelayed func()
	// refusing reports whether this host is refusing requests because of its own load.
	// Requests are then refused before anything else is spent on them.
	refusing func() bool
	// expectedWait returns how long a runnable goroutine on this host is expected to wait for
	// the processor.
	expectedWait func() time.Duration

	open     atomic.Int64
	shedding atomic.Int64 // connections whose requests are being refused
	refused  atomic.Int64 // connections whose requests were refused
	closed   atomic.Int64 // connections closed without an answer
	// notRelayed counts connections that were to be relayed and found no room at another host.
	notRelayed atomic.Int64
}

// newLimiter returns a limiter for a host with that much memory.
func newLimiter(l net.Listener, h *front.Handler, memoryMB int) *connLimiter {
	maxOpen := int64(memoryMB * connsPerMB)
	limiter := &connLimiter{
		Listener:     l,
		maxOpen:      maxOpen,
		shed:         h.Shed,
		maxShedding:  maxShedding,
		reject:       h.NewEarlyRejecter().Reject,
		refusing:     h.SheddingLoad,
		expectedWait: h.ExpectedWait,
		onAdmitted:   func() {},
		onOpenFailed: func(error) {},
		onRelayed:    func() {},
	}
	if c, ok := l.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			limiter.listenerConn = raw
			sendAtOnce(raw)
		}
	}
	return limiter
}

// sendAtOnce makes the kernel send each piece of an answer at once on connections that are accepted from
// the listener's descriptor, which inherit the option. The runtime sets it for those that it accepts.
func sendAtOnce(listener syscall.RawConn) {
	// Without the option answers come later, up to 40 ms for a piece, but whole.
	_ = listener.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	})
}

// nearLimit reports whether more than half of the bound is reached; from then on each answer
// closes its connection. Callers in a flood open more connections than they use, and keep
// them: on a host of 112 MB about 900 connections were mostly idle while 5,931 of other
// callers were reset.
func (l *connLimiter) nearLimit() bool { return l.open.Load() > l.maxOpen/2 }

// full reports whether new connections are not served and the load balancer is to send them
// elsewhere.
func (l *connLimiter) full() bool { return l.open.Load() >= l.maxOpen }

// saturated reports whether this host is so far behind its work that it refuses every request.
func (l *connLimiter) saturated() bool { return l.expectedWait() >= pressure.Saturated }

// Accept returns the next connection to serve.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		a, err := l.nextConn()
		if err != nil {
			l.closePending()
			return nil, err
		}
		if c := l.admit(a); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection if it is to be served, and nil otherwise. A returned connection
// counts as open until it is closed.
func (l *connLimiter) admit(a acceptedConn) *trackedConn {
	hasRoom := l.open.Add(1) <= l.maxOpen
	var received []byte
	verdict := front.Admitted // a host that refuses nothing need not look at the request
	if !hasRoom || l.refusing() {
		received, verdict = l.reject(a, !hasRoom)
	}
	if verdict == front.Rejected {
		l.open.Add(-1)
		l.refused.Add(1)
		_ = a.Close() // the caller has its answer or has disconnected
		return nil
	}
	c, err := a.Open()
	if err != nil {
		l.open.Add(-1)
		l.closed.Add(1)
		l.onOpenFailed(err)
		return nil
	}
	if len(received) > 0 {
		c = &prefixedConn{Conn: c, prefix: received}
	}
	if hasRoom && !l.saturated() {
		l.onAdmitted()
		return l.track(c, verdict)
	}
	l.open.Add(-1)
	l.shedOrClose(c)
	return nil
}

// track wraps a connection that counts as open, and records the time if its request was
// admitted already.
func (l *connLimiter) track(c net.Conn, verdict front.Verdict) *trackedConn {
	tracked := &trackedConn{Conn: c, limiter: l}
	if verdict == front.Admitted {
		now := time.Now()
		tracked.admittedAt.Store(&now)
	}
	return tracked
}

// shedOrClose refuses the connection's request, or closes the connection unread if too many
// are being refused already.
func (l *connLimiter) shedOrClose(c net.Conn) {
	if l.shedding.Add(1) > l.maxShedding {
		l.shedding.Add(-1)
		l.closed.Add(1)
		_ = c.Close()
		return
	}
	l.refused.Add(1)
	go func() {
		defer l.shedding.Add(-1)
		l.shed(c)
	}()
}
