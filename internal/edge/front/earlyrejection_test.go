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

// arrived is a connection that can be read without a wait.
type arrived struct{ net.Conn }

func (a arrived) ReadAvailable(b []byte) (int, error) { return peek.ReadAvailable(a.Conn, b) }

// rejected opens a connection on which the text has arrived, and returns what the rejecter
// says of it, with both ends.
func (r *rig) rejected(text string, full bool) (read []byte, verdict front.Verdict, host, caller net.Conn) {
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
		arrive(r.t, host, len(text))
	}
	read, verdict = r.handler.NewEarlyRejecter().Reject(arrived{host}, full)
	return read, verdict, host, caller
}

// arrive waits until so many bytes have arrived.
func arrive(t *testing.T, c net.Conn, n int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	buf := make([]byte, n)
	edgetest.Until(t, "the bytes have not arrived", func() bool {
		got := 0
		assert.NilError(t, raw.Control(func(fd uintptr) {
			got, _, _ = syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		return got == n
	})
}

// request is a request as a caller sends it, of which so much of the body is still to come.
func request(customerKey string, missing int) string {
	const body = 3000
	header := http.Header{}
	platformtest.SetRequestHeaders(header, "a1", customerKey, 2*time.Second, "")
	var text strings.Builder
	text.WriteString("POST /u/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nContent-Length: 3000\r\n")
	_ = header.Write(&text) // a builder takes all
	text.WriteString("\r\n" + strings.Repeat("x", body-missing))
	return text.String()
}

// The pattern: a host that is far behind its work. A request that has arrived whole is
// refused by who accepts its connection.
func TestARequestThatHasArrivedIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	r.configure()
	r.wait.Store(int64(pressure.Saturated))
	_, verdict, host, caller := r.rejected(request("k", 0), false)
	assert.Equal(t, verdict, front.Rejected)
	assert.NilError(t, host.Close())
	text, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "HTTP/1.1 503 "), "%s", text)
	assert.Assert(t, strings.Contains(string(text), "Retry-After: 0.050"), "%s", text)
	assert.Assert(t, strings.Contains(string(text), "X-Windscale-Attempt-Id: a1"), "%s", text)
}

// A host that has no room for the connection refuses it likewise, with time or without.
func TestARequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, verdict, host, caller := r.rejected(request("k", 0), true)
	assert.Equal(t, verdict, front.Rejected)
	assert.NilError(t, host.Close())
	text, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "HTTP/1.1 503 "), "%s", text)
}

// What is not refused is left as it was: a request that the host has time for, one that is
// still on its way, one that is none, and a connection on which nothing has arrived.
func TestWhatIsNotRefusedIsLeftWhole(t *testing.T) {
	for name, sent := range map[string]string{
		"room":         request("k", 0),
		"on its way":   request("k", 1000),
		"header comes": request("k", 0)[:40],
		"no request":   "nonsense\r\n\r\n",
		"nothing":      "",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			expected := front.Admitted
			if name != "room" {
				r.wait.Store(int64(pressure.Saturated))
				expected = front.Undecided
			}
			read, verdict, host, caller := r.rejected(sent, false)
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

// A caller that has left costs a look.
func TestACallerThatHasLeftIsNotServed(t *testing.T) {
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
	edgetest.Until(t, "the close has not arrived", func() bool { return peek.Check(c.(syscall.Conn)) == peek.Closed })
	_, verdict := r.handler.NewEarlyRejecter().Reject(arrived{c}, false)
	assert.Equal(t, verdict, front.Rejected)
}
