package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection to one start of a backend server. It carries one
// exchange at a time.
type conn struct {
	net.Conn
	br      *bufio.Reader
	used    bool        // it has carried an exchange
	idleAt  time.Time   // when it became idle
	expires time.Time   // when the server may close it; zero: not told
	spoilt  atomic.Bool // a write has failed: it can carry no other exchange
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peekErr error
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return false
	}
	return n <= 0 && peekErr == syscall.EAGAIN
}
