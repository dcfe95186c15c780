package front_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/platform/platformtest"
)

// The pattern: a customer's flood comes in by one host of 112 MB and takes all its
// connections; other customers' callers come there too. Each was reset, which tells a
// caller nothing; it is told when to come back, that its request has not run, and no
// byte of its body is waited for. A body that is sent all the same does not cost it the
// answer.
func TestARequestThatThereIsNoRoomForIsRefused(t *testing.T) {
	r := newRig(t)
	r.configure()
	r.servers(1)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.handler.Shed(c)
		}
	}()
	for _, body := range []string{"", strings.Repeat("x", 100_000)} {
		c, err := net.Dial("tcp4", ln.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "POST /u/x HTTP/1.1\r\nHost: %s\r\nX-Windscale-Attempt-Id: a1\r\nAuthorization: Bearer k\r\nContent-Length: 100000\r\n\r\n%s", platformtest.Host, body)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Equal(t, resp.Header.Get("X-Windscale-Attempt-Id"), "a1")
		assert.Assert(t, resp.Close)
		assert.NilError(t, c.Close())
	}
}

// What is no request gets no answer: nothing was read that could be refused.
func TestWhatIsNoRequestIsClosed(t *testing.T) {
	r := newRig(t)
	near, far := net.Pipe()
	go r.handler.Shed(far)
	_, err := near.Write([]byte("nonsense\r\n\r\n"))
	assert.NilError(t, err)
	_, err = near.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// From half of the bound on each answer ends its connection, those of served requests
// too: a flood's callers keep what they open.
func TestNearTheBoundEachAnswerEndsItsConnection(t *testing.T) {
	r := newRig(t)
	r.configure()
	r.servers(1)
	near := false
	r.handler.NearConnLimit = func() bool { return near }
	assert.Equal(t, r.call(context.Background(), "POST", "/u/x", "k", "").close, false)
	near = true
	a := r.call(context.Background(), "POST", "/u/x", "k", "")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.close, true)
}
