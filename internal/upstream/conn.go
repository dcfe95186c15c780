package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/peek"
)

const (
	// resetWait is how long after a round trip a connection is reset that its server has closed while a
	// request's body was being sent.
	resetWait = 10 * time.Millisecond
	// deliveryInterval is how often it is checked meanwhile whether all has been acknowledged.
	deliveryInterval = time.Millisecond
)

// conn is a connection to one start of a backend server. It carries one exchange at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	reserved  bounded.Reservation // for a read buffer of more than readBufferSize
	received  int64               // bytes since the connection was opened
	reused    bool                // it has carried an exchange
	dialTime  time.Duration
	probing   bool      // a check waits whether the server closes it; guarded by the pool's lock
	idleSince time.Time // when it became idle
	expires   time.Time // when the server may close it; zero: not announced
	body      bodyWrite // of the latest request

	peekMu  sync.Mutex // held while the state of the connection is checked
	peekErr error      // with which it broke, if reported to such a check
}

// bodyWrite is the write of a long request body beside the reading of the response.
type bodyWrite struct {
	done chan struct{} // closed when the write has ended; nil: the body was written before
	err  error         // why it failed; valid once done is closed
}

// succeeded reports whether the write has ended without an error.
func (w *bodyWrite) succeeded() bool {
	if w.done == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// endWrite waits for the request's body after the server has ended its side of the connection. It returns the
// error by which the connection broke, or nil if it is in order: a server that answers without reading a long
// body may go on to read it. One that closes the connection instead resets it within a round trip.
func (c *conn) endWrite() error {
	if c.body.done == nil {
		return nil
	}
	deadline := time.Now().Add(c.dialTime + resetWait)
	select {
	case <-c.body.done:
	default:
		// Fails only if the connection is closed, which ends the write too.
		_ = c.SetWriteDeadline(deadline)
		<-c.body.done
	}
	if errors.Is(c.body.err, os.ErrDeadlineExceeded) {
		return nil
	}
	if c.body.err != nil {
		return c.body.err
	}
	return c.awaitDelivery(deadline)
}

// awaitDelivery waits until the server's host has acknowledged all that was written, at most until the deadline. It
// returns the error by which the connection broke.
func (c *conn) awaitDelivery(deadline time.Time) error {
	for {
		n, err := peek.Undelivered(c.Conn.(*net.TCPConn))
		if err != nil || n == 0 || !time.Now().Before(deadline) {
			return err
		}
		time.Sleep(deliveryInterval)
	}
}

// Read reads from the connection and counts the bytes. The error is io.EOF only if the connection is in
// order: a socket reports to one call that it was reset, and an orderly end to the reads that follow.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += int64(n)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns the error with which the connection broke, if that was reported to a write or a check of its
// state, or else io.EOF.
func (c *conn) endError() error {
	if err := c.endWrite(); err != nil {
		return err
	}
	c.peekMu.Lock()
	defer c.peekMu.Unlock()
	if c.peekErr != nil {
		return c.peekErr
	}
	return io.EOF
}

// noInput reports whether nothing has arrived on an idle connection: neither its end nor bytes
// that belong to no request.
func (c *conn) noInput() bool {
	return c.br.Buffered() == 0 && c.state() == peek.Open
}

// state returns the state of the connection, which may be in use.
func (c *conn) state() peek.State {
	c.peekMu.Lock()
	defer c.peekMu.Unlock()
	state, err := peek.CheckError(c.Conn.(*net.TCPConn))
	if err != nil {
		c.peekErr = err
	}
	return state
}

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
