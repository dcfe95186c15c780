package node

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/pressure"
)

const (
	// connsPerMB is how many connections of callers a router keeps for each MB of
	// its memory: one takes some 16 KB with its buffers and stacks, so that they
	// take an eighth at most.
	connsPerMB = 8
	// shedPart is for which part of that number beside it a request is still read, so
	// that it can be refused: such a connection takes some 20 KB, with what its caller
	// has sent, for as long as a refusal takes. A flood of 1,200 requests a second at one
	// host had 79,000 connections closed unread at a quarter.
	shedPart = 1.0
)

// connLimiter is a listener that keeps a bounded number of connections. One beyond
// the bound has its request refused, by which its caller learns when to come back. One
// beyond a second bound is closed at once, by which its caller learns that nothing was
// read and asks another router.
type connLimiter struct {
	net.Listener
	most     int64
	shed     func(net.Conn) // refuses the request of a connection, and closes it
	shedMost int64
	// saturated reports whether this host is so far behind that each request is refused:
	// then those of new connections are refused the cheap way.
	saturated func() bool

	open     atomic.Int64
	shedding atomic.Int64 // connections whose requests are being refused
	refused  atomic.Int64 // connections whose requests were refused
	closed   atomic.Int64 // connections closed unread
}

// newLimiter returns the bound of a host with so much memory.
func newLimiter(l net.Listener, h *front.Handler, memoryMB int) *connLimiter {
	most := int64(memoryMB * connsPerMB)
	return &connLimiter{
		Listener:  l,
		most:      most,
		shed:      h.Shed,
		shedMost:  int64(float64(most) * shedPart),
		saturated: func() bool { return h.ProcessorWait() >= pressure.Saturated },
	}
}

// near reports whether half of the bound is reached: from there on each answer ends its
// connection. A flood's callers open more than they use, and keep them: at a host of
// 112 MB some 900 connections were idle for the most part, and 5,931 of other callers
// were reset.
func (l *connLimiter) near() bool { return l.open.Load() > l.most/2 }

// full reports whether new connections are not served: the balancer is to send them
// elsewhere.
func (l *connLimiter) full() bool { return l.open.Load() >= l.most }

// Accept returns the next connection within the bound.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most && !l.saturated() {
			return &counted{Conn: c, limiter: l}, nil
		}
		l.open.Add(-1)
		l.turnAway(c)
	}
}

// turnAway refuses the connection's request, or closes it unread.
func (l *connLimiter) turnAway(c net.Conn) {
	if l.shedding.Add(1) > l.shedMost {
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

// counted is a connection that counts until it is closed.
type counted struct {
	net.Conn
	limiter *connLimiter
	once    sync.Once
}

// SyscallConn returns the connection below.
func (c *counted) SyscallConn() (syscall.RawConn, error) {
	below, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSOCK
	}
	return below.SyscallConn()
}

// Close closes the connection.
func (c *counted) Close() error {
	c.once.Do(func() { c.limiter.open.Add(-1) })
	return c.Conn.Close()
}
