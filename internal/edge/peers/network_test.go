package peers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/test/loopback"
)

// Guards against a truncated answer of a peer that counts as complete, or as an empty one.
func TestTruncatedAnswerOfAPeerIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   string
		err    error
	}{
		"complete":       {"Content-Length: 8\r\n\r\ncomplete", "complete", nil},
		"shorter":        {"Content-Length: 9\r\n\r\ntruncate", "", io.ErrUnexpectedEOF},
		"empty":          {"Content-Length: 9\r\n\r\n", "", io.ErrUnexpectedEOF},
		"without length": {"\r\ntruncate", "", &LengthError{Length: -1}},
		"too long":       {fmt.Sprintf("Content-Length: %d\r\n\r\n", maxResponseSize+1), "", &LengthError{Length: maxResponseSize + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := newTestNetwork(t).get(answerOnce(t, "HTTP/1.1 200 OK\r\n"+c.answer), pathServers)
			if want, ok := c.err.(*LengthError); ok {
				assert.ErrorType(t, err, want)
				assert.Equal(t, err.Error(), want.Error())
				return
			}
			assert.ErrorIs(t, err, c.err)
			if c.err == nil {
				assert.Equal(t, string(body), c.want)
			}
		})
	}
}

func newTestNetwork(t *testing.T) *network {
	t.Helper()
	return &network{ctx: context.Background(), http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// answerOnce returns the address of a peer that answers one request and closes the connection.
func answerOnce(t *testing.T, answer string) string {
	t.Helper()
	ln, err := loopback.Listen()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return // closed
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, answer)
	}()
	return ln.Addr().String()
}
