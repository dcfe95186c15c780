package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A server that is about to shut down ends kept connections with their next
// answer, and still accepts new ones: nobody meets a closed door.
func TestRetiredServerAsksCallersToLeave(t *testing.T) {
	h := newHanging()
	close(h.let)
	s, url := newServer(t, h)
	kept, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	for _, retired := range []bool{false, true} {
		if retired {
			s.Retire()
		}
		_, err = io.WriteString(kept, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(kept), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.Close, retired)
	}
	assert.Equal(t, <-get(url), "whole")
}
