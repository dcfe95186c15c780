package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/peek"
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
	return c.br.Buffered() == 0 && peek.At(c.Conn.(*net.TCPConn)) == peek.Nothing
}
