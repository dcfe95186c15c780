package node

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/run"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/settings"
	"github.com/windscale/windscale/platform/platformtest"
	"github.com/windscale/windscale/test/loopback"
)

// fleet is some routers before stand-ins of the platform, all in this process.
type fleet struct {
	t       testing.TB
	store   *platformtest.Store
	stored  *httptest.Server
	servers []*platformtest.Server
	ports   [4]int
	ids     atomic.Int64 // of attempts
	// settings are sections beside those that each router has.
	settings string
	// prompts is how many shared parts the requests' prompts have between them; 0: one.
	prompts int64
}

// member is one router.
type member struct {
	f          *fleet
	ip         string
	dataCentre string
	ports      [4]int // of callers, readiness, control and datagrams
	node       *Node
	kill       func()
}

// fleetEngines is how many engines a fleet has: more than a request may end in the
// tests, so that a choice is left while some are away.
const fleetEngines = 10

// newFleet starts the platform. Its routers listen on the loopback network 127.0.NET.
func newFleet(t testing.TB, network int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: platformtest.NewStore()}
	f.stored = httptest.NewServer(f.store)
	t.Cleanup(f.stored.Close)
	t.Cleanup(f.stored.CloseClientConnections)
	f.ports = reservePorts(t, fmt.Sprintf("127.0.%d.1", network))
	route := func(prefix string, resume bool) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Kind: "streaming", Service: "llm", MaxAttempts: 2, Resumable: resume, Timeout: 5 * time.Second}
	}
	f.store.PutConfig(platformtest.Config(1, []platformtest.Route{route("/o/", false), route("/s/", true)}, []string{"llm"}, nil, map[string]string{"k": "ana"}))
	for i := range fleetEngines {
		s, err := platformtest.NewServer(fmt.Sprintf("i-%d", i), "llm", "dc", 5, time.Millisecond)
		assert.NilError(t, err)
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
		f.store.PutServer(s, "ready")
	}
	return f
}

// reservePorts reserves a port on ip for each of a router's listeners.
func reservePorts(t testing.TB, ip string) (ports [4]int) {
	t.Helper()
	for i := range ports {
		port, err := loopback.ReservePort(ip)
		assert.NilError(t, err)
		ports[i] = port
	}
	return ports
}

// start starts a router that knows the seeds, and waits until it is ready.
func (f *fleet) start(ip string, seeds ...*member) *member {
	m := &member{f: f, ip: ip, dataCentre: "dc", ports: f.ports}
	m.start(seeds...)
	return m
}

// start starts the router's node, also after a kill, and waits until it is ready.
func (m *member) start(seeds ...*member) {
	m.begin(seeds...)
	edgetest.Until(m.f.t, "ready", m.node.ready)
}

// begin starts the router's node.
func (m *member) begin(seeds ...*member) {
	t := m.f.t
	var controls []string
	for _, s := range seeds {
		controls = append(controls, s.addr(2))
	}
	text := fmt.Sprintf(`[router]
name = %s
data_centre = %s
[listen]
callers = %s
ready = %s
control = %s
datagrams = %s
[platform]
store = %s
[fleet]
seeds = %s
[limits]
memory_mb = 256
[retries]
ratio = 0.2
slack = 200
[bounds]
grace_s = 1
%s
`, m.ip, m.dataCentre, m.addr(0), m.addr(1), m.addr(2), m.addr(3), strings.TrimPrefix(m.f.stored.URL, "http://"), strings.Join(controls, ","), m.f.settings)
	path := filepath.Join(t.TempDir(), "edge.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Load(path)
	assert.NilError(t, err)
	m.node, err = New(path, s, new(slog.LevelVar), slog.New(slog.NewTextHandler(io.Discard, nil)), func() int64 { return 0 })
	assert.NilError(t, err)
	m.run()
}

// run runs the node until it is killed.
func (m *member) run() {
	var g run.Group
	m.node.Actors(&g, nil, nil)
	stop := make(chan struct{})
	g.Add(func() error { <-stop; return nil }, func(error) {})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = g.Run() // it ends as it is told to
	}()
	killed := false
	m.kill = func() {
		if killed {
			return
		}
		killed = true
		close(stop)
		<-ended
		_ = m.node.callers.Close()
	}
	m.f.t.Cleanup(m.kill)
}

// addr is the router's address with the port of the index.
func (m *member) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.ports[port]) }

// send makes one request of an attempt of its own, whose ID begins with name, and returns
// the answer's status; 0: none.
func (m *member) send(path, name, body string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.addr(0)+path, strings.NewReader(body))
	assert.NilError(m.f.t, err)
	req.Host = platformtest.Host
	id := m.f.ids.Add(1)
	prompt := fmt.Sprintf("aa%d:600,bb:100", id%max(m.f.prompts, 1))
	platformtest.SetRequestHeaders(req.Header, fmt.Sprintf("%s-%d", name, id), "k", 5*time.Second, prompt)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
