package upstream

import (
	"errors"
	"os"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// A server that has all the connections that it accepts, from all routers together, resets further ones.
// Idle connections of one router then keep the others from the server.
const (
	// rejectionMemory is for how long a server that has rejected a connection counts as one that does.
	rejectionMemory = 10 * time.Second
	// rejectedIdleLimit is how long idle connections to such a server are kept.
	rejectedIdleLimit = 20 * time.Millisecond
	// probeIdleLimit is how long a connection that was opened to check a server is kept for the next
	// request. Before, the end of the response had freed its place for other routers at once.
	probeIdleLimit = 200 * time.Millisecond
	// acceptSlack is how long after a round trip a new connection is reset that the server does not
	// accept; acceptWait is for servers that have rejected one lately.
	acceptSlack = 500 * time.Microsecond
	acceptWait  = 5 * time.Millisecond
)

// rejects reports whether the server has lately rejected a connection.
func (s *serverConns) rejects(now time.Time) bool {
	return !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) < rejectionMemory
}

// rejects reports whether the server has lately closed a new connection before a request.
func (p *Pool) rejects(id routing.Identity) bool {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	return s != nil && s.rejects(now)
}

// noteRejection records that the server has closed a new connection before a request, and gives up its
// idle ones.
func (p *Pool) noteRejection(id routing.Identity) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	if s != nil {
		p.setRejected(id, s, now)
	}
}

// setRejected is noteRejection for a caller that holds the lock.
func (p *Pool) setRejected(id routing.Identity, s *serverConns, now time.Time) {
	s.rejectedAt = now
	for _, c := range s.idle {
		p.expireWithin(id, c, rejectedIdleLimit)
	}
}

// expireWithin closes an idle connection after the limit, unless it is used before that. The caller holds
// the lock.
func (p *Pool) expireWithin(id routing.Identity, c *conn, limit time.Duration) {
	expires := p.now().Add(limit)
	if !c.expires.IsZero() && c.expires.Before(expires) {
		return
	}
	c.expires = expires
	time.AfterFunc(limit, func() { p.closeExpired(id) })
}

// closeExpired closes the idle connections to the server that have expired.
func (p *Pool) closeExpired(id routing.Identity) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	if s == nil {
		return
	}
	p.closeIdle(id, s, func(c *conn) bool { return !c.probing && !c.expires.IsZero() && !now.Before(c.expires) })
}

// beginProbe makes the connection of a probe available to the next request.
func (p *Pool) beginProbe(id routing.Identity, c *conn) {
	p.mu.Lock()
	c.probing = true
	p.mu.Unlock()
	p.putIdle(id, c, 0)
}

// endProbe ends the probe on a connection. If no request uses it, it is kept for a short time, or closed if
// the server rejects connections.
func (p *Pool) endProbe(id routing.Identity, c *conn) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.probing = false
	s := p.byServer[id]
	if s == nil || !slices.Contains(s.idle, c) {
		return
	}
	if s.rejects(now) {
		p.closeIdle(id, s, func(other *conn) bool { return other == c })
		return
	}
	p.expireWithin(id, c, probeIdleLimit)
}

// noteProbeClosed records that the connection of a probe was closed: a rejection unless a request has used
// it.
func (p *Pool) noteProbeClosed(id routing.Identity, c *conn) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	if s != nil && slices.Contains(s.idle, c) {
		p.setRejected(id, s, now)
	}
}

// acceptWaitOf returns how long to wait for the rejection of a new connection before the request is sent
// on it. A request that may be repeated waits only at a server that has rejected one lately.
func (p *Pool) acceptWaitOf(call Call, c *conn) time.Duration {
	switch {
	case c.reused:
		return 0
	case p.rejects(call.Server):
		return acceptWait
	case call.AtMostOnce:
		return min(c.dialTime+acceptSlack, acceptWait)
	}
	return 0
}

// rejected reports whether the server closes a new connection, as one does that has all that it accepts,
// before a request is sent on it. A request that was not sent can't have run.
func (c *conn) rejected(wait time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return true
	}
	if _, err := c.br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return true // closed, or there are bytes that belong to no request
	}
	return c.SetReadDeadline(time.Time{}) != nil
}
