// Package upstream performs one HTTP/1.1 exchange with a backend server and reports its
// outcome. It never retries. Responses are matched by the attempt's ID; a connection that
// delivered anything but one complete response is closed.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/dial"
)

const (
	// dialTimeout allows for data centres about a millisecond apart.
	dialTimeout = 400 * time.Millisecond
	// idleLimit is how long an idle connection is kept when the server announces no limit.
	idleLimit = 20 * time.Second
	// atMostOnceIdleLimit is the longest idle time of a connection that may carry a request
	// that must not run twice. The longer a connection was idle, the likelier the server is
	// closing it.
	atMostOnceIdleLimit = 4 * time.Second
	// expiryMargin is subtracted from the idle timeout that a server announces.
	expiryMargin   = 300 * time.Millisecond
	readBufferSize = 4 << 10
)

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	Memory *bounded.Budget // for long heads and events; nil: no limit

	dialer   *net.Dialer
	now      func() time.Time
	mu       sync.Mutex
	byServer map[routing.Identity]*serverConns
	dials    int64 // connections opened, for the metrics
	stalls   stallDetector
}

// serverConns are the connections to one start of a server.
type serverConns struct {
	idle  []*conn // most recently used last
	open  int     // with those that are being opened
	conns map[*conn]struct{}
	// rejectedAt is when the server last closed a new connection before a request; zero: never.
	rejectedAt time.Time
}

// NewPool returns an empty pool that measures idle times with the clock now.
func NewPool(now func() time.Time) *Pool {
	return &Pool{now: now, byServer: map[routing.Identity]*serverConns{}, dialer: dial.Dialer(dialTimeout), stalls: stallDetector{now: now}}
}

// get returns a connection to the server: an idle one that is still usable, or a new one if
// fewer than limit are open (0: no limit).
func (p *Pool) get(ctx context.Context, id routing.Identity, addr string, limit int, atMostOnce bool) (*conn, error) {
	if c := p.takeIdle(id, atMostOnce); c != nil {
		return c, nil
	}
	return p.open(ctx, id, addr, limit)
}

// takeIdle returns an idle connection to the server that is still usable, or nil.
func (p *Pool) takeIdle(id routing.Identity, atMostOnce bool) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	if s == nil {
		return nil
	}
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if c.usable(now, atMostOnce) {
			return c
		}
		p.closeConn(id, c)
	}
	return nil
}

// open returns a new connection to the server, unless limit (0: none) are open. The error is ErrRejected
// if the server resets the connection at once.
func (p *Pool) open(ctx context.Context, id routing.Identity, addr string, limit int) (*conn, error) {
	if !p.reserveSlot(id, limit) {
		return nil, ErrConnLimit
	}
	begin := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		p.releaseSlot(id)
		if errors.Is(err, syscall.ECONNRESET) {
			p.noteRejection(id)
			return nil, ErrRejected
		}
		return nil, err
	}
	c := &conn{Conn: raw, dialTime: time.Since(begin), reserved: bounded.Reservation{Budget: p.Memory}}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byServer[id].conns[c] = struct{}{}
	return c, nil
}

// reserveSlot counts a connection that is being opened, unless limit are open.
func (p *Pool) reserveSlot(id routing.Identity, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	if s == nil {
		s = &serverConns{conns: map[*conn]struct{}{}}
		p.byServer[id] = s
	}
	if limit > 0 && s.open >= limit {
		return false
	}
	s.open++
	p.dials++
	return true
}

// openConns returns the connections to the server, idle or not.
func (p *Pool) openConns(id routing.Identity) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	if s == nil {
		return nil
	}
	return slices.Collect(maps.Keys(s.conns))
}

// usable reports whether an idle connection may carry another request.
func (c *conn) usable(now time.Time, atMostOnce bool) bool {
	idle := now.Sub(c.idleSince)
	if idle > idleLimit || atMostOnce && idle > atMostOnceIdleLimit {
		return false
	}
	if !c.expires.IsZero() && now.After(c.expires) {
		return false
	}
	return c.noInput()
}

// putIdle returns a connection to the pool after a complete exchange. idleTimeout is the one
// that the server announced; 0: none.
func (p *Pool) putIdle(id routing.Identity, c *conn, idleTimeout time.Duration) {
	now := p.now()
	c.reused = true
	c.idleSince = now
	c.expires = time.Time{}
	if idleTimeout > 0 {
		c.expires = now.Add(idleTimeout - expiryMargin)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	if s == nil || c.br.Buffered() > 0 {
		p.closeConn(id, c)
		return
	}
	c.shrinkBuffer()
	s.idle = append(s.idle, c)
	if s.rejects(now) {
		p.expireWithin(id, c, rejectedIdleLimit)
	}
}

// discard closes a connection that is not reusable.
func (p *Pool) discard(id routing.Identity, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConn(id, c)
}

// closeConn closes the connection. The caller holds the lock.
func (p *Pool) closeConn(id routing.Identity, c *conn) {
	_ = c.Close()
	c.reserved.Release()
	if s := p.byServer[id]; s != nil {
		s.open--
		delete(s.conns, c)
	}
}

// releaseSlot stops counting a connection that failed to open.
func (p *Pool) releaseSlot(id routing.Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byServer[id]; s != nil {
		s.open--
	}
}

// CloseIdleSince closes the idle connections to the server that have not been used after
// since, the moment at which the server fell silent on another connection. All connections
// from one host may go silent for good at once while new ones work, and a request on each
// would be lost.
func (p *Pool) CloseIdleSince(id routing.Identity, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byServer[id]
	if s == nil {
		return
	}
	p.closeIdle(id, s, func(c *conn) bool { return !c.idleSince.After(since) })
}

// closeIdle closes the idle connections to the server for which end is true. The caller holds the lock.
func (p *Pool) closeIdle(id routing.Identity, s *serverConns, end func(*conn) bool) {
	kept := s.idle[:0]
	for _, c := range s.idle {
		if end(c) {
			p.closeConn(id, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(s.idle[len(kept):])
	s.idle = kept
}

// Dials returns how many connections were opened since the start.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Prune closes the idle connections to servers for which keep is false, and those that have
// been idle for too long.
func (p *Pool) Prune(keep func(id routing.Identity) bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.byServer {
		p.closeIdle(id, s, func(c *conn) bool {
			return !keep(id) || now.Sub(c.idleSince) > idleLimit || !c.expires.IsZero() && !now.Before(c.expires)
		})
		if !keep(id) && s.open <= 0 {
			delete(p.byServer, id)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Prune(func(routing.Identity) bool { return false }) }
