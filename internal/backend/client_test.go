package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/dispatch"
)

// script plays a server's side of one connection.
type script func(c net.Conn, r *bufio.Reader)

// server runs a script for each connection and counts the bytes it was sent.
type server struct {
	ln    net.Listener
	bytes atomic.Int64
	conns atomic.Int64
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func newServer(t *testing.T, s script) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	srv := &server{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			srv.conns.Add(1)
			counted := countingConn{c, &srv.bytes}
			go func() {
				defer c.Close()
				s(counted, bufio.NewReader(counted))
			}()
		}
	}()
	return srv
}

func (s *server) call() Call {
	return Call{
		Server:  dispatch.Server{ID: "s", Addr: s.ln.Addr().String()},
		Request: "req", Attempt: 2, Method: http.MethodPost, Path: "/x", Body: []byte("body"),
		Refused: []int{429, 503},
	}
}

// answering reads a request and writes raw bytes.
func answering(raw string) script {
	return func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, raw)
			if strings.Contains(raw, "X-Cut") {
				return
			}
		}
	}
}

func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// reset closes the connection so that the peer sees a reset.
func reset(c net.Conn) {
	_ = c.(countingConn).Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func do(t *testing.T, ctx context.Context, call Call) ([]byte, *Error) {
	t.Helper()
	client := New()
	t.Cleanup(client.Close)
	answer, failure := client.Do(ctx, call)
	if failure != nil {
		return nil, failure
	}
	defer answer.Close()
	body, whole, failure := answer.ReadUpTo(1 << 10)
	assert.Assert(t, whole || failure != nil)
	return body, failure
}

func TestOutcomeAtEachPoint(t *testing.T) {
	const own = "Windscale-Request: req\r\nWindscale-Attempt: 2\r\n"
	for _, c := range []struct {
		name    string
		script  script
		outcome attempt.Outcome
		stage   Stage
		cause   error
	}{
		{"within the request", func(c net.Conn, r *bufio.Reader) { _, _ = r.ReadByte(); reset(c) }, attempt.Unknown, StageSend, nil},
		{"after the request", func(_ net.Conn, r *bufio.Reader) { readRequest(r) }, attempt.Unknown, StageSend, nil},
		{"within the header", answering("HTTP/1.1 200 OK\r\nX-Cut: 1\r\nContent-Le"), attempt.Unknown, StageSend, nil},
		{"not HTTP", answering("hello X-Cut\r\n\r\n"), attempt.Unknown, StageSend, nil},
		{"two lengths", answering("HTTP/1.1 200 OK\r\nX-Cut: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), attempt.Unknown, StageSend, nil},
		{"busy", answering("HTTP/1.1 429 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"), attempt.Refused, StageStatus, ErrStatus},
		{"leaving", answering("HTTP/1.1 503 No\r\nWindscale-Leaving: true\r\nContent-Length: 0\r\n\r\n"), attempt.Refused, StageStatus, ErrStatus},
		{"another protocol", answering("HTTP/1.1 101 Switching Protocols\r\nX-Cut: 1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"), attempt.Unknown, StageHeader, ErrUpgrade},
		{"another request's", answering("HTTP/1.1 200 OK\r\nWindscale-Request: other\r\nWindscale-Attempt: 2\r\nContent-Length: 2\r\n\r\nok"), attempt.Unknown, StageHeader, ErrForeign},
		{"an earlier attempt's", answering("HTTP/1.1 200 OK\r\nWindscale-Request: req\r\nWindscale-Attempt: 1\r\nContent-Length: 2\r\n\r\nok"), attempt.Unknown, StageHeader, ErrForeign},
		{"after the header", answering("HTTP/1.1 200 OK\r\nX-Cut: 1\r\n" + own + "Content-Length: 2\r\n\r\n"), attempt.Unknown, StageBody, io.ErrUnexpectedEOF},
		{"within the body", answering("HTTP/1.1 200 OK\r\nX-Cut: 1\r\n" + own + "Content-Length: 2\r\n\r\no"), attempt.Unknown, StageBody, io.ErrUnexpectedEOF},
		{"within the chunks", answering("HTTP/1.1 200 OK\r\nX-Cut: 1\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), attempt.Unknown, StageBody, io.ErrUnexpectedEOF},
		{"no length", answering("HTTP/1.1 200 OK\r\nX-Cut: 1\r\n" + own + "\r\nok"), attempt.Unknown, StageBody, ErrUnframed},
		{"whole", answering("HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\n\r\nok"), 0, 0, nil},
		{"whole in chunks", answering("HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 0, 0, nil},
		{"names nothing", answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 0, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := newServer(t, c.script)
			body, failure := do(t, t.Context(), srv.call())
			if c.outcome == 0 {
				assert.Assert(t, failure == nil, "%v", failure)
				assert.Equal(t, string(body), "ok")
				return
			}
			assert.Assert(t, failure != nil)
			assert.Equal(t, failure.Outcome, c.outcome, "%v", failure)
			assert.Equal(t, failure.Stage, c.stage, "%v", failure)
			if c.cause != nil {
				assert.ErrorIs(t, failure, c.cause)
			}
			assert.Equal(t, failure.Leaving, c.name == "leaving")
			assert.Equal(t, failure.Busy, c.name == "busy")
			assert.Equal(t, srv.conns.Load(), int64(1))
		})
	}
}

func TestDialFailureIsNotSent(t *testing.T) {
	srv := newServer(t, nil)
	call := srv.call()
	assert.NilError(t, srv.ln.Close())
	_, failure := do(t, t.Context(), call)
	assert.Equal(t, failure.Outcome, attempt.NotSent)
	assert.Assert(t, failure.Leaving)
}

// lapsed is the error of a guard whose lease is over.
const lapsed Fault = "lapsed"

// A guard that refuses keeps every byte back, also on a connection that was
// used before.
func TestGuardKeepsTheRequestBack(t *testing.T) {
	srv := newServer(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	client := New()
	defer client.Close()
	for _, fresh := range []bool{true, false} {
		call := srv.call()
		call.NewConn = fresh
		answer, failure := client.Do(t.Context(), call)
		assert.Assert(t, failure == nil)
		_, _, failure = answer.ReadUpTo(10)
		assert.Assert(t, failure == nil)
		answer.Close()
		before := srv.bytes.Load()
		call.Guard = func() error { return lapsed }
		_, failure = client.Do(t.Context(), call)
		assert.Equal(t, failure.Outcome, attempt.NotSent)
		assert.ErrorIs(t, failure, lapsed)
		assert.Equal(t, srv.bytes.Load(), before)
	}
}

// net/http sends a GET again by itself when a kept connection breaks. Here that
// must not happen: the proxy decides, and an attempt's number is sent once.
func TestTransportSendsNothingTwice(t *testing.T) {
	var requests atomic.Int64
	srv := newServer(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			if requests.Add(1) > 1 {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := New()
	defer client.Close()
	call := srv.call()
	call.Method, call.Body = http.MethodGet, nil
	answer, failure := client.Do(t.Context(), call)
	assert.Assert(t, failure == nil)
	_, _, failure = answer.ReadUpTo(10)
	assert.Assert(t, failure == nil)
	answer.Close()
	_, failure = client.Do(t.Context(), call)
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Outcome, attempt.Unknown)
	assert.Equal(t, requests.Load(), int64(2))
}

// However a cancellation races with the sending, "not sent" is true.
func TestNotSentIsCertain(t *testing.T) {
	client := New()
	defer client.Close()
	outcomes := map[attempt.Outcome]int{}
	for i := range 300 {
		read := make(chan int64)
		srv := newServer(t, func(_ net.Conn, r *bufio.Reader) {
			n, _ := io.Copy(io.Discard, r)
			read <- n
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Duration(i) * time.Microsecond)
			cancel()
		}()
		call := srv.call()
		call.NewConn = true
		_, failure := client.Do(ctx, call)
		assert.Assert(t, failure != nil)
		outcomes[failure.Outcome]++
		_ = srv.ln.Close()
		select {
		case n := <-read:
			assert.Assert(t, n == 0 || failure.Outcome == attempt.Unknown, "%d bytes of a request not sent", n)
		case <-time.After(20 * time.Millisecond): // no connection was made
		}
	}
	t.Log(outcomes)
}

// A server that ends its side at once makes the outcome either; "not sent" is
// said only if it got no byte.
func TestServerThatEndsAtOnce(t *testing.T) {
	for range 50 {
		read := make(chan int64, 1)
		srv := newServer(t, func(c net.Conn, r *bufio.Reader) {
			_ = c.(countingConn).Conn.(*net.TCPConn).CloseWrite()
			n, _ := io.Copy(io.Discard, r)
			read <- n
		})
		_, failure := do(t, t.Context(), srv.call())
		assert.Assert(t, failure != nil)
		assert.Equal(t, <-read == 0, failure.Outcome == attempt.NotSent, "%v", failure)
	}
}

// An answer's Windscale and hop-by-hop headers, and a request's, go no further.
func TestHeadersStayOnTheirHop(t *testing.T) {
	in := http.Header{
		"Connection": {"close, X-Private", "keep-alive"}, "X-Private": {"1"}, "Keep-Alive": {"timeout=5"},
		"Te": {"trailers"}, "Trailer": {"X"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"},
		"Proxy-Connection": {"x"}, "Windscale-Run": {"no"}, "windscale-fence": {"9"},
		"Authorization": {"Bearer secret"}, "X-Http-Method-Override": {"DELETE"}, "Content-Length": {"7"},
		"Idempotency-Key": {"k"}, "Accept": {"a", "b"},
	}
	assert.DeepEqual(t, CleanRequest(in), http.Header{"Idempotency-Key": {"k"}, "Accept": {"a", "b"}})
	answer := cleanAnswer(http.Header{"Connection": {"X-Private"}, "X-Private": {"1"}, "Windscale-Run": {"no"}, "Etag": {"e"}})
	assert.DeepEqual(t, answer, http.Header{"Etag": {"e"}})
}

// What would be a second request or header on the wire is never sent.
func TestInjectionIsNotSent(t *testing.T) {
	srv := newServer(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	for _, change := range []func(*Call){
		func(c *Call) { c.Header = http.Header{"X": {"a\r\nContent-Length: 0"}} },
		func(c *Call) { c.Header = http.Header{"X: y\r\nZ": {"a"}} },
		func(c *Call) { c.Method = "GET /other HTTP/1.1\r\nX:" },
		func(c *Call) { c.Query = "a=1 HTTP/1.1\r\nX: y" },
	} {
		call := srv.call()
		change(&call)
		_, failure := do(t, t.Context(), call)
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Outcome, attempt.NotSent, "%v", failure)
		assert.Assert(t, !failure.Leaving)
	}
	assert.Equal(t, srv.bytes.Load(), int64(0))
}

// Framing that a caller names is not passed on: the body's own length is sent.
func TestFramingIsOurs(t *testing.T) {
	seen := make(chan *http.Request, 1)
	srv := newServer(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		seen <- req
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	call := srv.call()
	call.Path, call.RawPath = "/a/b c", "/a%2Fb%20c"
	call.Header = CleanRequest(http.Header{"Content-Length": {"0"}, "Transfer-Encoding": {"chunked"}, "Host": {"elsewhere"}})
	_, failure := do(t, t.Context(), call)
	assert.Assert(t, failure == nil, "%v", failure)
	req := <-seen
	assert.Equal(t, req.ContentLength, int64(4))
	assert.Equal(t, len(req.TransferEncoding), 0)
	assert.Equal(t, req.Host, srv.ln.Addr().String())
	assert.Equal(t, req.RequestURI, "/a%2Fb%20c")
}

// After a gate was sealed without a byte having left, none leaves.
func TestSealedGateLetsNothingOut(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	assert.NilError(t, far.Close()) // a write that gets through fails otherwise
	g := &gate{}
	c := &conn{Conn: near}
	c.hold(g)
	assert.Assert(t, !g.seal())
	n, err := c.Write([]byte("x"))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, !g.mayHaveSent())
}

// Only a server that takes no connection is told as away, not one that this host
// could not dial.
func TestOnlyTheServersSilenceMakesItUnreachable(t *testing.T) {
	dial := func(call string, errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
	}
	for _, c := range []struct {
		err  error
		want bool
	}{
		{dial("connect", syscall.ECONNREFUSED), true},
		{dial("connect", syscall.EHOSTUNREACH), true},
		{dial("connect", syscall.ETIMEDOUT), true},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, true},
		{dial("socket", syscall.EMFILE), false},
		{dial("socket", syscall.ENOBUFS), false},
		{dial("connect", syscall.EADDRNOTAVAIL), false},
		{&net.OpError{Op: "dial", Err: &net.AddrError{Err: "missing port"}}, false},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, false},
		{context.Canceled, false},
	} {
		assert.Equal(t, unreachable(c.err), c.want, "%v", c.err)
	}
}
