package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

// application is a plain server that answers a part of the requests that it has run with a failure of its
// own while it is grey. A request that it has not run it refuses as the pages say, with
// X-Windscale-Not-Executed.
type application struct {
	id     string
	ln     net.Listener
	record *record
	grey   atomic.Bool
	busy   atomic.Int64

	mu     sync.Mutex
	runs   map[string]int
	failed map[string]bool // runs that the server answered with 503
}

const (
	appServers = 8
	appSlots   = 6
	appWork    = 15 * time.Millisecond
	greyShare  = 0.45
	greyFor    = 4 * time.Second
	greyPause  = 2500 * time.Millisecond
	greyTimes  = 5
	confirmS   = 25.6 // stop confirmations a second
)

func newApplication(id string, rec *record) (*application, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &application{id: id, ln: ln, record: rec, runs: map[string]int{}, failed: map[string]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *application) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if err := s.answer(c, r); err != nil {
			return
		}
	}
}

// answer runs the request, or says that it has not.
func (s *application) answer(c net.Conn, r *http.Request) error {
	attempt := r.Header.Get("X-Windscale-Attempt-Id")
	write := func(status int, headers, body string) error {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Windscale-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), attempt, headers, len(body), body)
		return err
	}
	if expect := r.Header.Get("X-Windscale-Expect-Instance"); expect != "" && expect != s.id {
		return write(http.StatusMisdirectedRequest, "X-Windscale-Instance-Id: "+s.id+"\r\n", "")
	}
	defer s.busy.Add(-1)
	if s.busy.Add(1) > appSlots {
		s.record.add("server %s refuses %s, not run", s.id, attempt)
		return write(http.StatusServiceUnavailable, "X-Windscale-Not-Executed: 1\r\n", "")
	}
	fails := s.grey.Load() && rand.Float64() < greyShare
	s.mu.Lock()
	s.runs[attempt]++
	s.failed[attempt] = fails
	s.mu.Unlock()
	s.record.add("server %s runs %s", s.id, attempt)
	time.Sleep(appWork)
	seal := "X-Windscale-Server-Seal: " + s.id + "." + attempt + "\r\n"
	if fails {
		s.record.add("server %s answers %s, which it has run, with 503", s.id, attempt)
		return write(http.StatusServiceUnavailable, seal, "the booking is made, its receipt is not")
	}
	return write(http.StatusOK, seal, "confirmed "+attempt)
}

// own503 has a server fail a part of the unsafe requests that it has run, with a 503 that does not say that
// the request was not run.
func own503(f *fleet, trouble bool) int {
	route := platformtest.Route{Prefix: "/stop-confirm/", Kind: "unsafe", Service: "dispatch-app", MaxAttempts: 1, Timeout: 1500 * time.Millisecond}
	f.store.PutConfig(platformtest.Config(1, []platformtest.Route{route}, nil, []string{"dispatch-app"}, map[string]string{"k1": "hule930"}))
	var apps []*application
	for i := range appServers {
		s, err := newApplication(fmt.Sprintf("i-%d", i), f.record)
		if err != nil {
			return cannotRun
		}
		apps = append(apps, s)
		f.store.Put("servers", s.id, fmt.Appendf(nil,
			`{"service":"dispatch-app","address":%q,"zone":"ba-norte","version":"v1","slots":%d,"state":"ready","warmupLeftMs":0,"sequence":1}`, s.ln.Addr(), appSlots))
	}
	for _, zone := range []string{"ba-norte", "ba-centro", "ba-sur"} {
		if err := f.addRouter(zone).start(); err != nil {
			return cannotRun
		}
	}
	if !f.awaitReady(10 * time.Second) {
		return cannotRun
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(greyTimes*(greyFor+greyPause) + time.Second)
	var t tally
	var mu sync.Mutex
	refused := map[string]answer{}
	var wg sync.WaitGroup
	for i, r := range f.routers {
		p := &clients{addr: r.front()}
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				attempt := fmt.Sprintf("confirm-%d-%d", i, n)
				wg.Go(func() {
					f.record.add("client %s: sent to %s", attempt, r.name)
					a := p.send(request{method: http.MethodPost, path: "/stop-confirm/2f", attempt: attempt, key: "k1", deadline: 1500 * time.Millisecond, body: make([]byte, 600)})
					f.record.add("client %s: status %d, sealed %t, error %v", attempt, a.status, a.sealed, a.err)
					t.add(a.status, a.err)
					if a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
						mu.Lock()
						refused[attempt] = a
						mu.Unlock()
					}
				})
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(len(f.routers)) / confirmS * float64(time.Second)))
			}
		})
	}
	for i := range greyTimes {
		s := apps[i%len(apps)]
		if trouble {
			f.record.add("server %s is grey for %v: it answers %g of what it has run with 503", s.id, greyFor, greyShare)
			s.grey.Store(true)
		}
		time.Sleep(greyFor)
		s.grey.Store(false)
		time.Sleep(greyPause)
	}
	wg.Wait()
	f.record.add("clients: %s", &t)
	bad := 0
	for attempt, a := range refused {
		for _, s := range apps {
			s.mu.Lock()
			ran, failed := s.runs[attempt], s.failed[attempt]
			s.mu.Unlock()
			if ran > 0 {
				bad++
				f.record.add("BROKEN: %s was answered %d (seal %t) and has run at %s, which answered it with 503: %t", attempt, a.status, a.sealed, s.id, failed)
			}
		}
	}
	f.record.add("unsafe requests that were answered 429 or 503 and have run: %d", bad)
	if bad > 0 {
		return broken
	}
	return held
}
