package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
	"github.com/windscale/windscale/test/loopback"
)

const (
	engines   = 4
	plains    = 3
	centres   = 2
	events    = 12 // of a stream
	gap       = 4 * time.Millisecond
	graceS    = 4
	drainMs   = 2000
	applyMs   = 2000
	memoryMB  = 256
	stopLimit = graceS*time.Second + time.Second
)

// server is a backend server behind its proxy.
type server struct {
	*platformtest.Server
	proxy *proxy
	left  time.Time // when its entry said that it leaves; zero: it has not

	spells int // of being cold, that have not ended

	downs     int         // faults that keep it down
	truncates atomic.Bool // its next crash is that of a truncated response

	draining      bool        // its entry says so, and it may yet cancel its shutdown
	interruptions []time.Time // when it restarted or cancelled its shutdown
	cancelled     time.Time   // when it last cancelled its shutdown; zero: it has not
}

// router is one process.
type router struct {
	name    string
	ip      string
	file    string
	log     string
	store   *proxy // its way to the store
	cmd     *exec.Cmd
	started time.Time
	expects bool // an end that we caused
	stopped bool // frozen by us
	thawed  time.Time

	interruptions []time.Time // when it was started, frozen or thawed
}

// span is a time in which something failed.
type span struct{ from, to time.Time }

// fleet is everything under test. Its lock covers the routers' and servers'
// lists; processes are started and ended by the fault's goroutine only.
type fleet struct {
	binary, dir string
	layout      layout
	ports       [4]int
	store       *platformtest.Store
	storeHTTP   *httptest.Server
	verdicts    *verdicts
	memoryMB    int // of each router
	peakMB      int // most that a router has used

	mu      sync.Mutex
	routers []*router
	servers []*server
	version int
	config  []byte // as the operator wrote it last
	extra   int    // routes beside those that are asked for
	born    int    // servers ever started
	// troubles are the store's, and troubled is when the last one ended.
	troubles []span
	troubled time.Time
	exits    sync.WaitGroup

	evacuating  sync.Mutex
	evacuations []evacuation
	colds       []coldSpell
	linkFaults  []linkFault
	poisons     sync.Mutex   // one guilty request at a time
	poisoned    atomic.Int64 // servers that ended under a guilty request
	crashedAt   []time.Time  // when they did
	truncations sync.Mutex   // held while a server sends truncated responses
}

// layout is where routers and servers stand.
type layout int

// The layouts.
const (
	spread     layout = iota // each router in a data centre of its own, the servers in two of these
	relaying                 // all routers in one data centre; the first has few cores
	scheduling               // all in one data centre, with as many engines as a scheduler needs
)

// engines returns the number of engines, centres that of the servers' data centres.
func (l layout) engines() int {
	if l == scheduling {
		return scheduledEngines
	}
	return engines
}

func (l layout) centres() int {
	if l == scheduling {
		return 1
	}
	return centres
}

// newFleet starts the stand-ins and n routers.
func newFleet(binary, dir string, n int, l layout, memoryMB int, v *verdicts) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, layout: l, memoryMB: memoryMB, store: platformtest.NewStore(), verdicts: v}
	f.store.SetEra(1)
	f.storeHTTP = httptest.NewServer(f.store)
	if err := f.reservePorts(); err != nil {
		return nil, err
	}
	for range l.engines() {
		if _, err := f.addServer("llm"); err != nil {
			return nil, err
		}
	}
	for range plains {
		if _, err := f.addServer("app"); err != nil {
			return nil, err
		}
	}
	f.configure()
	for i := range n {
		way, err := newProxy(f.storeHTTP.Listener.Addr().String())
		if err != nil {
			return nil, err
		}
		r := &router{name: fmt.Sprintf("router-%d", i), ip: fmt.Sprintf("127.0.0.%d", 10+i), store: way}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// reservePorts reserves the ports that every router listens on at its own address. Only the first
// router's address is checked for ports in use.
func (f *fleet) reservePorts() (err error) {
	for i := range f.ports {
		if f.ports[i], err = loopback.ReservePort("127.0.0.10"); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server and lists it.
func (f *fleet) addServer(service string) (*server, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.born++
	n := 0
	if service == "llm" {
		n = events
	}
	s, err := platformtest.NewServer(fmt.Sprintf("i-%s-%d", service, f.born), service, fmt.Sprintf("dc%d", f.born%f.layout.centres()), n, gap)
	if err != nil {
		return nil, err
	}
	p, err := newProxy(s.Addr())
	if err != nil {
		return nil, err
	}
	s.ListedAddr = p.addr()
	if service == "llm" {
		s.Version = fmt.Sprintf("v%d", 1+f.born/centres%2) // both versions in each data centre
	}
	s.CrashOn = isGuilty
	s.CrashOnPart = isDeadPart
	s.CloseDelimited = f.born%4 == 0
	out := &server{Server: s, proxy: p}
	s.BeforeCrash = p.stopListening
	s.OnCrash = func() { f.ended(out) }
	f.servers = append(f.servers, out)
	f.store.PutServer(s, "ready")
	return out, nil
}

// configure writes the next version: its own route comes, that of two versions
// before goes.
func (f *fleet) configure() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	route := func(prefix, kind, service string, attempts int, resume bool) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Kind: kind, Service: service, MaxAttempts: attempts, Resumable: resume, Timeout: routeTimeout}
	}
	routes := []platformtest.Route{
		route("/s/", "streaming", "llm", 2, true),
		route("/o/", "streaming", "llm", 2, false),
		route("/u/", "unsafe", "app", 2, false),
		route("/r/", "safe", "app", 2, false),
	}
	for v := max(1, f.version-1); v <= f.version; v++ {
		routes = append(routes, route(fmt.Sprintf("/v%d/", v), "safe", "app", 2, false))
	}
	for i := range f.extra {
		routes = append(routes, route(fmt.Sprintf("/extra/%d/", i), "safe", "app", 2, false))
	}
	f.config = platformtest.WithSlowStart(platformtest.Config(f.version, routes, []string{"llm"}, []string{"app"}, keys), warmup, coldPerS)
	f.store.PutConfig(f.config)
	return f.version
}

// keys are the customers' keys.
var keys = map[string]string{"key-a": "ana", "key-b": "bea", "key-c": "cid"}

const settingsText = `[router]
name = %[1]s
data_centre = %[2]s
[listen]
callers = %[3]s:%[4]d
ready = %[3]s:%[5]d
control = %[3]s:%[6]d
datagrams = %[3]s:%[7]d
[platform]
store = %[8]s
[fleet]
seeds = 127.0.0.10:%[6]d,127.0.0.11:%[6]d
[limits]
cores = %[12]g
memory_mb = %[9]d
[retries]
ratio = 0.2
slack = %[10]d
[bounds]
grace_s = %[11]d
[scheduler]
room = 0
`

// fewCores are so few that two requests at once are more than a router serves itself.
const fewCores = 0.05

// retrySlack is that of the fleet's budget.
const retrySlack = 52

// start starts a router's process; its output goes to a file.
func (f *fleet) start(r *router) error {
	r.file = filepath.Join(f.dir, r.name+".ini")
	r.log = filepath.Join(f.dir, r.name+".log")
	dataCentre, cores := "dc"+r.name[len(r.name)-1:], 1.0
	if f.layout != spread {
		dataCentre = "dc0"
	}
	if f.layout == relaying && r == f.routers[0] {
		cores = fewCores
	}
	text := fmt.Sprintf(settingsText, r.name, dataCentre, r.ip, f.ports[0], f.ports[1], f.ports[2], f.ports[3],
		r.store.addr(), f.memoryMB, retrySlack, graceS, cores)
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "--settings", r.file)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the soak is interrupted
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	r.cmd, r.started, r.expects, r.stopped = cmd, time.Now(), false, false
	r.interruptions = append(r.interruptions, r.started)
	f.mu.Unlock()
	f.exits.Add(1)
	go f.await(r, cmd, out)
	return nil
}

// await notes an end that nobody caused.
func (f *fleet) await(r *router, cmd *exec.Cmd, out *os.File) {
	defer f.exits.Done()
	err := cmd.Wait()
	_ = out.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.cmd == cmd {
		r.cmd = nil
		if !r.expects {
			f.verdicts.report(noUnaskedExit, "%s: %v", r.name, err)
		}
	}
}

// signal sends a signal to a router's process, by its id.
func (f *fleet) signal(r *router, sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		r.expects = true
	}
	if sig == syscall.SIGCONT && r.stopped {
		r.thawed = time.Now()
	}
	if sig == syscall.SIGSTOP || sig == syscall.SIGCONT {
		r.interruptions = append(r.interruptions, time.Now())
	}
	r.stopped = sig == syscall.SIGSTOP
	// A process that has just ended by itself is reported by await.
	_ = r.cmd.Process.Signal(sig)
}

// gone waits until a router's process has ended, at most d.
func (f *fleet) gone(r *router, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		over := r.cmd == nil
		f.mu.Unlock()
		if over {
			return true
		}
	}
	return false
}

// callers returns a router's address for callers.
func (f *fleet) callers(r *router) string { return fmt.Sprintf("%s:%d", r.ip, f.ports[0]) }

// ready asks a router whether it takes connections.
func (f *fleet) ready(r *router) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", r.ip, f.ports[1], platformtest.PathReady), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// allReady waits until every router is ready.
func (f *fleet) allReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, r := range f.routers {
			if f.ready(r) {
				n++
			}
		}
		if n == len(f.routers) {
			return true
		}
	}
	return false
}

// live returns the servers of a service that have not left.
func (f *fleet) live(service string) (list []*server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.left.IsZero() && s.Service == service {
			list = append(list, s)
		}
	}
	return list
}

// close ends all processes that the fleet started, and the stand-ins.
func (f *fleet) close() {
	for _, r := range f.routers {
		f.signal(r, syscall.SIGCONT)
		f.signal(r, syscall.SIGKILL)
	}
	f.exits.Wait()
	for _, r := range f.routers {
		r.store.close()
	}
	f.store.SetFault(nil)
	f.storeHTTP.CloseClientConnections()
	f.storeHTTP.Close()
	for _, s := range f.servers {
		s.proxy.close()
		s.Close()
	}
}
