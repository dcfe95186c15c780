package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/peek"
)

// conn is a connection to one start of a backend server. It carries one exchange at a time.
type conn struct {
	net.Conn
	br          *bufio.Reader
	received    int64       // bytes since the connection was opened
	reused      bool        // it has carried an exchange
	idleSince   time.Time   // when it became idle
	expires     time.Time   // when the server may close it; zero: not announced
	writeFailed atomic.Bool // a write has failed, so it can't be reused
}

// Read reads from the connection and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += int64(n)
	return n, err
}

// noInput reports whether nothing has arrived on an idle connection: neither its end nor bytes
// that belong to no request.
func (c *conn) noInput() bool {
	return c.br.Buffered() == 0 && c.state() == peek.Open
}

// state returns the state of the connection, which may be in use.
func (c *conn) state() peek.State { return peek.Check(c.Conn.(*net.TCPConn)) }
