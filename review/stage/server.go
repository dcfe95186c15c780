package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a server began to run.
type run struct {
	attempt, server, service, body string
	at                             time.Time
}

// ledger holds all runs of all servers.
type ledger struct {
	mu        sync.Mutex
	runs      []run
	byAttempt map[string][]run
}

func newLedger() *ledger { return &ledger{byAttempt: map[string][]run{}} }

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	l.byAttempt[r.attempt] = append(l.byAttempt[r.attempt], r)
}

func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

func (l *ledger) of(attempt string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.byAttempt[attempt]...)
}

// server is a plain backend server as the pages describe it: it answers one request at a time on a
// connection, echoes the attempt's ID in every response, and runs nothing that is meant for another
// instance.
type server struct {
	id, service string
	work        time.Duration
	ledger      *ledger
	st          *stage

	mu sync.Mutex
	// extraShare is the share of answers after which additional bytes follow, late: where the next
	// response on the connection is expected.
	extraShare float64
}

// newServer starts a server and writes its entry.
func (st *stage) newServer(id, service, zone string, work time.Duration, l *ledger) (*server, error) {
	ln, err := st.listen()
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, work: work, ledger: l, st: st}
	st.store.Put("servers", id, entry(service, ln.Addr().String(), zone, 6))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) setExtraShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraShare = share
}

// drawExtra reports whether additional bytes follow an answer.
func (s *server) drawExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.extraShare
}

// requests reads the requests of a connection.
type requests struct{ in *bufio.Reader }

func newRequests(c net.Conn) requests { return requests{bufio.NewReader(c)} }

// next returns the next request and its body.
func (q requests) next() (*http.Request, string, error) {
	r, err := http.ReadRequest(q.in)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := newRequests(c)
	extraDue := false
	for {
		r, body, err := in.next()
		if err != nil {
			return
		}
		if extraDue {
			s.sendExtra(c, r.Header.Get("X-Windscale-Attempt-Id"))
		}
		if !s.answer(c, r, body) {
			return
		}
		extraDue = s.drawExtra()
	}
}

// sendExtra sends bytes that belong to no request: a refusal as the bench's page of examples shows it
// ("a server sheds"), once too often.
func (s *server) sendExtra(c net.Conn, next string) {
	s.st.note("server %s sends additional bytes after a complete response; the connection's next request is %s", s.id, next)
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Windscale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

// answer runs a request and reports whether the connection stays open.
func (s *server) answer(c net.Conn, r *http.Request, sent string) bool {
	attempt := r.Header.Get("X-Windscale-Attempt-Id")
	if expect := r.Header.Get("X-Windscale-Expect-Instance"); expect != "" && expect != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Windscale-Attempt-Id: %s\r\nX-Windscale-Not-Executed: 1\r\nX-Windscale-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n", attempt)
		return err == nil
	}
	s.ledger.add(run{attempt, s.id, s.service, sent, time.Now()})
	s.st.note("server %s runs %s", s.id, attempt)
	time.Sleep(s.work)
	body := fmt.Sprintf("%s by %s", attempt, s.service)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Windscale-Attempt-Id: %s\r\nX-Windscale-Server-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", attempt, s.id, attempt, len(body), body)
	return err == nil
}
