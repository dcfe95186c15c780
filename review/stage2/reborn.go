package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

// plainEngine is a server whose streams have no length and end with their connection. It sends an event
// with one write.
type plainEngine struct {
	id     string
	events int
	gap    time.Duration
	ln     net.Listener
	record *record

	mu     sync.Mutex
	conns  map[net.Conn]bool
	sent   map[string]int // events by attempt
	ended  map[string]bool
	closed bool
}

func newPlainEngine(id, addr string, events int, gap time.Duration, rec *record) (*plainEngine, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &plainEngine{id: id, events: events, gap: gap, ln: ln, record: rec, conns: map[net.Conn]bool{}, sent: map[string]int{}, ended: map[string]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			if s.closed {
				_ = c.Close()
			}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// entry is the server's entry in the store.
func (s *plainEngine) entry(addr string) []byte {
	text, err := json.Marshal(map[string]any{
		"service": "planner-llm", "address": addr, "zone": "ba-norte", "version": "v1", "slots": 64, "state": "ready", "warmupLeftMs": 0, "sequence": 1,
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return text
}

// serve serves the one request of a connection: its answer ends with it.
func (s *plainEngine) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("X-Windscale-Attempt-Id")
	if expect := r.Header.Get("X-Windscale-Expect-Instance"); expect != "" && expect != s.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Windscale-Instance-Id: %s\r\nX-Windscale-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, attempt)
		return
	}
	s.record.add("server %s runs %s", s.id, attempt)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Windscale-Attempt-Id: %s\r\nX-Windscale-Server-Seal: %s.%s\r\nConnection: close\r\n\r\n", attempt, s.id, attempt)
	for n := 1; n <= s.events; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %s\n\n", n, n, attempt); err != nil {
			return
		}
		s.mu.Lock()
		if !s.closed {
			s.sent[attempt] = n
		}
		s.mu.Unlock()
		time.Sleep(s.gap)
	}
	s.mu.Lock()
	s.ended[attempt] = !s.closed
	s.mu.Unlock()
}

// crash ends the server: its kernel closes the listener and the connections.
func (s *plainEngine) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

const (
	streamEvents = 30
	streamGap    = 60 * time.Millisecond
	// The cut lasts 1.4 s: the server crashes crashAfter it began, starts again rebornAfter that, and the
	// cut heals healAfter that.
	crashAfter  = 200 * time.Millisecond
	rebornAfter = 800 * time.Millisecond
	healAfter   = 400 * time.Millisecond
	servers     = 6
	rounds      = 4
)

// reborn cuts one server of six off from all machines; it crashes behind the cut and starts again.
func reborn(f *fleet, trouble bool) int {
	route := platformtest.Route{Prefix: "/claim-draft/", Kind: "streaming", Service: "planner-llm", MaxAttempts: 1, Timeout: 4 * time.Second}
	f.store.PutConfig(platformtest.Config(1, []platformtest.Route{route}, []string{"planner-llm"}, nil, map[string]string{"k1": "hule930"}))
	var engines []*plainEngine
	var links []*link
	for i := range servers {
		s, err := newPlainEngine(fmt.Sprintf("i-%d", i), "127.0.0.1:0", streamEvents, streamGap, f.record)
		if err != nil {
			return cannotRun
		}
		l, err := newLink(s.ln.Addr().String())
		if err != nil {
			return cannotRun
		}
		engines, links = append(engines, s), append(links, l)
		f.store.Put("servers", s.id, s.entry(l.addr))
	}
	for _, zone := range []string{"ba-norte", "ba-centro"} {
		if err := f.addRouter(zone).start(); err != nil {
			return cannotRun
		}
	}
	if !f.awaitReady(10 * time.Second) {
		return cannotRun
	}
	time.Sleep(4 * time.Second)
	bad := 0
	for round := range rounds {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 24 {
			r := f.routers[i%len(f.routers)]
			attempt := fmt.Sprintf("try-%d-%d", round, i)
			wg.Go(func() {
				p := clients{addr: r.front()}
				f.record.add("client %s: sent to %s", attempt, r.name)
				a := p.send(request{method: http.MethodPost, path: "/claim-draft/2f", attempt: attempt, key: "k1", deadline: 4 * time.Second, body: make([]byte, 4700),
					header: fmt.Sprintf("X-Windscale-Model: m\r\nX-Windscale-Token-Usage: 2368,24\r\nX-Windscale-Prompt-Prefix: aa:341,bb:227,%x:1800\r\n", i)})
				events := strings.Count(string(a.body), "\n\n")
				f.record.add("client %s: status %d, sealed %t, %d events of %d, error %v", attempt, a.status, a.sealed, events, streamEvents, a.err)
				mu.Lock()
				defer mu.Unlock()
				if a.err == nil && a.status == http.StatusOK && events < streamEvents {
					f.record.add("BROKEN: %s looks complete after piece %d of %d", attempt, events, streamEvents)
					bad++
				}
			})
		}
		time.Sleep(400 * time.Millisecond)
		if trouble {
			old, l := engines[round], links[round]
			f.record.add("server %s at %s is cut off from all machines", old.id, l.addr)
			if err := l.lose(); err != nil {
				return cannotRun
			}
			time.Sleep(crashAfter)
			f.record.add("server %s crashes behind the cut", old.id)
			addr := old.ln.Addr().String()
			old.crash()
			time.Sleep(rebornAfter)
			again, err := newPlainEngine(old.id+"-again", addr, streamEvents, streamGap, f.record)
			if err != nil {
				f.record.add("start again: %v", err)
				return cannotRun
			}
			engines[round] = again
			f.store.Remove("servers", old.id)
			f.store.Put("servers", again.id, again.entry(l.addr))
			f.record.add("server %s starts at the address", again.id)
			time.Sleep(healAfter)
			if err := l.heal(); err != nil {
				return cannotRun
			}
			f.record.add("the cut heals")
		}
		wg.Wait()
		time.Sleep(6 * time.Second)
	}
	f.record.add("streams that looked complete before their last piece: %d", bad)
	if bad > 0 {
		return broken
	}
	return held
}
