package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
	"github.com/windscale/windscale/test/loopback"
)

// deployment is what the settings of a deployment's machines have in common.
type deployment struct {
	zones    []string
	region   string
	memoryMB int
	slack    int
}

// The small deployments, as their sheets give them.
var (
	tpaHQ   = deployment{zones: []string{"ba-norte", "ba-centro", "ba-sur"}, region: "ba", memoryMB: 134, slack: 52}
	quetzal = deployment{zones: []string{"mixco-a", "villa-nueva-b", "zona-doce", "amatitlan-c"}, region: "gt-central", memoryMB: 284, slack: 56}
)

const settingsFile = `[router]
name = %[1]s
data_centre = %[2]s

[listen]
callers = %[3]s:%[4]d
ready = %[3]s:%[5]d
control = %[3]s:%[6]d
datagrams = %[3]s:%[7]d
metrics = %[3]s:%[8]d

[platform]
store = %[9]s

[fleet]
seeds = %[10]s
first_start = true

[limits]
cores = 0.4
memory_mb = %[11]d

[retries]
ratio = 0.2
slack = %[12]d

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
%[13]s
[bounds]
grace_s = 8

[relay]
enabled = true

[log]
level = info
`

// settingsVariable names the settings file, as the platform does.
const settingsVariable = "WINDSCALE_NODE_FILE"

const readyWithin = 20 * time.Second

// stage is everything that a case has started.
type stage struct {
	program string
	dir     string
	began   time.Time
	store   *platformtest.Store
	site    deployment

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	routers []*router
	closers []func()
}

// router is one process of the system under review.
type router struct {
	name, zone, ip string
	ports          [5]int
	cmd            *exec.Cmd
	ended          chan struct{}
}

func newStage(program, record string) (*stage, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &stage{program: program, dir: dir, began: time.Now(), store: platformtest.NewStore(), site: tpaHQ, record: bufio.NewWriter(f), file: f}, nil
}

// note writes one line of the record, with the seconds since the start.
func (st *stage) note(format string, args ...any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, _ = fmt.Fprintf(st.record, "%9.4f  %s\n", time.Since(st.began).Seconds(), fmt.Sprintf(format, args...))
}

// serveStore serves the store at a new address.
func (st *stage) serveStore(h http.Handler) (addr string) {
	s := httptest.NewServer(h)
	st.closers = append(st.closers, func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// startRouters starts a router for each zone, each with its own address of the store, and waits until
// all are ready.
func (st *stage) startRouters(zones, stores []string) error {
	var ports [5]int
	const firstIP = "127.0.0.41"
	for i := range ports {
		port, err := loopback.ReservePort(firstIP)
		if err != nil {
			return err
		}
		ports[i] = port
	}
	for i, zone := range zones {
		st.routers = append(st.routers, &router{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 41+i), ports: ports})
	}
	for i, r := range st.routers {
		if err := st.startRouter(r, stores[i], st.seeds()); err != nil {
			return err
		}
	}
	for _, r := range st.routers {
		if !r.becomesReady() {
			return fmt.Errorf("%s is not ready after %v", r.name, readyWithin)
		}
	}
	return nil
}

// seeds returns the control addresses of the first three routers.
func (st *stage) seeds() string {
	var list []string
	for _, r := range st.routers[:min(3, len(st.routers))] {
		list = append(list, fmt.Sprintf("%s:%d", r.ip, r.ports[2]))
	}
	return strings.Join(list, ",")
}

func (st *stage) startRouter(r *router, store, seeds string) error {
	file := filepath.Join(st.dir, r.name+".ini")
	var regions strings.Builder
	for _, zone := range st.site.zones {
		fmt.Fprintf(&regions, "%s = %s\n", zone, st.site.region)
	}
	text := fmt.Sprintf(settingsFile, r.name, r.zone, r.ip, r.ports[0], r.ports[1], r.ports[2], r.ports[3], r.ports[4], store, seeds,
		st.site.memoryMB, st.site.slack, regions.String())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(st.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.cmd = exec.Command(st.program)
	r.cmd.Env = []string{settingsVariable + "=" + file, "PATH=" + os.Getenv("PATH")}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func() {
		_ = r.cmd.Wait()
		_ = out.Close()
		close(r.ended)
	}()
	st.note("start %s at %s", r.name, r.ip)
	return nil
}

// front returns the address for clients.
func (r *router) front() string { return fmt.Sprintf("%s:%d", r.ip, r.ports[0]) }

func (r *router) becomesReady() bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", r.ip, r.ports[1], platformtest.PathReady))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// listen returns a listener at a free loopback port, which the stage closes.
func (st *stage) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	st.closers = append(st.closers, func() { _ = ln.Close() })
	return ln, nil
}

// close ends all processes and stand-ins that the stage has started.
func (st *stage) close() {
	for _, r := range st.routers {
		if r.ended != nil {
			_ = r.cmd.Process.Kill()
			<-r.ended
		}
	}
	st.store.SetFault(nil)
	for _, f := range st.closers {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(st.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", st.dir)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	_ = st.record.Flush()
	_ = st.file.Close()
}

// entry is what a server writes about itself.
func entry(service, addr, zone string, slots int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmupLeftMs":0,"sequence":1}`, service, addr, zone, slots)
}
