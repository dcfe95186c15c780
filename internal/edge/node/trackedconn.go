package node

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// trackedConn is a connection that counts as open until it is closed.
type trackedConn struct {
	net.Conn
	limiter    *connLimiter
	once       sync.Once
	admittedAt atomic.Pointer[time.Time] // nil: taken already, or the request is not decided on yet
}

// TakeAdmission implements front.AdmittedConn.
func (c *trackedConn) TakeAdmission() time.Time {
	if at := c.admittedAt.Swap(nil); at != nil {
		return *at
	}
	return time.Time{}
}

// SyscallConn returns the raw connection of the wrapped one.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	return syscallConnOf(c.Conn)
}

// Close closes the connection. Only the first call changes the count.
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.limiter.open.Add(-1) })
	return c.Conn.Close()
}

// prefixedConn is a connection from which some bytes have been read in advance.
type prefixedConn struct {
	net.Conn
	prefix []byte // read in advance and not returned by Read yet
}

// Read implements net.Conn.
func (b *prefixedConn) Read(p []byte) (int, error) {
	if len(b.prefix) == 0 {
		return b.Conn.Read(p)
	}
	n := copy(p, b.prefix)
	b.prefix = b.prefix[n:]
	return n, nil
}

// CloseWrite shuts down the sending side, or closes the connection if it doesn't support that.
func (b *prefixedConn) CloseWrite() error {
	if hc, ok := b.Conn.(interface{ CloseWrite() error }); ok {
		return hc.CloseWrite()
	}
	return b.Conn.Close()
}

// SyscallConn returns the raw connection of the wrapped one.
func (b *prefixedConn) SyscallConn() (syscall.RawConn, error) { return syscallConnOf(b.Conn) }

// syscallConnOf returns the raw connection of a connection that another one wraps.
func syscallConnOf(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSOCK
	}
	return sc.SyscallConn()
}
