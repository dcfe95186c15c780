package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
	"github.com/windscale/windscale/test/loopback"
)

const (
	// The service's answers have 800 B, take 60 ms and end with their connection.
	lookupWork    = 60 * time.Millisecond
	lookupBytes   = 800
	lookupTimeout = 1500 * time.Millisecond
	lookupClients = 16
	lookupPause   = 310 * time.Millisecond
	// crashes times one server of four is killed, and is back after crashFor. The site file's largest
	// doses of `srv_crash` are a share of 0.25 and 4.5 s.
	crashes    = 20
	crashFor   = 2 * time.Second
	crashPause = 2 * time.Second
)

// lookupBody is the whole body of the answer to an attempt.
func lookupBody(attempt string) string {
	text := "answer to " + attempt + " "
	return strings.Repeat(text, lookupBytes/len(text)+1)[:lookupBytes]
}

// serveUnframed is a backend server process. It answers each request with a body that has no length and
// ends with its connection: half of it at once, and the rest after its work. It writes a line for each
// run to its standard output.
func serveUnframed(id, addr string) int {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return exitCouldNotRun
		}
		go answerUnframed(c, id)
	}
}

func answerUnframed(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("X-Windscale-Attempt-Id")
	if expect := r.Header.Get("X-Windscale-Expect-Instance"); expect != "" && expect != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Windscale-Attempt-Id: %s\r\nX-Windscale-Not-Executed: 1\r\nX-Windscale-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt, id)
		return
	}
	fmt.Println("runs", attempt)
	body := lookupBody(attempt)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Windscale-Attempt-Id: %s\r\nX-Windscale-Server-Seal: %s.%s\r\nConnection: close\r\n\r\n%s", attempt, id, attempt, body[:lookupBytes/2])
	time.Sleep(lookupWork)
	_, _ = io.WriteString(c, body[lookupBytes/2:])
	fmt.Println("ends", attempt)
}

// process is a backend server that runs as a process, one start after the other.
type process struct {
	st      *stage
	service string
	zone    string
	name    string
	addr    string
	starts  int
	cmd     *exec.Cmd
	ended   chan struct{}
}

func (p *process) id() string { return fmt.Sprintf("%s-%d", p.name, p.starts) }

// start starts the server under a new ID, and writes its entry once it listens.
func (p *process) start() error {
	p.starts++
	program, err := os.Executable()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program, "--serve", p.id(), "--addr", p.addr)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended, id := make(chan struct{}), p.id()
	p.ended = ended
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			p.st.note("server %s %s", id, lines.Text())
		}
		_ = p.cmd.Wait()
		close(ended)
	}()
	for range 100 {
		c, err := net.Dial("tcp4", p.addr)
		if err == nil {
			_ = c.Close()
			p.st.store.Put("servers", id, entry(p.service, p.addr, p.zone, 6))
			p.st.note("server %s is ready", id)
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s does not listen", id)
}

// kill ends the server as a crash does: it says nothing to the store.
func (p *process) kill() {
	p.st.note("server %s is killed", p.id())
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// playUnframed has backend servers crash while they send answers that end with their connections. It
// reports whether a client got a success with less than the server's whole body.
func playUnframed(st *stage, trouble bool) (bool, error) {
	st.site = quetzal
	zones := st.site.zones
	var servers []*process
	for i := range zones {
		port, err := loopback.ReservePort(loopback.IP)
		if err != nil {
			return false, err
		}
		p := &process{st: st, service: "app", zone: zones[i], name: fmt.Sprintf("i-app-%d", i+1), addr: fmt.Sprintf("%s:%d", loopback.IP, port)}
		if err := p.start(); err != nil {
			return false, err
		}
		defer p.kill()
		servers = append(servers, p)
	}
	st.store.PutConfig(platformtest.Config(1, []platformtest.Route{
		{Prefix: "/lookup/", Kind: "safe", Service: "app", MaxAttempts: 2, Timeout: lookupTimeout},
		{Prefix: "/confirm/", Kind: "unsafe", Service: "app", MaxAttempts: 1, Timeout: lookupTimeout},
	}, nil, []string{"app"}, map[string]string{key: "hule930"}))
	store := st.serveStore(st.store)
	if err := st.startRouters(zones, []string{store, store, store, store}); err != nil {
		return false, err
	}
	var stop atomic.Bool
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for i := range lookupClients {
		wg.Go(func() {
			method, path, body := http.MethodGet, "/lookup/stock", ""
			if i%3 != 0 {
				method, path, body = http.MethodPost, "/confirm/pickup", "one pickup"
			}
			r := st.routers[i%len(st.routers)]
			for n := 0; !stop.Load(); n++ {
				c, err := dialCaller(r.front())
				if err != nil {
					st.note("client %d: %v", i, err)
					time.Sleep(lookupPause)
					continue
				}
				a := c.send(method, path, fmt.Sprintf("u%02d-%04d", i, n), key, 3*time.Second, body)
				c.close()
				st.note("client %d sent %s %s to %s: status %d, seal %q, %d bytes, err %v", i, a.attempt, path, r.name, a.status, a.seal, len(a.body), a.err)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(lookupPause/2 + rand.N(lookupPause))
			}
		})
	}
	time.Sleep(warmup)
	for n := range crashes {
		p := servers[n%len(servers)]
		if trouble {
			id := p.id()
			p.kill()
			time.AfterFunc(3600*time.Millisecond, func() { st.store.RemoveServer(id) }) // after three heartbeats
		}
		time.Sleep(crashFor)
		if trouble {
			if err := p.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(crashPause)
	}
	stop.Store(true)
	wg.Wait()
	return judgeBodies(st, answers), nil
}

// judgeBodies checks that each success has the server's whole body.
func judgeBodies(st *stage, answers []answer) bool {
	served, mixed, failed := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status != http.StatusOK:
			failed++
		case a.body == lookupBody(a.attempt):
			served++
		default:
			mixed++
			st.note("MIXED: %s was answered 200, seal %q, complete by its length, with %d of the server's %d bytes", a.attempt, a.seal, len(a.body), lookupBytes)
		}
	}
	result := fmt.Sprintf("%d attempts, %d served whole, %d without a success, %d successes with part of the body (MIXED)", len(answers), served, failed, mixed)
	st.note("%s", result)
	fmt.Println(result)
	return mixed > 0
}
