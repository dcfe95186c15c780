package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/test/flooder"
)

// call returns a call to the server. Responses with the header Other belong to other requests.
func call(addr string) Call {
	return Call{
		Server: server, Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		Matches: func(_ int, h http.Header) bool { return h.Get("Other") == "" },
		Accepts: func() bool { return true },
	}
}

// allocated returns how many bytes f allocates.
func allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// callMemory is what an exchange allocates apart from the response: the connections of both sides and
// their buffers.
const callMemory = 64 << 10

// Guards against a router that exceeds its memory: the head of a response that has no end was read whole
// until the request's deadline.
func TestHeadWithoutEndIsNotReadOn(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, beginning, repeated string
		bound                     intake.Bound // empty: no HTTP response
	}{
		{"no response", "", `{"stop":"confirmed","crate":7},`, ""},
		{"status line", "HTTP/1.1 200 ", "OK", intake.BoundHead},
		{"header line", ok + "A: ", "b", intake.BoundHead},
		{"header name", ok, "a", intake.BoundHead},
		{"header lines", ok, "A: b\r\n", intake.BoundHeaderLines},
		{"continued header line", ok + "A: b\r\n", " c\r\n", intake.BoundHeaderLines},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", intake.BoundInformational},
		{"informational response", "HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n", intake.BoundHeaderLines},
		{"redirect", "HTTP/1.1 307 Temporary Redirect\r\nLocation: /", "a", intake.BoundHead},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: ", "a", intake.BoundHead},
		{"response to another request, then no end", ok + "Other: 1\r\nContent-Length: 0\r\n\r\n" + ok + "A: ", "b", intake.BoundHead},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := flooder.New(t, c.beginning, c.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var err *Error
			used := allocated(func() { _, err = NewPool(time.Now).Do(ctx, call(f.Addr)) })
			assert.Assert(t, err != nil)
			assert.Assert(t, err.Sent && err.Stage == StageResponse)
			var limit *intake.LimitError
			var notHTTP *intake.NotHTTPError
			if c.bound == "" {
				assert.Assert(t, errors.As(err, &notHTTP), "%v", err)
			} else {
				assert.Assert(t, errors.As(err, &limit), "%v", err)
				assert.Equal(t, limit.Bound, c.bound)
			}
			assert.Assert(t, err.Received <= intake.MaxHead+readBufferSize, "received %d", err.Received)
			assert.Assert(t, used < 2*intake.MaxHead+callMemory, "allocated %d", used)
			<-f.Closed // so that the server stops sending
		})
	}
}

// respond returns the address of a server that answers each request with the
// response, in pieces of the size.
func respond(t *testing.T, response string, piece int) string {
	t.Helper()
	l := listen(t, func(c net.Conn, _ int) {
		go func() {
			br := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				for rest := response; rest != ""; {
					n := min(piece, len(rest))
					if _, err := io.WriteString(c, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}
		}()
	})
	return l.Addr().String()
}

// headOf returns a head of exactly size bytes.
func headOf(size int) string {
	const fixed = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: \r\n\r\n"
	return strings.Replace(fixed, "A: ", "A: "+strings.Repeat("a", size-len(fixed)), 1)
}

func linesOf(n int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n")
	for i := range n - 1 {
		fmt.Fprintf(&b, "Set-Cookie: a%d=b\r\n", i)
	}
	return b.String() + "\r\n"
}

// Heads up to each bound are accepted, however they arrive, and their connections are reused.
func TestHeadAtItsBound(t *testing.T) {
	hints := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", intake.MaxInformational)
	for _, c := range []struct {
		name, head string
		ok         bool
	}{
		{"one read buffer", headOf(readBufferSize), true},
		{"over a read buffer", headOf(readBufferSize + 1), true},
		{"at the bound", headOf(intake.MaxHead), true},
		{"over the bound", headOf(intake.MaxHead + 1), false},
		{"lines at the bound", linesOf(intake.MaxHeaderLines), true},
		{"lines over the bound", linesOf(intake.MaxHeaderLines + 1), false},
		{"informational at the bound", hints + linesOf(1), true},
		{"informational over the bound", "HTTP/1.1 102 Processing\r\n\r\n" + hints + linesOf(1), false},
		{"informational and head at the bound", hints + headOf(intake.MaxHead-len(hints)), true},
		{"informational and head over the bound", hints + headOf(intake.MaxHead-len(hints)+1), false},
	} {
		for _, piece := range []int{1 << 20, 4095, 1000} {
			t.Run(fmt.Sprint(c.name, " in pieces of ", piece), func(t *testing.T) {
				addr := respond(t, c.head+"ok", piece)
				pool := NewPool(time.Now)
				pool.Memory = bounded.NewBudget(2 * intake.MaxHead)
				for i := range 2 {
					resp, err := pool.Do(context.Background(), call(addr))
					if !c.ok {
						var limit *intake.LimitError
						assert.Assert(t, errors.As(err, &limit), "%v", err)
						continue
					}
					assert.Assert(t, err == nil, "%v", err)
					assert.Equal(t, resp.Reused, i == 1)
					text, readErr := io.ReadAll(resp.Body)
					assert.NilError(t, readErr)
					assert.Equal(t, string(text), "ok")
					resp.Finish()
				}
				assert.Equal(t, pool.Memory.Used(), int64(0))
			})
		}
	}
}

// Long heads of all exchanges together use no more than their budget; short ones need none of it.
func TestHeadsOfAllExchangesAreBounded(t *testing.T) {
	const budget = 256 << 10
	pool := NewPool(time.Now)
	pool.Memory = bounded.NewBudget(budget)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan *Error)
	const exchanges = 40
	incomplete := strings.TrimSuffix(headOf(intake.MaxHead/2), "\r\n")
	slow := respond(t, incomplete, 1<<20)
	for range exchanges {
		go func() {
			_, err := pool.Do(ctx, call(slow))
			results <- err
		}()
	}
	refused := 0
	for refused < exchanges-budget/(intake.MaxHead/2) {
		var memory *bounded.MemoryError
		assert.Assert(t, errors.As(<-results, &memory))
		refused++
	}
	assert.Assert(t, pool.Memory.Used() <= budget)
	resp, err := pool.Do(ctx, call(respond(t, headOf(readBufferSize)+"ok", 1<<20)))
	assert.Assert(t, err == nil, "%v", err)
	resp.Close()
	cancel()
	for range exchanges - refused {
		<-results
	}
	assert.Equal(t, pool.Memory.Used(), int64(0))
}

// Guards against a request that waits until its deadline for the end of a body that is of no use, and
// against reading that on and on.
func TestUnreadBodyIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		reused   bool
	}{
		"complete":  {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull", true},
		"no body":   {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true},
		"too long":  {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000), false},
		"no end":    {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfu", false},
		"no length": {"HTTP/1.1 503 Service Unavailable\r\n\r\nfu", false},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(time.Now)
			addr := respond(t, c.response, 1<<20)
			for i := range 2 {
				resp, err := pool.Do(context.Background(), call(addr))
				assert.Assert(t, err == nil, "%v", err)
				assert.Equal(t, resp.Reused, c.reused && i == 1)
				resp.FinishUnread()
			}
		})
	}
}

// A response to another request before the request's own may have a body, of which the bytes and the
// time are bounded.
func TestMismatchedBodyIsBounded(t *testing.T) {
	const mismatched = "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: %d\r\n\r\n%s"
	for _, c := range []struct {
		announced, sent int
		ok              bool
	}{
		{100, 100, true}, {maxMismatchBody, maxMismatchBody, true},
		{maxMismatchBody + 1, maxMismatchBody + 1, false}, {100, 99, false},
	} {
		response := fmt.Sprintf(mismatched, c.announced, strings.Repeat("b", c.sent))
		if c.ok {
			response += headOf(60) + "ok"
		}
		_, err := NewPool(time.Now).Do(context.Background(), call(respond(t, response, 1<<20)))
		assert.Equal(t, err == nil, c.ok, "%d of %d bytes: %v", c.sent, c.announced, err)
	}
}

// segments is a connection that delivers bytes in segments of the given size, then its end.
type segments struct {
	net.Conn
	rest []byte
	size int
	read int
}

func (s *segments) Read(b []byte) (int, error) {
	n := copy(b[:min(len(b), s.size)], s.rest)
	s.rest = s.rest[n:]
	s.read += n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// What readHead accepts is a final response with a valid status, whose fields have tokens as names.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte(headOf(60)+"ok"), 7)
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+headOf(60)), 11)
	f.Add([]byte("HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"), 3)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 5)
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		c := &conn{Conn: &segments{rest: sent, size: 1 + (size&0x7fff)%5000}, reserved: bounded.Reservation{Budget: bounded.NewBudget(2 * intake.MaxHead)}}
		c.br = bufio.NewReaderSize(c, readBufferSize)
		resp, err := (&exchange{pool: NewPool(time.Now), conn: c}).readHead(&http.Request{Method: http.MethodPost})
		if err != nil {
			return
		}
		assert.Assert(t, resp.StatusCode >= 200 && resp.StatusCode <= 599, "%d", resp.StatusCode)
		for name := range resp.Header {
			assert.Assert(t, name != "" && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == ':' }), "%q", name)
		}
	})
}

// What fillHead accepts is what net/http accepts, unless it exceeds a bound, and it reads no more than the
// bound.
func FuzzHead(f *testing.F) {
	f.Add([]byte(headOf(60)+"ok"), 7)
	f.Add([]byte(headOf(5000)+"ok"), 4096)
	f.Add([]byte(linesOf(4)+"ok"), 1)
	f.Add([]byte("HTTP/1.1 200 OK\nA: b\n c\n \n\td\n\nok"), 3)
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n\r\r\n"), 2)
	f.Add([]byte("HTTP/1.1 100\r\n\r\nHTTP/1.0 200\r\n\r\n"), 5)
	f.Add([]byte(`{"stop":"confirmed"}`), 4)
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		in := &segments{rest: sent, size: 1 + (size&0x7fff)%5000}
		c := &conn{Conn: in, reserved: bounded.Reservation{Budget: bounded.NewBudget(2 * intake.MaxHead)}}
		c.br = bufio.NewReaderSize(c, readBufferSize)
		want, wantErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(sent)), nil)
		var scanner intake.HeadScanner
		err := c.fillHead(&scanner, time.Now)
		assert.Assert(t, in.read <= intake.MaxHead, "read %d", in.read)
		var limit *intake.LimitError
		if errors.As(err, &limit) {
			return
		}
		var got *http.Response
		if err == nil {
			got, err = http.ReadResponse(c.br, nil)
		}
		assert.Equal(t, err == nil, wantErr == nil, "%v, the library: %v", err, wantErr)
		if err != nil {
			return
		}
		assert.Equal(t, got.Status, want.Status)
		assert.DeepEqual(t, got.Header, want.Header)
		assert.Equal(t, got.ContentLength, want.ContentLength)
		text, err := io.ReadAll(got.Body)
		wantText, wantErr := io.ReadAll(want.Body)
		assert.Equal(t, fmt.Sprint(err), fmt.Sprint(wantErr))
		assert.DeepEqual(t, text, wantText)
	})
}
