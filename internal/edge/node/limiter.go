package node

import (
	"net"
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
	// reject answers the request that has arrived on a connection for which there is no
	// time, or, if it is told so, no room; it returns what it has read if it did not.
	reject func(c front.Arrival, full bool) (read []byte, verdict front.Verdict)
	// admitted notes that a connection is served.
	admitted func()
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
		reject:   h.NewEarlyRejecter().Reject,
		refusing: h.SheddingLoad,
		wait:     h.ExpectedWait,
		admitted: func() {},
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
			return c, nil
		}
	}
}

// take returns the connection if it is served; it counts until it is closed.
func (l *connLimiter) take(a arrival) *counted {
	room := l.open.Add(1) <= l.most
	var read []byte
	verdict := front.Admitted // a host that refuses nothing need not look
	if !room || l.refusing() {
		read, verdict = l.reject(a, !room)
	}
	if verdict == front.Rejected {
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
		l.admitted()
		return l.serve(c, verdict)
	}
	l.open.Add(-1)
	l.turnAway(c)
	return nil
}

// serve returns a connection on which the verdict, if there is one, stands.
func (l *connLimiter) serve(c net.Conn, verdict front.Verdict) *counted {
	served := &counted{Conn: c, limiter: l}
	if verdict == front.Admitted {
		now := time.Now()
		served.admittedAt.Store(&now)
	}
	return served
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
