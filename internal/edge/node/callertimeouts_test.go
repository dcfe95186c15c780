package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// Connections that are silent for longer than the configured limits are closed; one with a
// request in progress is not.
func TestSilentCallerConnectionsAreClosed(t *testing.T) {
	const limit = 50 * time.Millisecond
	s := newCallerTimeouts(func() routing.Limits { return routing.Limits{HeaderTimeout: limit, IdleTimeout: limit} })
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
	}))
	server.Config.ConnState = s.connStateChanged
	server.Start()
	defer server.Close()
	open := func(text string) *bufio.Reader {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		return bufio.NewReader(c)
	}
	expectOK := func(r *bufio.Reader) {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.NilError(t, resp.Body.Close())
	}
	active := open("GET /held HTTP/1.1\r\nHost: x\r\n\r\n")
	partial := open("GET / HTTP/1.1\r\nHo")
	idle := open("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	expectOK(idle)
	for _, r := range []*bufio.Reader{partial, idle} {
		_, err := r.ReadByte() // bounded by the test's own timeout
		assert.Equal(t, err, io.EOF)
	}
	close(release)
	expectOK(active)
	_, err := active.ReadByte()
	assert.Equal(t, err, io.EOF, "idle now")
	server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.timers), 0)
}
