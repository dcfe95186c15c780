package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/test/loopback"
)

// BenchmarkExchange measures an exchange on a connection that is kept. The server allocates nothing.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{800, 100 << 10} {
		b.Run(fmt.Sprintf("body of %d bytes", size), func(b *testing.B) {
			ln, err := loopback.Listen()
			assert.NilError(b, err)
			defer func() { _ = ln.Close() }()
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Windscale-Attempt-Id: 9c41d07be2a35f68\r\nX-Windscale-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
			go answerAll(ln, []byte(response))
			pool := NewPool(time.Now)
			target := Call{
				Server: routing.Identity{ID: "i"}, Addr: ln.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
				Matches: func(int, http.Header) bool { return true }, Accepts: func() bool { return true },
			}
			b.ReportAllocs()
			for b.Loop() {
				resp, err := pool.Do(context.Background(), target)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
				resp.Finish()
			}
		})
	}
}

// answerAll answers each request of the connections with the response.
func answerAll(ln net.Listener, response []byte) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return // closed
		}
		go func() {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for {
				for {
					line, err := br.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) <= 2 {
						break
					}
				}
				if _, err := c.Write(response); err != nil {
					return
				}
			}
		}()
	}
}
