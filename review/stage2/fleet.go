package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
	"github.com/windscale/windscale/test/loopback"
)

// program is the command of the deploy file, run in the root of the repository.
const program = "target/windscale-edge"

// Figures of the small deployment tpa-hq.
const (
	memoryMB = 134
	cpuShare = 0.4
	graceS   = 8
	slack    = 52
	ratio    = 0.2
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
)

// fleet is the platform's stand-in: its store, the servers and the routers' processes.
type fleet struct {
	dir       string
	record    *record
	store     *platformtest.Store
	storeAddr string
	ports     [4]int
	servers   []*platformtest.Server

	mu      sync.Mutex
	routers []*router
	done    bool
}

// router is one machine with its process.
type router struct {
	fleet *fleet
	name  string
	zone  string
	ip    string
	store string // the store's address for this machine
	first bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	expects bool // the end is the platform's doing
	ends    int  // unexpected ends, with those for too much memory
	peakKB  int
}

func newFleet(dir string, rec *record) (*fleet, error) {
	f := &fleet{dir: dir, record: rec, store: platformtest.NewStore()}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, f.store) }()
	for i := range f.ports {
		if f.ports[i], err = loopback.ReservePort("127.0.0.21"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addServers starts n servers of a service and registers them.
func (f *fleet) addServers(service string, n, events, slots int, gap time.Duration) error {
	for range n {
		s, err := platformtest.NewServer(fmt.Sprintf("i-%s-%d", service, len(f.servers)), service, "ba-norte", events, gap)
		if err != nil {
			return err
		}
		s.Slots = slots
		f.servers = append(f.servers, s)
		f.store.PutServer(s, "ready")
	}
	return nil
}

// addRouter registers a machine; start starts its process.
func (f *fleet) addRouter(zone string) *router {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &router{fleet: f, name: fmt.Sprintf("edge-%d", len(f.routers)), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 21+len(f.routers)), store: f.storeAddr, first: true}
	f.routers = append(f.routers, r)
	return r
}

func (r *router) front() string { return fmt.Sprintf("%s:%d", r.ip, r.fleet.ports[0]) }
func (r *router) ready() string { return fmt.Sprintf("%s:%d", r.ip, r.fleet.ports[1]) }

const settings = `[router]
name = %s
data_centre = %s
[listen]
callers = %s:%d
ready = %s:%d
control = %s:%d
datagrams = %s:%d
[platform]
store = %s
[fleet]
seeds = 127.0.0.21:%d,127.0.0.22:%d
first_start = %t
[limits]
cores = %g
memory_mb = %d
[retries]
ratio = %g
slack = %d
[slow_start]
over =
slack =
[rollout]
share =
slack =
[scheduler]
enabled = true
room = 25
[regions]
ba-norte = ba
ba-centro = ba
ba-sur = ba
[bounds]
grace_s = %d
[relay]
enabled = true
[log]
level = info
`

// start starts the process.
func (r *router) start() error {
	f := r.fleet
	file := filepath.Join(f.dir, r.name+".ini")
	text := fmt.Sprintf(settings, r.name, r.zone, r.ip, f.ports[0], r.ip, f.ports[1], r.ip, f.ports[2], r.ip, f.ports[3],
		r.store, f.ports[2], f.ports[2], r.first, cpuShare, memoryMB, ratio, slack, graceS)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "WINDSCALE_NODE_FILE=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.cmd, r.expects, r.first = cmd, false, false
	r.mu.Unlock()
	f.record.add("start %s at %s", r.name, r.ip)
	go r.await(cmd, out)
	return nil
}

// await starts the process again after its end, as the platform does.
func (r *router) await(cmd *exec.Cmd, out *os.File) {
	err := cmd.Wait()
	_ = out.Close()
	r.mu.Lock()
	expected := r.expects
	if !expected {
		r.ends++
	}
	r.cmd = nil
	r.mu.Unlock()
	if f := r.fleet; f.ended() {
		return
	}
	if !expected {
		r.fleet.record.add("%s: its process ended by itself or for too much memory: %v", r.name, err)
	}
	time.Sleep(restartDelay)
	if r.fleet.ended() {
		return
	}
	if err := r.start(); err != nil {
		r.fleet.record.add("%s: does not start again: %v", r.name, err)
	}
}

func (f *fleet) ended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done
}

// signal sends a signal to the process. expected says that its end, if any, is the platform's doing.
func (r *router) signal(sig syscall.Signal, expected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.expects = r.expects || expected
		_ = r.cmd.Process.Signal(sig)
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	f.done = true
	routers := f.routers
	f.mu.Unlock()
	for _, r := range routers {
		r.signal(syscall.SIGKILL, true)
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// memoryKB returns the resident memory of the process, without that of its files; 0 if there is none.
func (r *router) memoryKB() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0
			}
			r.peakKB = max(r.peakKB, kb)
			return kb
		}
	}
	return 0
}

// limitMemory kills a process that exceeds its memory, as the platform does.
func (f *fleet) limitMemory() {
	for !f.ended() {
		for _, r := range f.routers {
			if kb := r.memoryKB(); kb > memoryMB<<10 {
				f.record.add("%s: memory %d MB, over the limit of %d MB: killed", r.name, kb>>10, memoryMB)
				r.signal(syscall.SIGKILL, false)
				time.Sleep(20 * time.Millisecond)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// isReady asks the process whether it accepts connections.
func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + r.ready() + platformtest.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, r := range f.routers {
			all = all && r.isReady()
		}
		if all {
			return true
		}
	}
	return false
}
