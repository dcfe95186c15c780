// Package flooder is an HTTP server for tests whose response has no end.
package flooder

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/windscale/windscale/test/loopback"
)

// chunkSize is the size of the pieces in which a Server repeats its text.
const chunkSize = 32 << 10

// Server answers a request with a beginning and then
// repeats a text until the connection is closed.
type Server struct {
	Addr   string
	Closed chan struct{} // receives when the first connection was closed
	sent   atomic.Int64
}

// New starts a server that serves until the test ends.
func New(t testing.TB, beginning, repeated string) *Server {
	t.Helper()
	ln, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &Server{Addr: ln.Addr().String(), Closed: make(chan struct{}, 1)}
	chunk := []byte(strings.Repeat(repeated, 1+chunkSize/len(repeated)))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go s.serve(c, []byte(beginning), chunk)
		}
	}()
	return s
}

// Sent returns how many bytes were sent.
func (s *Server) Sent() int64 { return s.sent.Load() }

func (s *Server) serve(c net.Conn, beginning, chunk []byte) {
	defer func() {
		_ = c.Close()
		select {
		case s.Closed <- struct{}{}:
		default:
		}
	}()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	n, err := c.Write(beginning)
	for s.sent.Add(int64(n)); err == nil; s.sent.Add(int64(n)) {
		n, err = c.Write(chunk)
	}
}
