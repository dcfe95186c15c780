package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/offload"
	"github.com/windscale/windscale/internal/dial"
	"github.com/windscale/windscale/internal/events"
)

// inboundBufferSize is the size of the read buffer of a tunnel, which holds the longest frame. Many
// small ones are read at once.
const inboundBufferSize = 64 << 10

// switchingProtocols is the response that accepts a tunnel.
const switchingProtocols = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"

// inboundTunnel is a tunnel that another host has opened.
type inboundTunnel struct {
	receiver *Receiver
	sender   string // its control address
	conn     net.Conn
	in       *bufio.Reader
	out      *outbox
	credit   *offload.InboundTunnel // guarded by the receiver's lock

	mu      sync.Mutex
	streams map[uint32]*Conn
}

// newInboundTunnel returns a tunnel on a hijacked connection, of which buffered holds bytes read in
// advance.
func newInboundTunnel(r *Receiver, conn net.Conn, buffered *bufio.Reader, sender string) *inboundTunnel {
	ahead, _ := buffered.Peek(buffered.Buffered()) // can't fail: the bytes are there
	in := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(ahead), conn), inboundBufferSize)
	return &inboundTunnel{receiver: r, sender: sender, conn: conn, in: in, out: newOutbox(), streams: map[uint32]*Conn{}}
}

// serve accepts the tunnel and reads its frames until it is closed.
func (t *inboundTunnel) serve() {
	defer func() { _ = t.conn.Close() }()
	if err := t.accept(); err != nil || !t.receiver.add(t) {
		return
	}
	events.RelayTunnelOpened.Log(context.Background(), t.receiver.config.Log, slog.LevelInfo, "sender", t.sender)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = t.out.writeAll(t.conn) // a failure ends the reader too, which logs it
		_ = t.conn.Close()
	}()
	err := t.readFrames()
	t.out.close()
	cut := t.resetStreams()
	<-written
	t.receiver.remove(t)
	events.RelayTunnelClosed.Log(context.Background(), t.receiver.config.Log, slog.LevelInfo, "sender", t.sender, "streams", cut, "err", err)
}

// accept sends the response that accepts the tunnel.
func (t *inboundTunnel) accept() error {
	if err := t.conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if c, ok := t.conn.(*net.TCPConn); ok {
		if err := dial.DetectSilence(c); err != nil {
			return err
		}
	}
	_, err := io.WriteString(t.conn, switchingProtocols)
	return err
}

// resetStreams resets the open streams and returns their number.
func (t *inboundTunnel) resetStreams() int {
	t.mu.Lock()
	open := make([]*Conn, 0, len(t.streams))
	for _, c := range t.streams {
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
	return len(open)
}

// readFrames handles frames until the tunnel is closed or a frame is malformed.
func (t *inboundTunnel) readFrames() error {
	for {
		head, err := t.in.Peek(HeaderSize)
		if err != nil {
			return err
		}
		h, err := ParseHeader(head)
		if err != nil {
			return err
		}
		frame, err := t.in.Peek(HeaderSize + h.Length)
		if err != nil {
			return err
		}
		if err := t.handle(h, frame[HeaderSize:]); err != nil {
			return err
		}
		if _, err := t.in.Discard(len(frame)); err != nil {
			return err
		}
	}
}

// handle handles a frame. Frames of streams that have ended are ignored.
func (t *inboundTunnel) handle(h Header, payload []byte) error {
	t.mu.Lock()
	c := t.streams[h.Stream]
	t.mu.Unlock()
	if h.Type == FrameOpen || h.Type == FrameData {
		t.receiver.stats.bytesReceived.Add(int64(h.Length))
	}
	switch {
	case h.Type == FrameOpen && c == nil:
		t.open(h.Stream, payload)
	case h.Type == FrameOpen, h.Type == FrameCredit, h.Type == FrameGoAway, h.Type == FrameWindow && h.Length != countSize:
		return &FrameError{Type: h.Type, Length: h.Length}
	case c == nil:
	case h.Type == FrameData:
		c.received(payload)
	case h.Type == FrameClose:
		c.callerClosed()
	case h.Type == FrameReset:
		c.reset()
	case h.Type == FrameWindow:
		c.confirmed(binary.BigEndian.Uint32(payload))
	}
	return nil
}

// open begins a stream, whose first bytes are already there.
func (t *inboundTunnel) open(id uint32, first []byte) {
	c := newConn(t, id)
	t.mu.Lock()
	t.streams[id] = c
	t.mu.Unlock()
	t.receiver.streamOpened(t)
	c.received(first)
	t.receiver.enqueue(c)
}

// remove removes a stream that has ended on this host.
func (t *inboundTunnel) remove(id uint32) {
	t.mu.Lock()
	delete(t.streams, id)
	t.mu.Unlock()
	t.receiver.streamClosed(t)
}

// grant sends the total number of streams that the sender may have opened.
func (t *inboundTunnel) grant(total uint32) {
	var payload [4]byte
	binary.BigEndian.PutUint32(payload[:], total)
	t.out.add(FrameCredit, 0, payload[:])
}
