package front_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/peek"
	"github.com/windscale/windscale/platform/platformtest"
)

// arrivedConn is a connection that can be read without blocking.
type arrivedConn struct{ net.Conn }

func (a arrivedConn) ReadAvailable(b []byte) (int, error) { return peek.ReadAvailable(a.Conn, b) }

// rejectEarly opens a connection on which the text has arrived, and returns the rejecter's results
// and both ends of the connection.
func (r *rig) rejectEarly(text string, full bool) (read []byte, verdict front.Verdict, host, caller net.Conn) {
	r.t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(r.t, err)
	defer func() { _ = ln.Close() }()
	caller, err = net.Dial("tcp4", ln.Addr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = caller.Close() })
	host, err = ln.Accept()
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = host.Close() })
	if text != "" {
		_, err = io.WriteString(caller, text)
		assert.NilError(r.t, err)
		waitForBytes(r.t, host, len(text))
	}
	read, verdict = r.handler.NewEarlyRejecter().Reject(arrivedConn{host}, full)
	return read, verdict, host, caller
}

// waitForBytes waits until n bytes have arrived.
func waitForBytes(t testing.TB, c net.Conn, n int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	buf := make([]byte, n)
	edgetest.Until(t, "waiting for bytes to arrive", func() bool {
		got := 0
		assert.NilError(t, raw.Control(func(fd uintptr) {
			got, _, _ = syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		return got == n
	})
}

// requestText returns a request as a caller sends it, without the last missing bytes of its body.
func requestText(customerKey string, missing int) string {
	const body = 3000
	header := http.Header{}
	platformtest.SetRequestHeaders(header, "a1", customerKey, 2*time.Second, "")
	var text strings.Builder
	text.WriteString("POST /u/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nContent-Length: 3000\r\n")
	_ = header.Write(&text) // a strings.Builder returns no error
	text.WriteString("\r\n" + strings.Repeat("x", body-missing))
	return text.String()
}

// Guards against handing complete requests to net/http on a saturated host.
func TestCompleteRequestIsRejectedUnderSaturation(t *testing.T) {
	r := newRig(t)
	r.configure()
	r.processorWait.Store(int64(pressure.Saturated))
	_, verdict, host, caller := r.rejectEarly(requestText("k", 0), false)
	assert.Equal(t, verdict, front.Rejected)
	assert.NilError(t, host.Close())
	text, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "HTTP/1.1 503 "), "%s", text)
	assert.Assert(t, strings.Contains(string(text), "Retry-After: 0.050"), "%s", text)
	assert.Assert(t, strings.Contains(string(text), "X-Windscale-Attempt-Id: a1"), "%s", text)
}

// Guards against admitting a request over the connection limit on a host that is not overloaded.
func TestRequestIsRejectedAtConnectionLimit(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, verdict, host, caller := r.rejectEarly(requestText("k", 0), true)
	assert.Equal(t, verdict, front.Rejected)
	assert.NilError(t, host.Close())
	text, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "HTTP/1.1 503 "), "%s", text)
}

// Guards against losing bytes of a connection that is not rejected: an admitted, incomplete or
// invalid request, or no bytes at all.
func TestBytesOfUnrejectedRequestAreReturned(t *testing.T) {
	for name, sent := range map[string]string{
		"room":              requestText("k", 0),
		"body incomplete":   requestText("k", 1000),
		"header incomplete": requestText("k", 0)[:40],
		"invalid request":   "nonsense\r\n\r\n",
		"nothing":           "",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			expected := front.Admitted
			if name != "room" {
				r.processorWait.Store(int64(pressure.Saturated))
				expected = front.Undecided
			}
			read, verdict, host, caller := r.rejectEarly(sent, false)
			assert.Equal(t, verdict, expected)
			const more = "and more"
			_, err := io.WriteString(caller, more)
			assert.NilError(t, err)
			assert.NilError(t, caller.Close())
			text, err := io.ReadAll(host)
			assert.NilError(t, err)
			assert.Equal(t, string(read)+string(text), sent+more)
		})
	}
}

// Guards against serving a connection that its caller has already closed.
func TestDisconnectedCallerIsRejected(t *testing.T) {
	r := newRig(t)
	r.configure()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp4", ln.Addr().String())
	assert.NilError(t, err)
	c, err := ln.Accept()
	assert.NilError(t, err)
	assert.NilError(t, caller.Close())
	edgetest.Until(t, "waiting for the close to arrive", func() bool { return peek.Check(c.(syscall.Conn)) == peek.Closed })
	_, verdict := r.handler.NewEarlyRejecter().Reject(arrivedConn{c}, false)
	assert.Equal(t, verdict, front.Rejected)
}
