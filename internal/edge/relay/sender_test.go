package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/core/offload"
	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/test/flooder"
)

// testSender is a running sender and the listener of its callers.
type testSender struct {
	*Sender
	ln  net.Listener
	end func() // ends Run
}

func startSender(t testing.TB, maxStreams int, hosts ...*scriptedHost) *testSender {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testSender{ln: ln, Sender: NewSender(SenderConfig{
		Self: "127.0.0.1:1", Log: slog.New(slog.DiscardHandler), MaxStreams: maxStreams, MaxPending: 1 << 20,
		Candidates: func() (list []offload.Candidate) {
			for _, h := range hosts {
				list = append(list, offload.Candidate{Addr: h.addr, Cores: 1})
			}
			return list
		},
	})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx) // ends with the test
	}()
	s.end = func() {
		cancel()
		<-ended
	}
	t.Cleanup(func() {
		s.end()
		_ = ln.Close()
		assert.Equal(t, s.Open(), int64(0))
	})
	s.Needed(time.Second)
	return s
}

// connect returns a new caller's connection and the host's descriptor of it.
func (s *testSender) connect(t testing.TB) (caller *net.TCPConn, fd int) {
	t.Helper()
	c, err := net.Dial("tcp4", s.ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	raw, err := s.ln.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	edgetest.Until(t, "no connection arrives", func() bool {
		var acceptErr error
		assert.NilError(t, raw.Control(func(l uintptr) { fd, _, acceptErr = syscall.Accept4(int(l), syscall.SOCK_NONBLOCK) }))
		return acceptErr == nil
	})
	return c.(*net.TCPConn), fd
}

// relay connects a caller whose connection is relayed.
func (s *testSender) relay(t testing.TB, request string) *net.TCPConn {
	t.Helper()
	caller, fd := s.connect(t)
	edgetest.Until(t, "the connection is not relayed", func() bool { return s.Offer(fd) })
	_, err := io.WriteString(caller, request)
	assert.NilError(t, err)
	return caller
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

func TestAnswerIsDeliveredWhole(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(1)
	caller := s.relay(t, "request")
	stream := tunnel.expect(t, FrameOpen, "request")
	_, err := io.WriteString(caller, "rest")
	assert.NilError(t, err)
	assert.Equal(t, tunnel.expect(t, FrameData, "rest"), stream)
	for _, piece := range []string{answer[:10], answer[10:30], answer[30:]} {
		tunnel.send(t, FrameData, stream, piece)
		time.Sleep(roundInterval)
	}
	tunnel.send(t, FrameClose, stream, "")
	got, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Equal(t, string(got), answer)
	_ = caller.Close()
	edgetest.Until(t, "the connection is not closed", func() bool { return s.Open() == 0 })
	assert.Equal(t, s.Stats.Streams.Load(), int64(1))
	assert.Equal(t, s.Stats.BytesReceived.Load(), int64(len(answer)))
}

// An answer that its host gave without reading the whole request reaches the caller, although the rest
// of the request arrives later.
func TestAnswerBeforeEndOfRequestIsDelivered(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(1)
	caller := s.relay(t, "request")
	stream := tunnel.expect(t, FrameOpen, "request")
	tunnel.send(t, FrameData, stream, answer)
	tunnel.send(t, FrameClose, stream, "")
	_, err := io.WriteString(caller, strings.Repeat("x", 100<<10))
	assert.NilError(t, err)
	got, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Equal(t, string(got), answer)
}

// A tunnel that breaks before a byte of the answer: the request may have run.
func TestBrokenTunnelBeforeAnswerGivesBadGateway(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(1)
	caller := s.relay(t, "request")
	tunnel.expect(t, FrameOpen, "request")
	assert.NilError(t, tunnel.Close())
	got, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Equal(t, string(got), badGateway)
	assert.Equal(t, s.Stats.Unanswered.Load(), int64(1))
	assert.Equal(t, s.Tunnels(), 0)
}

// An answer that breaks off must not look complete.
func TestIncompleteAnswerIsReset(t *testing.T) {
	for name, end := range map[string]func(*scriptedTunnel, uint32){
		"tunnel breaks":   func(r *scriptedTunnel, _ uint32) { _ = r.Close() },
		"receiver resets": func(r *scriptedTunnel, stream uint32) { r.send(t, FrameReset, stream, "") },
	} {
		t.Run(name, func(t *testing.T) {
			host := newScriptedHost(t, "101 Switching Protocols")
			s := startSender(t, 10, host)
			tunnel := <-host.tunnels
			tunnel.credit.Store(1)
			caller := s.relay(t, "request")
			stream := tunnel.expect(t, FrameOpen, "request")
			tunnel.send(t, FrameData, stream, answer[:20])
			got := make([]byte, 20)
			_, err := io.ReadFull(caller, got)
			assert.NilError(t, err)
			end(tunnel, stream)
			_, err = caller.Read(got)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}

// A stream of which nothing was sent moves to another tunnel when its own breaks.
func TestStreamOfWhichNothingWasSentMoves(t *testing.T) {
	first, second := newScriptedHost(t, "101 Switching Protocols"), newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, first, second)
	broken, other := <-first.tunnels, <-second.tunnels
	broken.credit.Store(1)
	caller, fd := s.connect(t)
	edgetest.Until(t, "the connection is not relayed", func() bool { return s.Offer(fd) })
	other.credit.Store(1)
	edgetest.Until(t, "no credit", s.Relaying)
	assert.NilError(t, broken.Close())
	edgetest.Until(t, "the tunnel is not closed", func() bool { return s.Tunnels() == 1 })
	_, err := io.WriteString(caller, "request")
	assert.NilError(t, err)
	other.expect(t, FrameOpen, "request")
}

func TestSilentReceiverGetsNoNewStreams(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(10)
	caller := s.relay(t, "request")
	tunnel.expect(t, FrameOpen, "request")
	tunnel.silent.Store(true)
	edgetest.Until(t, "a silent receiver gets streams", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.Stats.Unanswered.Load() == 0 && !s.pool.HasCredit()
	})
	_, fd := s.connect(t)
	assert.Assert(t, !s.Offer(fd))
	assert.NilError(t, syscall.Close(fd))
	got, err := io.ReadAll(caller) // after a second of silence
	assert.NilError(t, err)
	assert.Equal(t, string(got), badGateway)
}

func TestCallerThatLeavesClosesItsStream(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(2)
	leaves := s.relay(t, "one")
	first := tunnel.expect(t, FrameOpen, "one")
	assert.NilError(t, leaves.Close())
	assert.Equal(t, tunnel.expect(t, FrameClose, ""), first)
	breaks := s.relay(t, "two")
	second := tunnel.expect(t, FrameOpen, "two")
	assert.NilError(t, breaks.SetLinger(0))
	assert.NilError(t, breaks.Close())
	assert.Equal(t, tunnel.expect(t, FrameReset, ""), second)
	tunnel.send(t, FrameClose, first, "")
	edgetest.Until(t, "a connection is left", func() bool { return s.Open() == 0 })
}

// A caller that does not read its answer delays nobody else, and its receiver is told of no more
// window than the caller has read.
func TestSlowReaderDelaysNobody(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(2)
	slow := s.relay(t, "slow")
	stream := tunnel.expect(t, FrameOpen, "slow")
	sent, window := 0, StreamWindow
	piece := strings.Repeat("x", windowUpdate)
	for { // until the caller's socket is full
		for ; window >= len(piece); window -= len(piece) {
			tunnel.send(t, FrameData, stream, piece)
			sent += len(piece)
		}
		assert.NilError(t, tunnel.SetReadDeadline(time.Now().Add(100*roundInterval)))
		var head [HeaderSize + countSize]byte
		if _, err := io.ReadFull(tunnel.in, head[:]); errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		assert.Equal(t, FrameType(head[0]), FrameWindow)
		window += int(binary.BigEndian.Uint32(head[HeaderSize:]))
	}
	assert.NilError(t, tunnel.SetReadDeadline(time.Time{}))
	other := s.relay(t, "other")
	stream2 := tunnel.expect(t, FrameOpen, "other")
	tunnel.send(t, FrameData, stream2, answer)
	tunnel.send(t, FrameClose, stream2, "")
	got, err := io.ReadAll(other)
	assert.NilError(t, err)
	assert.Equal(t, string(got), answer)
	tunnel.send(t, FrameClose, stream, "")
	n, err := io.Copy(io.Discard, slow)
	assert.NilError(t, err)
	assert.Equal(t, int(n), sent)
}

func TestNoCreditLeavesTheConnectionAlone(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 1, host)
	tunnel := <-host.tunnels
	_, fd := s.connect(t)
	defer func() { _ = syscall.Close(fd) }()
	assert.Assert(t, !s.Offer(fd))
	tunnel.credit.Store(5)
	s.relay(t, "request")
	tunnel.expect(t, FrameOpen, "request")
	assert.Assert(t, !s.Offer(fd), "more streams than allowed")
}

func TestStoppingReceiverKeepsItsStreams(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(10)
	caller := s.relay(t, "request")
	stream := tunnel.expect(t, FrameOpen, "request")
	tunnel.send(t, FrameGoAway, 0, "")
	edgetest.Until(t, "a stopping host gets streams", func() bool {
		s.Needed(time.Second)
		return !s.Relaying()
	})
	tunnel.send(t, FrameData, stream, answer)
	tunnel.send(t, FrameClose, stream, "")
	got, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Equal(t, string(got), answer)
	edgetest.Until(t, "the tunnel is not closed", func() bool {
		s.Needed(time.Second) // idle tunnels are kept meanwhile
		return s.Tunnels() == 0
	})
}

func TestReleaseThatCannotRelayIsLeftOut(t *testing.T) {
	host := newScriptedHost(t, "404 Not Found")
	s := startSender(t, 10, host)
	<-host.tunnels
	_, fd := s.connect(t)
	defer func() { _ = syscall.Close(fd) }()
	for range 20 {
		s.Needed(time.Second)
		assert.Assert(t, !s.Offer(fd))
		time.Sleep(readyInterval)
	}
	assert.Equal(t, len(host.tunnels), 0)
	assert.Equal(t, s.Tunnels(), 0)
}

func TestMalformedFrameBreaksTheTunnel(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	edgetest.Until(t, "the tunnel is not open", func() bool { return s.Tunnels() == 1 })
	tunnel.send(t, FrameOpen, 1, "only senders open streams")
	edgetest.Until(t, "the tunnel is kept", func() bool { return s.Tunnels() == 0 })
}

func TestDrainWaitsForStreams(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(10)
	caller := s.relay(t, "request")
	stream := tunnel.expect(t, FrameOpen, "request")
	left := make(chan int64, 1)
	go func() { left <- s.Drain(context.Background()) }()
	edgetest.Until(t, "a stopping sender takes connections", func() bool { return !s.Needed(time.Second) })
	time.Sleep(2 * readyInterval)
	assert.Equal(t, len(left), 0, "it does not wait")
	tunnel.send(t, FrameData, stream, answer)
	tunnel.send(t, FrameClose, stream, "")
	got, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Equal(t, string(got), answer)
	_ = caller.Close()
	assert.Equal(t, <-left, int64(0))
}

func TestEndOfProcessLeavesNoAnswerThatLooksComplete(t *testing.T) {
	host := newScriptedHost(t, "101 Switching Protocols")
	s := startSender(t, 10, host)
	tunnel := <-host.tunnels
	tunnel.credit.Store(10)
	unanswered, answered := s.relay(t, "one"), s.relay(t, "two")
	streams := map[string]uint32{}
	for range 2 {
		h, request := tunnel.next(t)
		streams[request] = h.Stream
	}
	tunnel.send(t, FrameData, streams["two"], answer[:20])
	begun := make([]byte, 20)
	_, err := io.ReadFull(answered, begun)
	assert.NilError(t, err)
	s.end()
	got, err := io.ReadAll(unanswered)
	assert.NilError(t, err)
	assert.Equal(t, string(got), badGateway)
	_, err = answered.Read(begun)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// A response with a blank in a field's name opens no tunnel.
func TestMalformedUpgradeResponseOpensNoTunnel(t *testing.T) {
	f := flooder.New(t, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: "+Protocol+"\r\nX-Crate Number: 7\r\n\r\n", "x")
	_, _, err := openTunnel(context.Background(), "127.0.0.1:1", f.Addr)
	assert.ErrorType(t, err, &intake.FieldNameError{})
	<-f.Closed
}

// Guards against a host that answers the upgrade without end.
func TestUpgradeResponseWithoutEndOpensNoTunnel(t *testing.T) {
	for _, beginning := range []string{"", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: "} {
		f := flooder.New(t, beginning, "x")
		_, _, err := openTunnel(context.Background(), "127.0.0.1:1", f.Addr)
		var limit *intake.LimitError
		assert.Assert(t, errors.As(err, &limit), "%v", err)
		<-f.Closed
		assert.Assert(t, f.Sent() < 16<<20, "%d bytes sent", f.Sent())
	}
}
