package node

import (
	"time"

	"github.com/windscale/windscale/internal/edge/pressure"
)

// connRelay relays connections to other hosts. It is implemented by relay.Sender.
type connRelay interface {
	// Needed is called while connections are to be relayed because of the expected wait for the
	// processor. It reports whether there is any host to relay to.
	Needed(wait time.Duration) bool
	// Offer takes over a connection's descriptor if another host has room for the connection.
	Offer(fd int) bool
}

// nextConn waits for the next connection that is not relayed to another host. While the host refuses
// requests, it holds each connection briefly so that its request can arrive.
func (l *connLimiter) nextConn() (acceptedConn, error) {
	for {
		relaying := l.relayNeeded(time.Now())
		if len(l.pending) == 0 && (l.acceptFailed || !relaying) {
			l.throttle = acceptThrottle{}
			l.acceptFailed = false
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
		if len(l.pending) == 0 {
			l.throttle = acceptThrottle{}
			time.Sleep(relayAcceptInterval)
			continue
		}
		now := time.Now()
		if pause := max(l.awaitsRequest(now), l.throttle.pause(now)); pause > 0 {
			l.sleepPending(pause, now)
			continue
		}
		first := l.pending[0]
		l.pending = l.pending[1:]
		if l.relayLate(first.acceptedConn) {
			continue
		}
		l.throttle.count(now)
		return first.acceptedConn, nil
	}
}

// awaitsRequest returns how long the first pending connection is held so that its request can arrive.
func (l *connLimiter) awaitsRequest(now time.Time) time.Duration {
	if !l.refusing() {
		return 0
	}
	return requestArrivalTimeout - now.Sub(l.pending[0].acceptedAt)
}

// sleepPending sleeps while connections are pending, but not for long if others can be relayed
// meanwhile.
func (l *connLimiter) sleepPending(d time.Duration, now time.Time) {
	if now.Before(l.relayUntil) {
		d = min(d, relayAcceptInterval)
	}
	time.Sleep(d)
}

// relayNeeded reports whether this host is overloaded, or was until shortly before, and other hosts
// may take its connections.
func (l *connLimiter) relayNeeded(now time.Time) bool {
	if l.relay == nil || l.listenerConn == nil {
		return false
	}
	if wait := l.expectedWait(); wait >= relayThreshold && l.relay.Needed(wait) {
		l.relayUntil = now.Add(relayLinger)
	}
	return now.Before(l.relayUntil)
}

// relayLate offers a connection a second time: since the first one, another host may have got room.
func (l *connLimiter) relayLate(c acceptedConn) bool {
	if l.offer(c) {
		return true
	}
	if l.relay != nil && l.expectedWait() >= relayThreshold {
		l.notRelayed.Add(1)
	}
	return false
}

// offer hands a connection of which nothing has been read to another host if this one is overloaded
// and the other one has room.
func (l *connLimiter) offer(c acceptedConn) bool {
	conn, ok := c.(*fdConn)
	if !ok || l.relay == nil || l.expectedWait() < relayThreshold {
		return false
	}
	if !l.relay.Offer(conn.fd) {
		return false
	}
	l.onRelayed()
	return true
}

// acceptPending accepts the connections in the listener's queue, up to maxPending, without
// waiting. Those that are relayed to other hosts are not pending.
func (l *connLimiter) acceptPending() {
	for l.listenerConn != nil && len(l.pending) < maxPending {
		c, err := acceptNonBlocking(l.listenerConn)
		l.acceptFailed = err != nil
		if c == nil {
			return
		}
		if !l.offer(c) {
			l.pending = append(l.pending, pendingConn{c, time.Now()})
		}
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
	// relayThreshold is the expected wait from which connections are relayed. It is well below
	// pressure.Busy, so that a host doesn't get there while others have time.
	relayThreshold = pressure.Busy / 2
	// While connections are relayed, the listener's queue is looked at every relayAcceptInterval, until
	// the host has not been overloaded for relayLinger: a blocking Accept costs nine system calls.
	relayAcceptInterval = 2 * time.Millisecond
	relayLinger         = 100 * time.Millisecond
	// maxPending bounds the pending connections, each of which takes a descriptor.
	maxPending = 256
	// throttleBatch is how many connections are examined between two pauses: about 2 ms of
	// work for a host with a fifth of a core.
	throttleBatch = 16
)

// acceptThrottle keeps half of the processor free while connections keep coming in. Without it
// the accept loop delays reads from connections that are being served. Excess connections wait
// in the kernel's accept queue; when that is full, further attempts to connect fail at no cost
// to this host. Connections that are relayed don't count.
type acceptThrottle struct {
	examined   int
	batchStart time.Time
	pauseEnd   time.Time // of the pause after the batch; zero: it has not begun
}

// pause returns for how long no connection is to be examined. After each batch that is as long as
// the batch took.
func (t *acceptThrottle) pause(now time.Time) time.Duration {
	if t.examined == 0 || t.examined%throttleBatch != 0 {
		return 0
	}
	if t.pauseEnd.IsZero() {
		t.pauseEnd = now.Add(now.Sub(t.batchStart))
	}
	return t.pauseEnd.Sub(now)
}

// count is called before each connection that is examined.
func (t *acceptThrottle) count(now time.Time) {
	if t.examined%throttleBatch == 0 {
		t.batchStart = now
		t.pauseEnd = time.Time{}
	}
	t.examined++
}
