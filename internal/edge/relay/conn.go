package relay

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a caller's connection to another host, which relays it to this one. It implements net.Conn.
type Conn struct {
	tunnel    *inboundTunnel
	id        uint32
	maxUnread int

	writing sync.Mutex // held by Write, so that concurrent writes are not mixed
	gone    atomic.Bool

	mu            sync.Mutex // is locked before that of the tunnel
	readable      sync.Cond
	writable      sync.Cond
	unread        []byte
	readErr       error // returned by Read after unread
	writeErr      error // returned by Write
	window        int   // bytes that may be sent before the sender confirms some
	readDeadline  time.Time
	writeDeadline time.Time
	incomplete    bool // a write failed or Abort was called: Close must not look like the end of an answer
	ended         bool // FrameClose or FrameReset was sent
	closed        bool
}

func newConn(t *inboundTunnel, id uint32) *Conn {
	c := &Conn{tunnel: t, id: id, maxUnread: t.receiver.config.MaxUnread(), window: StreamWindow}
	c.readable.L = &c.mu
	c.writable.L = &c.mu
	return c
}

// Via returns the control address of the host that relays the connection.
func (c *Conn) Via() string { return c.tunnel.sender }

// Disconnected reports whether the caller has closed its connection.
func (c *Conn) Disconnected() bool { return c.gone.Load() }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case passed(c.readDeadline):
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case len(c.unread) > 0:
			return c.take(p), nil
		case c.readErr != nil:
			return 0, c.opError("read", c.readErr)
		}
		wait(&c.readable, c.readDeadline)
	}
}

// opError returns an error as those of package net, by which net/http recognises a broken connection.
func (c *Conn) opError(op string, err error) error {
	if err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: receiverAddr{}.Network(), Addr: c.RemoteAddr(), Err: err}
}

// take moves unread bytes to p. The caller holds c.mu.
func (c *Conn) take(p []byte) int {
	n := copy(p, c.unread)
	c.tunnel.receiver.unread.Add(-int64(n))
	if c.unread = c.unread[n:]; len(c.unread) == 0 {
		c.unread = nil
	}
	return n
}

// Write implements net.Conn. It waits while the sender has not confirmed StreamWindow bytes.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case n == len(p):
			return n, nil
		case c.writeErr != nil:
			return n, c.opError("write", c.writeErr)
		case passed(c.writeDeadline):
			c.incomplete = true
			return n, c.opError("write", os.ErrDeadlineExceeded)
		case c.window > 0:
			n += c.sendSome(p[n:])
			continue
		}
		wait(&c.writable, c.writeDeadline)
	}
}

// sendSome sends as much of p as fits into a frame and the window. The caller holds c.mu.
func (c *Conn) sendSome(p []byte) int {
	n := min(len(p), c.window, MaxPayload)
	c.window -= n
	c.tunnel.receiver.stats.bytesSent.Add(int64(n))
	c.tunnel.out.add(FrameData, c.id, p[:n])
	return n
}

// Abort makes Close break the caller's connection. It is for answers whose end is the end of their
// connection and which are incomplete.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incomplete = true
}

// CloseWrite ends the connection after what has been written. Nothing more can be read, as the sender
// closes the caller's connection.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.end()
	c.fail(io.EOF, syscall.EPIPE)
	return nil
}

// Close implements net.Conn. The caller gets all that has been written.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.end()
	c.closed = true
	c.fail(net.ErrClosed, net.ErrClosed)
	c.tunnel.remove(c.id)
	return nil
}

// refuse breaks the caller's connection, of which nothing was read.
func (c *Conn) refuse() {
	c.Abort()
	_ = c.Close() // never fails
}

// end sends the frame that ends the stream, once. The caller holds c.mu.
func (c *Conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	if c.incomplete {
		c.tunnel.out.add(FrameReset, c.id, nil)
		return
	}
	c.tunnel.out.add(FrameClose, c.id, nil)
}

// fail ends reads and writes with the errors, of which the first ones count. Bytes that have not been
// read are dropped. The caller holds c.mu.
func (c *Conn) fail(readErr, writeErr error) {
	c.tunnel.receiver.unread.Add(-int64(len(c.unread)))
	c.unread = nil
	if c.readErr == nil {
		c.readErr = readErr
	}
	if c.writeErr == nil {
		c.writeErr = writeErr
	}
	c.readable.Broadcast()
	c.writable.Broadcast()
}

// received adds bytes of the caller. A stream is reset if more of its bytes are unread than one
// request can have: waiting for them to be read would delay all streams of the tunnel.
func (c *Conn) received(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr != nil {
		return // nobody will read it
	}
	r := c.tunnel.receiver
	if len(c.unread)+len(p) > c.maxUnread || r.unread.Load()+int64(len(p)) > r.config.MaxUnreadTotal {
		r.stats.overruns.Add(1)
		c.gone.Store(true)
		c.incomplete = true
		c.end()
		c.fail(syscall.ECONNRESET, syscall.ECONNRESET)
		return
	}
	r.unread.Add(int64(len(p)))
	c.unread = append(c.unread, p...)
	c.readable.Broadcast()
}

// confirmed enlarges the window by the bytes that the caller has been sent.
func (c *Conn) confirmed(n uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window = int(min(int64(c.window)+int64(n), StreamWindow))
	c.writable.Broadcast()
}

// callerClosed ends reads, after what the caller sent before it closed its connection. The caller may
// have closed only its sending side, so that it can still be written to.
func (c *Conn) callerClosed() {
	c.gone.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		c.readErr = io.EOF
	}
	c.readable.Broadcast()
}

// reset ends the connection after the caller's connection or the tunnel broke.
func (c *Conn) reset() {
	c.gone.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.fail(syscall.ECONNRESET, syscall.ECONNRESET)
}

// LocalAddr implements net.Conn. It is the address of the tunnel.
func (c *Conn) LocalAddr() net.Addr { return c.tunnel.conn.LocalAddr() }

// RemoteAddr implements net.Conn. It is the address of the tunnel.
func (c *Conn) RemoteAddr() net.Addr { return c.tunnel.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadlines(&t, &t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadlines(&t, nil) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(nil, &t) }

// setDeadlines sets the deadlines that are not nil.
func (c *Conn) setDeadlines(read, write *time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if read != nil {
		c.readDeadline = *read
		c.readable.Broadcast()
	}
	if write != nil {
		c.writeDeadline = *write
		c.writable.Broadcast()
	}
	return nil
}

// passed reports whether there is a deadline and it has passed.
func passed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// wait waits for the condition or the deadline. The caller holds the lock.
func wait(cond *sync.Cond, deadline time.Time) {
	if !deadline.IsZero() {
		timer := time.AfterFunc(time.Until(deadline), func() {
			cond.L.Lock()
			defer cond.L.Unlock()
			cond.Broadcast()
		})
		defer timer.Stop()
	}
	cond.Wait()
}
