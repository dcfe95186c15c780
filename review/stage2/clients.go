package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

// request is one attempt of a client.
type request struct {
	method, path string
	attempt      string
	key          string
	header       string // further headers, each with its line end
	body         []byte
	deadline     time.Duration
}

// answer is what the client got.
type answer struct {
	status  int
	sealed  bool
	body    []byte
	bytes   int64 // of the answer
	kept    bool  // the connection had carried an answer before
	sentAt  time.Time
	endedAt time.Time
	gaveUp  bool // the client's time was over
	err     error
}

// clients keep connections to one machine and use them again, as PROTOCOL says.
type clients struct {
	addr string

	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	in    *bufio.Reader
	read  int64
	used  bool
	since time.Time // when it became idle
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read += int64(n)
	return n, err
}

// maxIdle is below four fifths of idleTimeoutMs.
const maxIdle = 8 * time.Second

// get returns a kept connection or a new one.
func (p *clients) get() (*clientConn, error) {
	p.mu.Lock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(c.since) < maxIdle {
			p.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
	}
	p.mu.Unlock()
	raw, err := net.DialTimeout("tcp4", p.addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: raw}
	c.in = bufio.NewReader(c)
	return c, nil
}

func (p *clients) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.used, c.since = true, time.Now()
	p.idle = append(p.idle, c)
}

// send sends the request once and reads its answer to the end.
func (p *clients) send(q request) (a answer) {
	defer func() { a.endedAt = time.Now() }()
	c, err := p.get()
	if err != nil {
		a.err = err
		return a
	}
	a.kept = c.used
	before := c.read
	a.sentAt = time.Now()
	resp, err := c.exchange(q, &a)
	a.bytes = c.read - before
	if err != nil {
		a.err = err
		a.gaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		_ = c.Close()
		return a
	}
	if resp.Close {
		_ = c.Close()
		return a
	}
	p.put(c)
	return a
}

// exchange writes the request and reads its answer.
func (c *clientConn) exchange(q request, a *answer) (*http.Response, error) {
	if err := c.SetDeadline(time.Now().Add(q.deadline)); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Windscale-Attempt-Id: %s\r\nX-Windscale-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		q.method, q.path, platformtest.Host, q.attempt, q.deadline.Milliseconds(), q.key, q.header)
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		return nil, err
	}
	a.status = resp.StatusCode
	a.sealed = resp.Header.Get("X-Windscale-Server-Seal") != ""
	a.body, err = io.ReadAll(resp.Body)
	return resp, err
}

// tally counts outcomes of requests.
type tally struct{ ok, refused, other, failed atomic.Int64 }

func (t *tally) add(status int, err error) {
	switch {
	case err != nil:
		t.failed.Add(1)
	case status == http.StatusOK:
		t.ok.Add(1)
	case status == http.StatusServiceUnavailable:
		t.refused.Add(1)
	default:
		t.other.Add(1)
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("%d answered 200, %d refused with 503, %d other, %d without an answer", t.ok.Load(), t.refused.Load(), t.other.Load(), t.failed.Load())
}
