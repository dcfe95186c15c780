package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	attempt string
	sent    time.Time // when its bytes were written
	status  int       // 0: no complete answer
	seal    string
	body    string
	closes  bool // the connection is closed after it
	err     error
}

// connTimeout is how long a client lets a connection take.
const connTimeout = time.Second

// caller is a client's connection.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialCaller(front string) (*caller, error) {
	c, err := net.DialTimeout("tcp4", front, connTimeout)
	if err != nil {
		return nil, err
	}
	return &caller{c, bufio.NewReader(c)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// send sends one attempt and reads its answer.
func (c *caller) send(method, path, attempt, key string, deadline time.Duration, body string) answer {
	a := answer{attempt: attempt, sent: time.Now()}
	_ = c.conn.SetDeadline(a.sent.Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Windscale-Attempt-Id: %s\r\nX-Windscale-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, host, attempt, deadline.Milliseconds(), key)
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, a.err = io.WriteString(c.conn, head+"\r\n"+body); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.err = err
		return a
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.seal, a.body, a.closes = resp.StatusCode, resp.Header.Get("X-Windscale-Server-Seal"), string(text), resp.Close
	return a
}

// promisesNotRun reports whether the status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
