package link

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/pause"
)

// peer is what a link keeps for one other router.
type peer struct {
	link *Link
	id   msg.RouterID

	mu       sync.Mutex
	blocked  bool
	conns    []*connection // open, the newest last; more than one only briefly
	dialing  *dialAttempt  // nil when none is under way
	failures int           // in a row
	nextDial time.Time

	queue     []message
	queued    int // bytes in queue
	writing   bool
	lastFlush time.Time
}

// dialAttempt is one wait for a connection, shared by all who want it.
type dialAttempt struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error // valid after done
}

// open returns the open connections.
func (p *peer) open() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.conns)
}

// attach adds a new connection, unless the peer is blocked or the link has
// stopped. The newest is used for sending, so that a peer that restarted is
// reached at once.
func (p *peer) attach(q *quic.Conn, dialled bool) bool {
	conn := &connection{peer: p, quic: q, since: time.Now()}
	p.mu.Lock()
	if p.blocked || p.link.ctx.Err() != nil {
		p.mu.Unlock()
		return false
	}
	p.conns = append(p.conns, conn)
	if p.dialing != nil && !dialled {
		p.dialing.cancel()
	}
	conn.start()
	p.mu.Unlock()
	events.LinkUp.Log(p.link.ctx, p.link.log, slog.LevelDebug, "peer", p.id, "dialled", dialled)
	if p.link.config.Up != nil {
		p.link.config.Up(p.id)
	}
	return true
}

// detach forgets a connection that has ended.
func (p *peer) detach(conn *connection) {
	p.link.counters.retire(conn)
	p.mu.Lock()
	p.conns = slices.DeleteFunc(p.conns, func(c *connection) bool { return c == conn })
	if time.Since(conn.since) >= healthyAge {
		p.failures = 0
	} else {
		p.countFailure()
	}
	p.mu.Unlock()
	cause := context.Cause(conn.quic.Context())
	events.LinkDown.Log(p.link.ctx, p.link.log, slog.LevelInfo, "peer", p.id, "err", cause)
}

// countFailure sets the time of the next dial with full jitter. p.mu is held.
func (p *peer) countFailure() {
	backoff := min(backoffMin<<min(p.failures, 10), backoffMax)
	p.failures++
	p.nextDial = time.Now().Add(rand.N(backoff))
}

// closeAll ends the dial under way and closes every connection.
func (p *peer) closeAll(code quic.ApplicationErrorCode) {
	p.mu.Lock()
	dialing := p.dialing
	p.mu.Unlock()
	if dialing != nil {
		dialing.cancel()
	}
	for _, conn := range p.open() {
		conn.quic.CloseWithError(code, "")
	}
}

// setBlocked cuts the link to the peer, or lets it dial again at once.
func (p *peer) setBlocked(blocked bool) {
	p.mu.Lock()
	p.blocked = blocked
	p.failures = 0
	p.nextDial = time.Time{}
	p.mu.Unlock()
	if blocked {
		p.closeAll(codeBlocked)
	}
}

// connect returns the connection to send on, dialling if there is none.
// Errors are KindBlocked, KindClosed, KindTimeout, KindNoAddr,
// KindUnresolved and KindDial.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	for {
		conn, attempt, err := p.current()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-ctx.Done():
			return nil, &Error{Kind: KindTimeout, Peer: p.id, Err: context.Cause(ctx)}
		case <-attempt.done:
			if attempt.err != nil {
				return nil, attempt.err
			}
		}
	}
}

// current returns the newest open connection, or else the attempt to wait
// for, started if need be.
func (p *peer) current() (*connection, *dialAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked {
		return nil, nil, &Error{Kind: KindBlocked, Peer: p.id}
	}
	if p.link.ctx.Err() != nil {
		return nil, nil, &Error{Kind: KindClosed, Peer: p.id}
	}
	for _, conn := range slices.Backward(p.conns) {
		if conn.quic.Context().Err() == nil {
			return conn, nil, nil
		}
	}
	if p.dialing == nil {
		ctx, cancel := context.WithCancel(p.link.ctx)
		p.dialing = &dialAttempt{cancel: cancel, done: make(chan struct{})}
		attempt, wait := p.dialing, time.Until(p.nextDial)
		p.link.work.Go(func() { p.runDial(ctx, attempt, wait) })
	}
	return nil, p.dialing, nil
}

// runDial waits out the backoff, dials, and tells all who wait.
func (p *peer) runDial(ctx context.Context, attempt *dialAttempt, wait time.Duration) {
	defer attempt.cancel()
	var err error
	if pause.For(ctx, wait) {
		err = p.dialOnce(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	// A peer that connected to us meanwhile cancels our dial: no failure.
	if err != nil && len(p.conns) == 0 && p.link.ctx.Err() == nil {
		attempt.err = err
		p.link.counters.dialFailures.Add(1)
		p.logDialFailure(err)
		p.countFailure()
	}
	close(attempt.done)
}

// dialOnce dials the peer where it is now and attaches the connection.
func (p *peer) dialOnce(ctx context.Context) error {
	text, ok := p.link.config.Resolve(p.id)
	if !ok {
		return &Error{Kind: KindNoAddr, Peer: p.id}
	}
	addr, err := net.ResolveUDPAddr("udp", text)
	if err != nil {
		return &Error{Kind: KindUnresolved, Peer: p.id, Err: err}
	}
	p.link.counters.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tls := p.link.config.TLS.Current().Dialer(p.id, protocol)
	conn, err := p.link.transport.Dial(ctx, addr, tls, quicConfig())
	if err != nil {
		return &Error{Kind: KindDial, Peer: p.id, Err: err}
	}
	if !p.attach(conn, true) {
		conn.CloseWithError(codeBlocked, "")
		return &Error{Kind: KindBlocked, Peer: p.id}
	}
	return nil
}

// logDialFailure warns at the first failure of a row. p.mu is held.
func (p *peer) logDialFailure(err error) {
	level := slog.LevelDebug
	if p.failures == 0 {
		level = slog.LevelWarn
	}
	events.LinkDialFailed.Log(p.link.ctx, p.link.log, level, "peer", p.id, "err", err)
}

// sweep closes connections that are silent, those whose peer the CAs in force
// no longer trust, and all but the newest when there are several. Both sides
// dialling at once gives two; the router with the lower ID decides which stays,
// so that the two never close one each. It is called by the link's sweepLoop
// only.
func (p *peer) sweep(now time.Time) {
	conns := p.open()
	keep := higherCloses
	if p.link.config.ID < p.id {
		keep = lowerCloses
	}
	cred := p.link.config.TLS.Current()
	for i, conn := range conns {
		if !conn.trusted(cred) {
			p.link.refuse(conn.quic, p.id, codeRefused)
			continue
		}
		if conn.silent(now) {
			p.link.counters.silentClosed.Add(1)
			events.LinkPeerSilent.Log(p.link.ctx, p.link.log, slog.LevelWarn, "peer", p.id)
			conn.quic.CloseWithError(codeSilent, "")
			continue
		}
		newer := i + 1
		if newer < len(conns) && now.Sub(conns[newer].since) >= keep {
			conn.quic.CloseWithError(codeDuplicate, "")
		}
	}
}
