package relay

import (
	"encoding/binary"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstByteTimeout is how long a caller may take to send the first byte. The receiver, which
	// knows the configured limit, limits the rest of the request.
	firstByteTimeout = 5 * time.Second
	// drainTimeout is how long the rest of a request is read after the answer: closing a connection
	// with unread bytes resets it, and the caller loses the answer.
	drainTimeout = 300 * time.Millisecond
	// finishTimeout is how long a caller may take to read the rest of an answer that its receiver has
	// ended, at most StreamWindow bytes.
	finishTimeout = 10 * time.Second
	// scanInterval is how often overdue streams are looked for.
	scanInterval = 100 * time.Millisecond
	// windowUpdate is how many bytes are written to a caller before its receiver is told: a short
	// answer needs no update.
	windowUpdate = StreamWindow / 4
	// maxFreeBuffers bounds the buffers that are kept for reuse.
	maxFreeBuffers = 64
)

// badGateway answers a request that may have run.
const badGateway = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// senderStream is a caller's connection that is relayed.
type senderStream struct {
	fd          int
	tunnel      *senderTunnel // nil: its receiver has ended the stream, or the tunnel broke
	id          uint32        // 0: nothing of it has been put into the tunnel
	out         []byte        // bytes for the caller
	unconfirmed int           // bytes received since the last FrameWindow
	written     int           // of those, bytes written to the caller
	interest    uint32        // watched events
	deadline    time.Time     // the connection is dropped then; zero: never
	answered    bool          // a byte of the answer has arrived
	callerEOF   bool          // the caller has closed its sending side
	finishing   bool          // the connection is closed once out is written
	shut        bool          // the sending side is shut down; the caller's last bytes are drained
	dirty       bool          // is in Sender.dirty
	closed      bool
}

// addStream takes over a caller's connection.
func (s *Sender) addStream(a arrival) {
	s.Stats.Streams.Add(1)
	st := &senderStream{fd: a.fd, tunnel: s.byState[a.tunnel], interest: syscall.EPOLLIN, deadline: a.at.Add(firstByteTimeout)}
	s.streams[int32(a.fd)] = st
	if err := s.register(a.fd, st.interest); err != nil {
		s.drop(st)
		return
	}
	if st.tunnel == nil {
		s.reassign(st, a.at) // the tunnel broke before this round
	}
}

// reassign gives a stream of which nothing was sent to another tunnel. Without one the connection
// is closed unread, which tells the caller that its request has not run.
func (s *Sender) reassign(st *senderStream, now time.Time) {
	s.mu.Lock()
	if st.tunnel != nil {
		s.pool.Unassign(st.tunnel.state)
	}
	state := s.pool.Assign(now)
	s.mu.Unlock()
	st.tunnel = s.byState[state]
	if st.tunnel == nil {
		s.drop(st)
	}
}

// handleCaller handles events of a caller's connection.
func (s *Sender) handleCaller(st *senderStream, events uint32, now time.Time) {
	if events&syscall.EPOLLOUT != 0 {
		s.watch(st, st.interest&^syscall.EPOLLOUT)
		s.write(st, now)
	}
	broken := events&(syscall.EPOLLERR|syscall.EPOLLHUP) != 0
	switch {
	case st.closed:
	case broken && st.callerEOF:
		s.callerBroke(st)
	case broken || events&syscall.EPOLLIN != 0:
		s.read(st)
	}
}

// read reads what has arrived from a caller.
func (s *Sender) read(st *senderStream) {
	if st.tunnel != nil && st.tunnel.blocked {
		return
	}
	n, err := syscall.Read(st.fd, s.callerBuf)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
	case err != nil:
		s.callerBroke(st)
	case n == 0:
		s.callerClosed(st)
	case st.tunnel != nil:
		s.send(st, s.callerBuf[:n])
	}
}

// send puts bytes of a caller into its tunnel.
func (s *Sender) send(st *senderStream, b []byte) {
	t := st.tunnel
	frame := FrameData
	if st.id == 0 {
		frame = FrameOpen
		t.lastID++
		st.id = t.lastID
		t.streams[st.id] = st
		st.deadline = time.Time{}
	}
	s.Stats.BytesSent.Add(int64(len(b)))
	t.out = AppendFrame(t.out, frame, st.id, b)
	s.setBlocked(t)
}

// callerClosed handles the end of what a caller sends.
func (s *Sender) callerClosed(st *senderStream) {
	if st.shut || st.tunnel != nil && st.id == 0 {
		s.closeCaller(st)
		return
	}
	st.callerEOF = true
	s.watch(st, st.interest&^syscall.EPOLLIN)
	if st.tunnel != nil {
		st.tunnel.out = AppendFrame(st.tunnel.out, FrameClose, st.id, nil)
	}
}

// callerBroke handles a caller whose connection broke.
func (s *Sender) callerBroke(st *senderStream) {
	if !st.shut {
		s.Stats.CallerLeft.Add(1)
	}
	s.abandon(st)
	s.closeCaller(st)
}

// abandon tells the receiver that the caller's connection is broken.
func (s *Sender) abandon(st *senderStream) {
	if st.tunnel == nil || st.id == 0 {
		return
	}
	st.tunnel.out = AppendFrame(st.tunnel.out, FrameReset, st.id, nil)
	s.endStream(st)
}

// endStream detaches a stream from its tunnel.
func (s *Sender) endStream(st *senderStream) {
	delete(st.tunnel.streams, st.id)
	s.mu.Lock()
	s.pool.StreamEnded(st.tunnel.state)
	s.mu.Unlock()
	st.tunnel = nil
}

// receive takes bytes of an answer. It fails if the receiver has exceeded the stream's window.
func (s *Sender) receive(st *senderStream, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	st.unconfirmed += len(b)
	if st.unconfirmed > StreamWindow {
		return &FrameError{Type: FrameData, Length: len(b)}
	}
	st.answered = true
	s.Stats.BytesReceived.Add(int64(len(b)))
	s.append(st, b)
	if s.pending > s.MaxPending {
		s.dropSlowest()
	}
	return nil
}

// append adds bytes for a caller, which are written at the end of the round.
func (s *Sender) append(st *senderStream, b []byte) {
	if st.out == nil && len(s.freeBuffers) > 0 {
		last := len(s.freeBuffers) - 1
		st.out = s.freeBuffers[last]
		s.freeBuffers = s.freeBuffers[:last]
	}
	st.out = append(st.out, b...)
	s.pending += len(b)
	s.markDirty(st)
}

// markDirty has the stream looked at at the end of the round.
func (s *Sender) markDirty(st *senderStream) {
	if !st.dirty {
		st.dirty = true
		s.dirty = append(s.dirty, st)
	}
}

// finish closes a caller's connection once it has been sent what is pending.
func (s *Sender) finish(st *senderStream, now time.Time) {
	st.finishing = true
	st.deadline = now.Add(finishTimeout)
	s.markDirty(st)
}

// writeCallers writes the bytes for callers that came in this round.
func (s *Sender) writeCallers(now time.Time) {
	for _, st := range s.dirty {
		st.dirty = false
		if !st.closed && st.interest&syscall.EPOLLOUT == 0 {
			s.write(st, now)
		}
	}
	clear(s.dirty)
	s.dirty = s.dirty[:0]
}

// write writes what is pending for a caller, and ends the connection if that was the last of it.
func (s *Sender) write(st *senderStream, now time.Time) {
	if len(st.out) > 0 {
		n, err := st.writeOut()
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			n = 0
		case err != nil:
			s.callerBroke(st)
			return
		}
		s.pending -= n
		st.out = st.out[:copy(st.out, st.out[n:])]
		s.confirm(st, n)
	}
	switch {
	case len(st.out) > 0:
		s.watch(st, st.interest|syscall.EPOLLOUT)
	case st.finishing && !st.shut:
		s.freeBuffer(st)
		s.shut(st, now)
	default:
		s.freeBuffer(st)
	}
}

// writeOut writes what is pending. The last bytes wait for the end of the connection, which leaves in
// the same packet.
func (st *senderStream) writeOut() (int, error) {
	if st.finishing {
		return unix.SendmsgN(st.fd, st.out, nil, nil, unix.MSG_MORE)
	}
	return syscall.Write(st.fd, st.out)
}

// confirm allows the receiver to send as many bytes as were written.
func (s *Sender) confirm(st *senderStream, n int) {
	st.written += n
	if st.tunnel == nil || st.written < windowUpdate {
		return
	}
	st.tunnel.out = AppendFrame(st.tunnel.out, FrameWindow, st.id, binary.BigEndian.AppendUint32(nil, uint32(st.written)))
	st.unconfirmed -= st.written
	st.written = 0
}

// shut shuts down the sending side of a connection whose answer has been written. It is closed
// when the caller has closed its side.
func (s *Sender) shut(st *senderStream, now time.Time) {
	st.shut = true
	st.deadline = now.Add(drainTimeout)
	if st.callerEOF || syscall.Shutdown(st.fd, syscall.SHUT_WR) != nil {
		s.closeCaller(st)
	}
}

// watch sets the events of a caller's connection that are watched.
func (s *Sender) watch(st *senderStream, events uint32) {
	if st.interest == events {
		return
	}
	st.interest = events
	// Fails only without kernel memory; the stream then ends with its tunnel or by its deadline.
	_ = syscall.EpollCtl(s.epoll, syscall.EPOLL_CTL_MOD, st.fd, &syscall.EpollEvent{Events: events, Fd: int32(st.fd)})
}

// freeBuffer keeps an empty buffer for reuse.
func (s *Sender) freeBuffer(st *senderStream) {
	if cap(st.out) > 0 && len(s.freeBuffers) < maxFreeBuffers {
		s.freeBuffers = append(s.freeBuffers, st.out[:0])
	}
	st.out = nil
}

// resetCaller closes a caller's connection so that what it got does not look complete.
func (s *Sender) resetCaller(st *senderStream) {
	// Without it the caller gets a clean end; nothing better is left then.
	_ = syscall.SetsockoptLinger(st.fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	s.closeCaller(st)
}

// closeCaller closes a caller's connection, which must be detached from its tunnel if the receiver
// knows it.
func (s *Sender) closeCaller(st *senderStream) {
	if st.closed {
		return
	}
	st.closed = true
	if st.tunnel != nil {
		s.mu.Lock()
		s.pool.Unassign(st.tunnel.state)
		s.mu.Unlock()
		st.tunnel = nil
	}
	s.pending -= len(st.out)
	s.freeBuffer(st)
	delete(s.streams, int32(st.fd))
	_ = syscall.Close(st.fd)
	s.open.Add(-1)
}

// drop ends a connection for a reason of this host's own.
func (s *Sender) drop(st *senderStream) {
	s.Stats.Dropped.Add(1)
	s.abandon(st)
	if st.answered {
		s.resetCaller(st)
		return
	}
	s.closeCaller(st)
}

// dropSlowest drops the connection for which most bytes are pending, to free memory.
func (s *Sender) dropSlowest() {
	var slowest *senderStream
	for _, st := range s.streams {
		if slowest == nil || len(st.out) > len(slowest.out) {
			slowest = st
		}
	}
	if slowest != nil {
		s.drop(slowest)
	}
}

// endOverdue ends the connections whose deadline has passed.
func (s *Sender) endOverdue(now time.Time) {
	if now.Sub(s.scannedAt) < scanInterval {
		return
	}
	s.scannedAt = now
	for _, st := range s.streams {
		switch {
		case st.deadline.IsZero() || now.Before(st.deadline):
		case st.shut:
			s.closeCaller(st)
		default:
			s.drop(st)
		}
	}
}
