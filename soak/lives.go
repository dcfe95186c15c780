package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// guilty begins the IDs of attempts under which servers crash.
	guilty = "guilty-"
	// copyEvery is the pause between two copies of a guilty request, each to another router.
	copyEvery = 60 * time.Millisecond
	// copiesFor is for how long they come beside the fault's own time.
	copiesFor = 3 * time.Second
	// endsMost is how many servers may end under one guilty request: three until it is
	// known, three while the routers tell each other, three for what is killed meanwhile.
	endsMost = 9
	// backAfter is how long after a crash a server starts again.
	backAfter = 200 * time.Millisecond
)

func isGuilty(attempt string) bool { return strings.HasPrefix(attempt, guilty) }

// ended starts a server that crashed under a request again, under its ID.
func (f *fleet) ended(s *server) {
	f.countDown(s)
	if !s.truncates.Swap(false) {
		f.poisoned.Add(1)
		f.mu.Lock()
		f.crashedAt = append(f.crashedAt, time.Now())
		f.mu.Unlock()
	}
	time.AfterFunc(backAfter, func() { f.revive(s) })
}

// countDown counts that a server has ended. It starts again once it has been revived as often.
func (f *fleet) countDown(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.downs++
}

// revive starts a server that has ended again, unless it has left or another fault keeps it down.
func (f *fleet) revive(s *server) {
	f.mu.Lock()
	s.downs--
	staysDown := s.downs > 0 || !s.left.IsZero()
	f.mu.Unlock()
	if staysDown {
		return
	}
	if err := s.Restart(); err != nil {
		f.verdicts.report(noUnaskedExit, "server %s does not start again: %v", s.ID, err)
		return
	}
	if err := s.proxy.listenAgain(); err != nil {
		f.verdicts.report(noUnaskedExit, "the proxy of server %s does not start again: %v", s.ID, err)
		return
	}
	f.mu.Lock()
	s.interruptions = append(s.interruptions, time.Now())
	s.draining = false
	f.mu.Unlock()
	f.store.PutServer(s.Server, "ready")
}

// reborn ends a server and starts it again under its ID.
func (f *fleet) reborn(x fault) {
	s := f.pickServer(x)
	if s == nil {
		return
	}
	f.countDown(s)
	s.proxy.stopListening()
	s.Close()
	time.Sleep(x.For / 2)
	f.revive(s)
}

// poison sends copies of a request that crashes each server to one router after the other, or
// requests with a part that does. One such fault at a time: their ends are counted together.
func (f *fleet) poison(x fault) {
	f.poisons.Lock()
	defer f.poisons.Unlock()
	if x.How%4 == 1 {
		f.deadParts(x)
		return
	}
	before := f.poisoned.Load()
	begin := time.Now()
	for n := 0; time.Since(begin) < x.For+copiesFor; n++ {
		f.copyOf(x, n)
		time.Sleep(copyEvery)
	}
	if n := f.poisoned.Load() - before; n > endsMost {
		f.verdicts.report(poisonStops, "%d servers ended under one request", n)
	}
}

// copyOf sends the n-th copy of a guilty request.
func (f *fleet) copyOf(x fault, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := f.routers[(x.Who+n)%len(f.routers)]
	f.send(ctx, r, "/o/x", fmt.Sprintf("%s%d-%d", guilty, x.At, n), "key-a", fmt.Sprintf("crashes servers %d", x.At), "aa:3000,bb:500")
}

// send sends a request of a fault's own. What its caller gets does not matter.
func (f *fleet) send(ctx context.Context, r *router, path, attempt, key, body, prompt string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s", f.callers(r), path), strings.NewReader(body))
	if err != nil {
		return // the address is our own
	}
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, attempt, key, time.Second, prompt)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// foreignEntries writes entries that name no server, with the address of a listener that
// nothing may connect to, and spoils that of a server for a while.
func (f *fleet) foreignEntries(x fault) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.verdicts.report(noUnaskedExit, "listener: %v", err)
		return
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			f.verdicts.report(foreignUnused, "a connection from %s", c.RemoteAddr())
			_ = c.Close()
		}
	}()
	addr := ln.Addr().String()
	entries := []string{
		`{"service":"app","address":"` + addr + `","state":"ready","slots":8}`,
		`{"service":"app","address":"` + addr + `","zone":"dc0","version":"v1","slots":-8,"state":"ready","warmupLeftMs":0,"sequence":1}`,
		`{"service":"app","address":"` + addr + `","zone":"dc0","version":"v1","slots":8,"state":"warm","warmupLeftMs":0,"sequence":1}`,
		"\xff\x00", "",
	}
	for i, text := range entries {
		f.store.Put("servers", fmt.Sprintf("foreign-%d-%d", x.At, i), []byte(text))
	}
	s := f.pickServer(x)
	if s != nil {
		f.store.Put("servers", s.ID, []byte(entries[x.How%len(entries)]))
	}
	time.Sleep(x.For)
	for i := range entries {
		f.store.Remove("servers", fmt.Sprintf("foreign-%d-%d", x.At, i))
	}
	if s == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.left.IsZero() {
		f.store.PutServer(s.Server, s.state())
	}
}

const (
	// starvedRuns and starvedStands are how long a starved router runs and stands in turn:
	// a sixth of a core, in slices as a quota gives them.
	starvedRuns   = 5 * time.Millisecond
	starvedStands = 25 * time.Millisecond
	// floodCallers send at once during a flood.
	floodCallers = 48
)

// starve gives a router a small part of its processor time.
func (f *fleet) starve(x fault) {
	r := f.router(x)
	for begin := time.Now(); time.Since(begin) < x.For; {
		f.signal(r, syscall.SIGSTOP)
		time.Sleep(starvedStands)
		f.signal(r, syscall.SIGCONT)
		time.Sleep(starvedRuns)
	}
}

// flood has one customer send to one router as much as it can. What it gets does not
// matter; the other callers' answers are checked as ever.
func (f *fleet) flood(x fault) {
	ctx, cancel := context.WithTimeout(context.Background(), x.For)
	defer cancel()
	r := f.router(x)
	var wg sync.WaitGroup
	for i := range floodCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				attempt := fmt.Sprintf("flood-%d-%d-%d", x.At, i, n)
				f.send(ctx, r, "/o/x", attempt, "key-c", attempt, "aa:3000,bb:500")
			}
		})
	}
	wg.Wait()
}
