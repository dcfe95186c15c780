package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/test/flooder"
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
		"blank in name":  {"Content-Length: 8\r\nX-Crate Number: 7\r\n\r\ncomplete", "", &intake.FieldNameError{Name: "X-Crate Number"}},
		"hidden chunks":  {"Content-Length: 8\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n", "", &intake.FieldNameError{Name: "Transfer-Encoding "}},
		"too long":       {fmt.Sprintf("Content-Length: %d\r\n\r\n", maxResponseSize+1), "", &LengthError{Length: maxResponseSize + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := newTestNetwork(t).get(answerOnce(t, "HTTP/1.1 200 OK\r\n"+c.answer), pathServers)
			switch c.err.(type) {
			case *LengthError, *intake.FieldNameError:
				assert.ErrorType(t, err, c.err)
				assert.Equal(t, err.Error(), c.err.Error())
				return
			}
			assert.ErrorIs(t, err, c.err)
			if c.err == nil {
				assert.Equal(t, string(body), c.want)
			}
		})
	}
}

// Guards against a peer whose response has no end and uses up the memory of this router.
func TestResponseOfAPeerIsBounded(t *testing.T) {
	elsewhere := flooder.New(t, "", "x")
	for name, c := range map[string]struct{ beginning, repeated string }{
		"no response":  {"", "junk"},
		"head":         {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"redirect":     {"HTTP/1.1 307 Temporary Redirect\r\nContent-Length: 0\r\nLocation: http://" + elsewhere.Addr + "/\r\n\r\n", "more"},
		"body":         {"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", "b"},
		"no length":    {"HTTP/1.1 200 OK\r\n\r\n", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			f := flooder.New(t, c.beginning, c.repeated)
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			assert.NilError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			memory := bounded.NewBudget(maxResponseSize)
			_, err = newNetwork(conn, memory).get(f.Addr, pathServers)
			assert.Assert(t, err != nil)
			<-f.Closed
			assert.Assert(t, f.Sent() < maxResponseSize, "%d bytes sent", f.Sent())
			assert.Equal(t, elsewhere.Sent(), int64(0), "a redirect was followed")
			assert.Equal(t, memory.Used(), int64(0))
		})
	}
}

// Lists of several peers together use no more than their memory.
func TestResponsesOfPeersShareTheirMemory(t *testing.T) {
	const size = 100_000
	body := strings.Repeat("b", size)
	n := newTestNetwork(t)
	n.memory = bounded.NewBudget(size / 2)
	_, err := n.get(answerOnce(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body)), pathServers)
	assert.ErrorType(t, err, &bounded.MemoryError{})
	n.memory = bounded.NewBudget(2 * size)
	got, err := n.get(answerOnce(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body)), pathServers)
	assert.NilError(t, err)
	assert.Equal(t, string(got), body)
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
