package node

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/pressure"
)

const (
	// connsPerMB is how many connections of callers a router keeps for each MB of
	// its memory: one takes some 16 KB with its buffers and stacks, so that they
	// take an eighth at most.
	connsPerMB = 8
	// shedMost is of how many connections beyond that number, or of a host that has no
	// time, a request is waited for that has not arrived when it is looked for. Each takes a
	// goroutine and some 20 KB; were they as many as are served, the processor was theirs.
	shedMost = 64
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
	// sift answers the request that has arrived on a connection for which there is no
	// time, or, if it is told so, no room; it returns what it has read if it did not.
	sift func(c front.Arrival, full bool) (read []byte, answered bool)
	// letIn notes that a connection is served.
	letIn func()
	// lost notes that a connection that was accepted could not be opened, and was closed.
	lost func(error)
	// raw is the listener's descriptor; nil: it has none.
	raw syscall.RawConn
	// waiting and pace are of who calls Accept.
	waiting []waiting
	pace    pace
	// refusing reports whether this host refuses requests for its own load: then it does
	// before anything is spent on them.
	refusing func() bool
	// wait is for how long what could run on this host waits for its processor.
	wait func() time.Duration

	open     atomic.Int64
	shedding atomic.Int64 // connections whose requests are being refused
	refused  atomic.Int64 // connections whose requests were refused
	closed   atomic.Int64 // connections closed without an answer
}

// newLimiter returns the bound of a host with so much memory.
func newLimiter(l net.Listener, h *front.Handler, memoryMB int) *connLimiter {
	most := int64(memoryMB * connsPerMB)
	limiter := &connLimiter{
		Listener: l,
		most:     most,
		shed:     h.Shed,
		shedMost: shedMost,
		sift:     h.NewSifter().Sift,
		refusing: h.Refusing,
		wait:     h.ExpectedWait,
		letIn:    func() {},
		lost:     func(error) {},
	}
	if c, ok := l.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			limiter.raw = raw
		}
	}
	return limiter
}

// near reports whether half of the bound is reached: from there on each answer ends its
// connection. A flood's callers open more than they use, and keep them: at a host of
// 112 MB some 900 connections were idle for the most part, and 5,931 of other callers
// were reset.
func (l *connLimiter) near() bool { return l.open.Load() > l.most/2 }

// full reports whether new connections are not served: the balancer is to send them
// elsewhere.
func (l *connLimiter) full() bool { return l.open.Load() >= l.most }

// saturated reports whether this host is so far behind that each request is refused.
func (l *connLimiter) saturated() bool { return l.wait() >= pressure.Saturated }

// Accept returns the next connection that is served.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		a, err := l.next()
		if err != nil {
			l.end()
			return nil, err
		}
		if c := l.take(a); c != nil {
			return &counted{Conn: c, limiter: l}, nil
		}
	}
}

// next waits for the next connection. While the host refuses, connections wait for a moment
// until their requests have arrived.
func (l *connLimiter) next() (arrival, error) {
	for {
		if len(l.waiting) == 0 {
			l.pace = pace{}
			c, err := l.Listener.Accept()
			if err != nil {
				return nil, err
			}
			if !l.refusing() {
				return known{c}, nil
			}
			l.waiting = append(l.waiting, waiting{known{c}, time.Now()})
		}
		l.takeIn()
		first := l.waiting[0]
		if left := arrivesWithin - time.Since(first.since); left > 0 && l.refusing() {
			time.Sleep(left)
			continue
		}
		l.waiting = l.waiting[1:]
		l.pace.next()
		return first.arrival, nil
	}
}

// takeIn accepts the connections that wait to be, as far as there is room for them here.
func (l *connLimiter) takeIn() {
	for l.raw != nil && len(l.waiting) < waitingMost {
		b := acceptBare(l.raw)
		if b == nil {
			return
		}
		l.waiting = append(l.waiting, waiting{b, time.Now()})
	}
}

// end closes what still waits when the listener has ended.
func (l *connLimiter) end() {
	for _, w := range l.waiting {
		_ = w.Close() // nothing was read of it
	}
	l.waiting = nil
}

// waiting is a connection whose request may be on its way.
type waiting struct {
	arrival
	since time.Time
}

const (
	// arrivesWithin is how long after its connection a request is looked for: a caller sends it
	// as soon as it hears that the connection is there, a millisecond or two away.
	arrivesWithin = 5 * time.Millisecond
	// waitingMost bounds the connections that wait so, by descriptors.
	waitingMost = 256
	// paceBatch is how many connections are looked at in one go while others wait: some 2 ms
	// of a processor of a fifth of a core.
	paceBatch = 16
)

// pace keeps half of the processor from who looks at connections that never end. Such a
// loop does not wait for anything, and what is read from other connections waits behind
// it: for seconds at a host to which a flood of 3,000 connections a second came. Connections
// beyond what half of a processor can refuse wait in the system's queue, and, when that is
// full, find no connection, which costs this host nothing.
type pace struct {
	looked int
	began  time.Time
}

// next is called before each connection; it sleeps for as long as the last ones took.
func (p *pace) next() {
	switch {
	case p.looked == 0:
		p.began = time.Now()
	case p.looked%paceBatch == 0:
		time.Sleep(time.Since(p.began))
		p.began = time.Now()
	}
	p.looked++
}

// take returns the connection if it is served; it counts until it is closed.
func (l *connLimiter) take(a arrival) net.Conn {
	room := l.open.Add(1) <= l.most
	var read []byte
	answered := false
	if !room || l.refusing() {
		read, answered = l.sift(a, !room)
	}
	if answered {
		l.open.Add(-1)
		l.refused.Add(1)
		_ = a.Close() // its caller has its answer, or has left
		return nil
	}
	c, err := a.Open()
	if err != nil {
		l.open.Add(-1)
		l.closed.Add(1)
		l.lost(err)
		return nil
	}
	if len(read) > 0 {
		c = &begun{Conn: c, read: read}
	}
	if room && !l.saturated() {
		l.letIn()
		return c
	}
	l.open.Add(-1)
	l.turnAway(c)
	return nil
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
	return rawOf(c.Conn)
}

// Close closes the connection.
func (c *counted) Close() error {
	c.once.Do(func() { c.limiter.open.Add(-1) })
	return c.Conn.Close()
}

// begun is a connection of which something has been read already.
type begun struct {
	net.Conn
	read []byte // and not been given to the reader yet
}

// Read implements net.Conn.
func (b *begun) Read(p []byte) (int, error) {
	if len(b.read) == 0 {
		return b.Conn.Read(p)
	}
	n := copy(p, b.read)
	b.read = b.read[n:]
	return n, nil
}

// CloseWrite ends what the caller is sent, if the connection below can do that.
func (b *begun) CloseWrite() error {
	if half, ok := b.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return b.Conn.Close()
}

// SyscallConn returns the connection below.
func (b *begun) SyscallConn() (syscall.RawConn, error) { return rawOf(b.Conn) }

// rawOf returns the descriptor of a connection that another one wraps.
func rawOf(c net.Conn) (syscall.RawConn, error) {
	below, ok := c.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSOCK
	}
	return below.SyscallConn()
}
