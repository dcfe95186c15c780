package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/core/offload"
	"github.com/windscale/windscale/internal/dial"
	"github.com/windscale/windscale/internal/events"
)

const (
	// openTimeout limits the time for opening a tunnel. Hosts of a data centre are less than a
	// millisecond apart.
	openTimeout = time.Second
	// maxUpgradeHead bounds the head of the response that opens a tunnel, with the frames that are read
	// with it.
	maxUpgradeHead = 4 << 10
	// maxTunnelPending is how many bytes may wait to be written to a tunnel. Above it its callers are
	// not read.
	maxTunnelPending = 256 << 10
	// maxTunnelReads bounds how often a tunnel is read in a round, so that none holds up the others.
	maxTunnelReads = 4
)

// senderTunnel is a tunnel to a receiver.
type senderTunnel struct {
	addr    string
	fd      int
	state   *offload.Tunnel
	in      []byte // an incomplete frame
	out     []byte // frames to be written
	lastID  uint32 // of a stream
	streams map[uint32]*senderStream
	blocked bool // maxTunnelPending is exceeded
	closed  bool
}

// UpgradeError means that a router did not accept a tunnel.
type UpgradeError struct{ Status int }

// Error implements error.
func (e *UpgradeError) Error() string {
	return fmt.Sprintf("relay tunnel refused with status %d", e.Status)
}

// ClosedError means that a receiver closed its tunnel.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "relay tunnel closed by the receiver" }

// dial opens a tunnel and hands it to the next round.
func (s *Sender) dial(ctx context.Context, addr string) {
	fd, in, err := openTunnel(ctx, s.Self, addr)
	if err != nil && ctx.Err() == nil {
		events.RelayTunnelFailed.Log(ctx, s.Log, slog.LevelWarn, "receiver", addr, "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.pool.DialFailed(addr, time.Now())
		return
	}
	t := &senderTunnel{addr: addr, fd: fd, in: in, state: s.pool.Connected(addr, time.Now()), streams: map[uint32]*senderStream{}}
	s.dialled = append(s.dialled, t)
	s.wakeRun()
}

// openTunnel opens a tunnel and returns its descriptor, which is non-blocking and unknown to the
// Go runtime, and the bytes that were already read from it.
func openTunnel(ctx context.Context, self, addr string) (fd int, in []byte, err error) {
	c, err := dial.Dialer(openTimeout).DialContext(ctx, "tcp4", addr)
	if err != nil {
		return -1, nil, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		return -1, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path, nil)
	if err != nil {
		return -1, nil, err
	}
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", Protocol)
	r.Header.Set(HeaderSender, self)
	if err := r.Write(c); err != nil {
		return -1, nil, err
	}
	limited := &io.LimitedReader{R: c, N: maxUpgradeHead}
	buffered := bufio.NewReaderSize(limited, maxUpgradeHead)
	resp, err := http.ReadResponse(buffered, r)
	switch {
	case err == nil:
		err = intake.CheckHead(resp.StatusCode, resp.Header)
	case limited.N == 0:
		err = &intake.LimitError{Bound: intake.BoundHead, Limit: maxUpgradeHead}
	}
	if err != nil {
		return -1, nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return -1, nil, &UpgradeError{Status: resp.StatusCode}
	}
	in = make([]byte, buffered.Buffered())
	if _, err := io.ReadFull(buffered, in); err != nil {
		return -1, nil, err
	}
	fd, err = duplicate(c)
	return fd, in, err
}

// duplicate returns a new descriptor of the connection.
func duplicate(c net.Conn) (fd int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return -1, syscall.ENOTSOCK
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1, err
	}
	var dupErr error
	err = raw.Control(func(old uintptr) { fd, dupErr = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) })
	if err != nil {
		return -1, err
	}
	return fd, dupErr
}

// addTunnel takes over a tunnel that has been opened.
func (s *Sender) addTunnel(t *senderTunnel) {
	now := time.Now()
	s.tunnels[int32(t.fd)] = t
	s.byState[t.state] = t
	if err := s.register(t.fd, syscall.EPOLLIN); err != nil {
		s.failTunnel(t, err, now)
		return
	}
	events.RelayTunnelOpened.Log(context.Background(), s.Log, slog.LevelInfo, "receiver", t.addr, "tunnels", len(s.tunnels))
	s.handleBytes(t, t.in, now)
}

// register adds a descriptor to those that are watched.
func (s *Sender) register(fd int, events uint32) error {
	return syscall.EpollCtl(s.epoll, syscall.EPOLL_CTL_ADD, fd, &syscall.EpollEvent{Events: events, Fd: int32(fd)})
}

// readTunnel handles the frames that have arrived on a tunnel.
func (s *Sender) readTunnel(t *senderTunnel, now time.Time) {
	for range maxTunnelReads {
		held := copy(s.tunnelBuf, t.in)
		space := s.tunnelBuf[held:]
		n, err := syscall.Read(t.fd, space)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			return
		case err != nil:
			s.failTunnel(t, err, now)
			return
		case n == 0:
			s.failTunnel(t, &ClosedError{}, now)
			return
		}
		s.mu.Lock()
		s.pool.Received(t.state)
		s.mu.Unlock()
		s.handleBytes(t, s.tunnelBuf[:held+n], now)
		if t.closed || n < len(space) {
			return
		}
	}
}

// handleBytes handles the complete frames in b and keeps the rest.
func (s *Sender) handleBytes(t *senderTunnel, b []byte, now time.Time) {
	for len(b) >= HeaderSize {
		h, err := ParseHeader(b)
		if err == nil && len(b) < HeaderSize+h.Length {
			break
		}
		if err == nil {
			err = s.handleFrame(t, h, b[HeaderSize:HeaderSize+h.Length], now)
		}
		if err != nil {
			s.failTunnel(t, err, now)
			return
		}
		b = b[HeaderSize+h.Length:]
	}
	t.in = append(t.in[:0], b...)
}

// handleFrame handles a frame of the receiver.
func (s *Sender) handleFrame(t *senderTunnel, h Header, payload []byte, now time.Time) error {
	st := t.streams[h.Stream] // nil: the stream has ended here
	switch h.Type {
	case FrameCredit:
		if len(payload) != countSize {
			return &FrameError{Type: h.Type, Length: h.Length}
		}
		s.mu.Lock()
		s.pool.SetCredit(t.state, binary.BigEndian.Uint32(payload))
		s.mu.Unlock()
	case FrameGoAway:
		s.goAway(t, now)
	case FrameData:
		if st != nil {
			return s.receive(st, payload)
		}
	case FrameClose:
		if st != nil {
			s.endStream(st)
			s.finish(st, now)
		}
	case FrameReset:
		if st != nil {
			s.receiverReset(st)
		}
	default:
		return &FrameError{Type: h.Type, Length: h.Length}
	}
	return nil
}

// receiverReset ends a stream that its receiver has reset, perhaps because the caller left.
func (s *Sender) receiverReset(st *senderStream) {
	if st.callerEOF {
		s.Stats.CallerLeft.Add(1)
	} else {
		s.Stats.ReceiverReset.Add(1)
	}
	s.endStream(st)
	s.resetCaller(st)
}

// goAway stops opening streams on a tunnel.
func (s *Sender) goAway(t *senderTunnel, now time.Time) {
	s.mu.Lock()
	s.pool.GoAway(t.state)
	s.mu.Unlock()
	for _, st := range s.streams {
		if st.tunnel == t && st.id == 0 {
			s.reassign(st, now)
		}
	}
}

// writeTunnels writes the frames of this round.
func (s *Sender) writeTunnels(now time.Time) {
	for _, t := range s.tunnels {
		if len(t.out) == 0 {
			continue
		}
		n, err := syscall.Write(t.fd, t.out)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil:
			s.failTunnel(t, err, now)
			continue
		default:
			t.out = t.out[:copy(t.out, t.out[n:])]
		}
		s.setBlocked(t)
	}
}

// setBlocked records whether too many bytes wait to be written to a tunnel.
func (s *Sender) setBlocked(t *senderTunnel) {
	blocked := len(t.out) > maxTunnelPending
	if blocked == t.blocked {
		return
	}
	t.blocked = blocked
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetBlocked(t.state, blocked)
}

// failTunnel ends a tunnel that broke.
func (s *Sender) failTunnel(t *senderTunnel, err error, now time.Time) {
	s.mu.Lock()
	s.pool.Failed(t.state, now)
	s.mu.Unlock()
	s.closeTunnel(t, "broken", err, now)
}

// closeTunnel closes a tunnel that the pool has removed, and ends its streams: a caller that got no
// byte is told that its request may have run, and an answer in progress is reset, so that it does
// not look complete.
func (s *Sender) closeTunnel(t *senderTunnel, reason string, err error, now time.Time) {
	t.closed = true
	delete(s.tunnels, int32(t.fd))
	delete(s.byState, t.state)
	_ = syscall.Close(t.fd)
	events.RelayTunnelClosed.Log(context.Background(), s.Log, slog.LevelInfo, "receiver", t.addr, "why", reason, "err", err, "streams", len(t.streams), "tunnels", len(s.tunnels))
	for _, st := range s.streams {
		if st.tunnel != t {
			continue
		}
		switch {
		case st.id == 0:
			s.reassign(st, now)
		case st.answered:
			s.Stats.Cut.Add(1)
			s.endStream(st)
			s.resetCaller(st)
		default:
			s.Stats.Unanswered.Add(1)
			s.endStream(st)
			s.append(st, []byte(badGateway))
			s.finish(st, now)
		}
	}
}
