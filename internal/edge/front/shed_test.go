package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/platform/platformtest"
)

// Guards against resetting connections over the limit, which happened to all callers when one
// customer's flood took all connections of a host of 112 MB. The caller must get a 503 with
// Retry-After and its attempt ID, without a wait for the body, and also if it sends the body.
func TestShedRefusesWithRetryAfter(t *testing.T) {
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

// Guards against a response to bytes that are not a request.
func TestShedClosesInvalidRequest(t *testing.T) {
	r := newRig(t)
	near, far := net.Pipe()
	go r.handler.Shed(far)
	_, err := near.Write([]byte("nonsense\r\n\r\n"))
	assert.NilError(t, err)
	_, err = near.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Guards against callers of a flood that keep their connections open: near the limit every response
// must close its connection, also that of a served request.
// Guards against a caller whose header has no end.
func TestShedBoundsTheHeader(t *testing.T) {
	r := newRig(t)
	near, far := net.Pipe()
	ended := make(chan struct{})
	go func() { r.handler.Shed(far); close(ended) }()
	sent := 0
	for _, err := io.WriteString(near, "GET / HTTP/1.1\r\nA: "); err == nil; {
		var n int
		n, err = near.Write(make([]byte, 1<<10))
		sent += n
	}
	<-ended
	assert.Assert(t, sent <= 65<<10, "%d bytes read", sent)
}

func TestConnectionsCloseNearLimit(t *testing.T) {
	r := newRig(t)
	r.configure()
	r.servers(1)
	near := false
	r.handler.NearConnLimit = func() bool { return near }
	assert.Equal(t, r.call(context.Background(), "POST", "/u/x", "k", "").closesConn, false)
	near = true
	a := r.call(context.Background(), "POST", "/u/x", "k", "")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.closesConn, true)
}
