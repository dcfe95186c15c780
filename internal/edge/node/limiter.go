package node

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// connsPerMB is how many connections of callers a router keeps for each MB of
// its memory: one takes some 16 KB with its buffers and stacks, so that they
// take an eighth at most.
const connsPerMB = 8

// connLimiter is a listener that keeps a bounded number of connections. One beyond
// the bound is closed at once, by which its caller learns that nothing was read
// and asks another router.
type connLimiter struct {
	net.Listener
	most   int64
	open   atomic.Int64
	closed atomic.Int64 // connections closed for being too many
}

// near reports whether half of the bound is reached.
func (l *connLimiter) near() bool { return l.open.Load() > l.most/2 }

// full reports whether new connections are closed at once: the balancer is to
// send them elsewhere.
func (l *connLimiter) full() bool { return l.open.Load() >= l.most }

// Accept returns the next connection within the bound.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &counted{Conn: c, connLimiter: l}, nil
		}
		l.open.Add(-1)
		l.closed.Add(1)
		_ = c.Close()
	}
}

// counted is a connection that counts until it is closed.
type counted struct {
	net.Conn
	connLimiter *connLimiter
	once        sync.Once
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
	c.once.Do(func() { c.connLimiter.open.Add(-1) })
	return c.Conn.Close()
}
