package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// junkShare of the answers of junkEngines of the draftEngines servers are bytes that are no response,
	// in spells of junkFor. The site file's largest dose of `garble` (no variant) is a share of 0.35 of
	// the servers, 0.02 of their answers and 5.5 s.
	junkShare   = 0.02
	junkEngines = 2
	junkFor     = 5500 * time.Millisecond
	junkPause   = 1500 * time.Millisecond
	junkSpell   = 14
	// The bytes come as fast as a machine's link of 1,000 Mbit/s carries them.
	junkChunk = 1250 * 1000
	junkEvery = 10 * time.Millisecond
	// restartAfter is the short delay after which the platform starts a process again.
	restartAfter = 500 * time.Millisecond
	watchEvery   = 10 * time.Millisecond
	// A day counts nothing if on two machines processes end by themselves three times.
	endsMost     = 3
	machinesMost = 2
	// The clients send half of the sheet's 94 claim drafts a second.
	draftEngines = 6
	draftCallers = 24
	draftPause   = 380 * time.Millisecond
	draftTimeout = 4 * time.Second
	draftBytes   = 4700
	draftEvents  = 8
	draftGap     = 15 * time.Millisecond
)

// anonMB returns the memory that a process has for itself, without that of its program file, in MB.
func anonMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1000
		}
	}
	return 0
}

// guard is the platform's part: it kills a process that exceeds its memory, and starts it again. It
// counts the ends.
type guard struct {
	st    *stage
	store string
	seeds string

	mu   sync.Mutex
	ends map[string]int
	peak int
}

func (g *guard) watch(r *router, stop *atomic.Bool) {
	for !stop.Load() {
		time.Sleep(watchEvery)
		used := anonMB(r.cmd.Process.Pid)
		g.mu.Lock()
		g.peak = max(g.peak, used)
		g.mu.Unlock()
		if used <= g.st.site.memoryMB {
			continue
		}
		_ = r.cmd.Process.Kill()
		<-r.ended
		g.mu.Lock()
		g.ends[r.name]++
		g.mu.Unlock()
		g.st.note("%s uses %d MB of %d and is killed", r.name, used, g.st.site.memoryMB)
		time.Sleep(restartAfter)
		if err := g.st.startRouter(r, g.store, g.seeds); err != nil {
			g.st.note("%s does not start: %v", r.name, err)
			return
		}
	}
}

// junkEngine streams its answers like a sound engine, but for a share of them, which are bytes that are
// no response.
type junkEngine struct {
	*server
	share atomic.Int64 // per 10,000
}

func (s *junkEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := newRequests(c)
	for {
		r, _, err := in.next()
		if err != nil {
			return
		}
		attempt := r.Header.Get("X-Windscale-Attempt-Id")
		if expect := r.Header.Get("X-Windscale-Expect-Instance"); expect != "" && expect != s.id {
			return
		}
		s.st.note("server %s runs %s", s.id, attempt)
		if rand.Int64N(10000) < s.share.Load() {
			sent := sendJunk(c)
			s.st.note("server %s answered %s with %d MB that are no response", s.id, attempt, sent/1000/1000)
			return
		}
		if !s.stream(c, attempt) {
			return
		}
	}
}

// stream sends a whole stream and reports whether the connection stays open.
func (s *junkEngine) stream(c net.Conn, attempt string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Windscale-Attempt-Id: %s\r\nX-Windscale-Server-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, s.id, attempt)
	for n := 1; n <= draftEvents && err == nil; n++ {
		time.Sleep(draftGap)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("d", 36))
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = c.Write([]byte("0\r\n\r\n"))
	}
	return err == nil
}

// sendJunk sends a long text without an HTTP header until the connection is closed, and returns how many
// bytes were sent.
func sendJunk(c net.Conn) (sent int) {
	chunk := []byte(strings.Repeat(`{"stop":"confirmed","crate":7},`, junkChunk/31+1)[:junkChunk])
	for tick := time.NewTicker(junkEvery); ; <-tick.C {
		n, err := c.Write(chunk)
		sent += n
		if err != nil {
			tick.Stop()
			return sent
		}
	}
}

// playJunk has backend servers answer part of their requests with bytes that are no response. It reports
// whether processes on two machines end three times each, since they exceed their memory.
func playJunk(st *stage, trouble bool) (bool, error) {
	zones := st.site.zones
	var engines []*junkEngine
	for i := range draftEngines {
		ln, err := st.listen()
		if err != nil {
			return false, err
		}
		s := &junkEngine{server: &server{id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", st: st}}
		engines = append(engines, s)
		st.store.Put("servers", s.id, entry("llm", ln.Addr().String(), zones[i%len(zones)], 64))
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return // closed
				}
				go s.serve(c)
			}
		}()
	}
	st.store.PutConfig(platformtest.Config(1, []platformtest.Route{
		{Prefix: "/draft/", Kind: "streaming", Service: "llm", MaxAttempts: 1, Timeout: draftTimeout},
	}, []string{"llm"}, nil, map[string]string{key: "hule930"}))
	store := st.serveStore(st.store)
	if err := st.startRouters(zones, []string{store, store, store}); err != nil {
		return false, err
	}
	g := &guard{st: st, store: store, seeds: st.seeds(), ends: map[string]int{}}
	var stop atomic.Bool
	var guards, clients sync.WaitGroup
	for _, r := range st.routers {
		guards.Go(func() { g.watch(r, &stop) })
	}
	var statuses sync.Map
	for i := range draftCallers {
		clients.Go(func() {
			for n := 0; !stop.Load(); n++ {
				r := st.routers[(i+n)%len(st.routers)]
				attempt := fmt.Sprintf("j%02d-%04d", i, n)
				a := answer{attempt: attempt}
				if c, err := dialCaller(r.front()); err == nil {
					a = c.send(http.MethodPost, "/draft/claim", attempt, key, draftTimeout, strings.Repeat("p", draftBytes))
					c.close()
				} else {
					a.err = err
				}
				st.note("client sent %s to %s: status %d, err %v", a.attempt, r.name, a.status, a.err)
				count, _ := statuses.LoadOrStore(a.status, new(atomic.Int64))
				count.(*atomic.Int64).Add(1)
				time.Sleep(draftPause/2 + rand.N(draftPause))
			}
		})
	}
	time.Sleep(warmup)
	for range junkSpell {
		for _, s := range engines[:junkEngines] {
			if trouble {
				s.share.Store(junkShare * 10000)
			}
		}
		time.Sleep(junkFor)
		for _, s := range engines {
			s.share.Store(0)
		}
		time.Sleep(junkPause)
	}
	stop.Store(true)
	clients.Wait()
	guards.Wait()
	often := 0
	for _, n := range g.ends {
		if n >= endsMost {
			often++
		}
	}
	text := ""
	statuses.Range(func(status, count any) bool {
		text += fmt.Sprintf(" %v: %d", status, count.(*atomic.Int64).Load())
		return true
	})
	result := fmt.Sprintf("processes that exceeded their memory, by machine: %v; most memory seen: %d MB; clients' statuses (0: no answer):%s", g.ends, g.peak, text)
	st.note("%s", result)
	fmt.Println(result)
	return often >= machinesMost, nil
}
