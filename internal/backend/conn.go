package backend

import (
	"net"
	"sync"
)

// gate decides whether bytes of one attempt may leave, and knows whether one
// may have left. It is shared by the attempt's goroutine and the transport's.
type gate struct {
	guard func() error // asked just before each write; nil: always open
	stop  func(error)  // ends the transport's work on the attempt

	mu      sync.Mutex
	sealed  bool  // no byte may leave any more
	started int   // writes begun that may have sent a byte
	refused error // what the guard said
}

// enter is called before a write.
func (g *gate) enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed {
		return errSealed
	}
	if g.guard != nil {
		if err := g.guard(); err != nil {
			g.sealed = true
			g.refused = err
			g.stop(err) // the transport would try another connection
			return err
		}
	}
	g.started++
	return nil
}

// leave is called after a write that sent n bytes.
func (g *gate) leave(n int) {
	if n > 0 {
		return
	}
	g.mu.Lock()
	g.started--
	g.mu.Unlock()
}

// mayHaveSent reports whether a byte may have left.
func (g *gate) mayHaveSent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started > 0
}

// seal stops all further writes and reports whether a byte may have left
// before. After it has returned false, none will.
func (g *gate) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.started > 0
}

// refusal returns what the guard said when it stopped the request, or nil.
func (g *gate) refusal() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

// conn is a connection to a backend server whose writes pass the gate of the
// attempt that holds it.
type conn struct {
	net.Conn

	mu   sync.Mutex
	gate *gate
}

// hold gives the connection to an attempt.
func (c *conn) hold(g *gate) {
	c.mu.Lock()
	c.gate = g
	c.mu.Unlock()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	g := c.gate
	c.mu.Unlock()
	if g == nil {
		return 0, errSealed
	}
	if err := g.enter(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	g.leave(n)
	return n, err
}
