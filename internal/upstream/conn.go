package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/peek"
)

// conn is a connection to one start of a backend server. It carries one exchange at a time.
type conn struct {
	net.Conn
	br          *bufio.Reader
	reserved    bounded.Reservation // for a read buffer of more than readBufferSize
	received    int64               // bytes since the connection was opened
	reused      bool                // it has carried an exchange
	dialTime    time.Duration
	probing     bool        // a check waits whether the server closes it; guarded by the pool's lock
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

// fillHead reads until the buffer begins with the complete head of a response. The buffer grows with the
// head; that of nearly all heads fits into readBufferSize.
func (c *conn) fillHead(scanner *intake.HeadScanner, now func() time.Time) error {
	var pace intake.Pace
	for {
		arrived, _ := c.br.Peek(c.br.Buffered()) // can't fail
		length, err := scanner.Scan(arrived)
		if length > 0 || err != nil {
			return err
		}
		if err := pace.Read(now()); err != nil {
			return err
		}
		if len(arrived) == c.br.Size() {
			if err := c.growBuffer(); err != nil {
				return err
			}
		}
		if _, err := c.br.Peek(len(arrived) + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

// growBuffer doubles the size of the read buffer, which is full.
func (c *conn) growBuffer() error {
	size := 2 * c.br.Size()
	if !c.reserved.Resize(int64(size)) {
		return &bounded.MemoryError{}
	}
	full, _ := c.br.Peek(c.br.Buffered()) // can't fail
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(full), c), size)
	return nil
}

// shrinkBuffer gives the memory of a grown read buffer back. The buffer must be empty.
func (c *conn) shrinkBuffer() {
	if c.br.Size() > readBufferSize {
		c.br = bufio.NewReaderSize(c, readBufferSize)
	}
	c.reserved.Release()
}
