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

// A connection that is silent for too long is closed, by the limits of the
// configuration; one whose request is at work is not.
func TestSilentConnectionsAreClosed(t *testing.T) {
	const limit = 50 * time.Millisecond
	s := newSilence(func() routing.Limits { return routing.Limits{HeaderTimeout: limit, IdleTimeout: limit} })
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
	}))
	server.Config.ConnState = s.changed
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
	answer := func(r *bufio.Reader) {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.NilError(t, resp.Body.Close())
	}
	held := open("GET /held HTTP/1.1\r\nHost: x\r\n\r\n")
	half := open("GET / HTTP/1.1\r\nHo")
	idle := open("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	answer(idle)
	for _, r := range []*bufio.Reader{half, idle} {
		_, err := r.ReadByte() // the test's own time limit bounds it
		assert.Equal(t, err, io.EOF)
	}
	close(release)
	answer(held)
	_, err := held.ReadByte()
	assert.Equal(t, err, io.EOF, "idle now")
	server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.timers), 0)
}
