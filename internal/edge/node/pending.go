package node

import "time"

// nextConn waits for the next connection. While the host refuses requests, it holds each
// connection briefly so that its request can arrive.
func (l *connLimiter) nextConn() (acceptedConn, error) {
	for {
		if len(l.pending) == 0 {
			l.throttle = acceptThrottle{}
			c, err := l.Listener.Accept()
			if err != nil {
				return nil, err
			}
			if !l.refusing() {
				return runtimeConn{c}, nil
			}
			l.pending = append(l.pending, pendingConn{runtimeConn{c}, time.Now()})
		}
		l.acceptPending()
		first := l.pending[0]
		if remaining := requestArrivalTimeout - time.Since(first.acceptedAt); remaining > 0 && l.refusing() {
			time.Sleep(remaining)
			continue
		}
		l.pending = l.pending[1:]
		l.throttle.beforeConn()
		return first.acceptedConn, nil
	}
}

// acceptPending accepts the connections in the listener's queue, up to maxPending, without
// waiting.
func (l *connLimiter) acceptPending() {
	for l.listenerConn != nil && len(l.pending) < maxPending {
		c := acceptNonBlocking(l.listenerConn)
		if c == nil {
			return
		}
		l.pending = append(l.pending, pendingConn{c, time.Now()})
	}
}

// closePending closes the pending connections after the listener has ended.
func (l *connLimiter) closePending() {
	for _, c := range l.pending {
		_ = c.Close() // nothing was read from it
	}
	l.pending = nil
}

// pendingConn is an accepted connection whose request may still be on its way.
type pendingConn struct {
	acceptedConn
	acceptedAt time.Time
}

const (
	// requestArrivalTimeout is how long after the connection its request is looked for. A
	// caller a millisecond or two away sends it as soon as the connection is established.
	requestArrivalTimeout = 5 * time.Millisecond
	// maxPending bounds the pending connections, each of which takes a descriptor.
	maxPending = 256
	// throttleBatch is how many connections are examined between two pauses: about 2 ms of
	// work for a host with a fifth of a core.
	throttleBatch = 16
)

// acceptThrottle keeps half of the processor free while connections keep coming in. Without it
// the accept loop delays reads from connections that are being served. Excess connections wait
// in the kernel's accept queue; when that is full, further attempts to connect fail at no cost
// to this host.
type acceptThrottle struct {
	examined   int
	batchStart time.Time
}

// beforeConn is called before each connection. After each batch it sleeps for as long as the
// batch took.
func (t *acceptThrottle) beforeConn() {
	switch {
	case t.examined == 0:
		t.batchStart = time.Now()
	case t.examined%throttleBatch == 0:
		time.Sleep(time.Since(t.batchStart))
		t.batchStart = time.Now()
	}
	t.examined++
}
