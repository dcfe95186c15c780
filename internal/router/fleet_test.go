package router

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/windscale/windscale/internal/config"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/settingsstore"
	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
	"github.com/windscale/windscale/internal/standin/engine"
	standin "github.com/windscale/windscale/internal/standin/platform"
	"github.com/windscale/windscale/internal/standin/service"
)

const (
	key     = "key-of-desk"
	token   = "operators-token"
	soon    = 20 * time.Second // generous: nothing waits so long unless it fails
	addrAny = "127.0.0.1:0"
)

const settingsText = `[fleet]
drain_limit = %s
[service dispatch]
once = POST /bookings
refused_status = 503
[tree]
weight = 1
retry_percent = 10
queue_time = 3s
models = *
services = *
first_token = 10s
between_tokens = 10s
objective_fraction = 0.95
[tree/org]
[tree/org/desk]
keys = %x
[tree/org/strict]
models = other
services = none
keys = %x
`

// fleet is routers in this process before stand-ins on loopback.
type fleet struct {
	t         *testing.T
	dir       string
	authority *fleetcert.Authority
	platform  *httptest.Server
	hosts     []platform.Host
}

// node is one router that runs.
type node struct {
	*Router
	done chan error
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	f := &fleet{t: t, dir: t.TempDir(), platform: serve(t, standin.New(0))}
	var err error
	f.authority, err = fleetcert.NewAuthority(time.Now())
	assert.NilError(t, err)
	f.write("ca.pem", f.authority.Pair().Cert)
	return f
}

func serve(t *testing.T, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (f *fleet) write(name string, body []byte) string {
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, body, 0o600))
	return path
}

// post sends v as JSON to a stand-in.
func (f *fleet) post(method, url string, v any) {
	f.t.Helper()
	body, err := json.Marshal(v)
	assert.NilError(f.t, err)
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
	assert.Assert(f.t, resp.StatusCode < 300, "%s: %d", url, resp.StatusCode)
}

// setHost puts a host on the platform's list, or changes it.
func (f *fleet) setHost(h platform.Host) {
	for i := range f.hosts {
		if f.hosts[i].ID == h.ID {
			f.hosts = append(f.hosts[:i], f.hosts[i+1:]...)
			break
		}
	}
	f.hosts = append(f.hosts, h)
	f.post("PUT", f.platform.URL+"/_hosts", f.hosts)
}

func (f *fleet) fault(service string, mode standin.Mode) {
	f.post("POST", f.platform.URL+"/_fault", standin.Fault{Service: service, Mode: mode})
}

func (f *fleet) addServer(id string, h http.Handler) *httptest.Server {
	s := serve(f.t, h)
	f.setHost(platform.Host{ID: id, Role: platform.RoleServer, Addr: s.Listener.Addr().String(), DataCentre: "dc1", State: platform.HostLive})
	return s
}

func (f *fleet) addEngine(id string) (*engine.Engine, *httptest.Server) {
	e := engine.New(engine.Options{ID: id, Models: []string{"plan-7b"}, Slots: 8, Rate: 100, ResumeWindow: time.Second})
	ctx, stop := context.WithCancel(f.t.Context())
	f.t.Cleanup(stop)
	go e.Run(ctx)
	return e, f.addServer(id, e)
}

func (f *fleet) accept(base uint64, drainLimit string) {
	client := httpplatform.New(f.platform.URL, &http.Client{})
	text := fmt.Sprintf(settingsText, drainLimit, sha256.Sum256([]byte(key)), sha256.Sum256([]byte("strict")))
	_, err := settingsstore.New(client, client).Accept(f.t.Context(), settingsstore.Edit{
		ID: settingsstore.NewEditID(), Base: base, Source: []byte(text), Editor: "test",
	})
	assert.NilError(f.t, err)
}

// start runs a router and puts it on the host list. link is empty, or the
// address it had before.
func (f *fleet) start(id msg.RouterID, link string) *node {
	f.t.Helper()
	pair, err := f.authority.Router(id, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	assert.NilError(f.t, err)
	if link == "" {
		link = addrAny
	}
	r, err := New(&config.Router{
		ID: id, DataCentre: "dc1", Entry: addrAny, Link: link, Admin: addrAny, AdminToken: token,
		Sharing: config.SharingFleet, PlatformURL: f.platform.URL, CA: filepath.Join(f.dir, "ca.pem"),
		Cert: f.write(string(id)+".pem", pair.Cert), Key: f.write(string(id)+"-key.pem", pair.Key),
	}, slog.New(slog.DiscardHandler))
	assert.NilError(f.t, err)
	f.setHost(platform.Host{ID: string(id), Role: platform.RoleRouter, Addr: r.link.Addr().String(), DataCentre: "dc1", State: platform.HostLive})
	var g run.Group
	assert.NilError(f.t, r.Actors(&g))
	n := &node{Router: r, done: make(chan error, 1)}
	go func() { n.done <- g.Run(); close(n.done) }()
	f.t.Cleanup(func() { r.Drain(); <-n.done })
	return n
}

func (n *node) url() string { return "http://" + n.entryLn.Addr().String() }

// ready is the status of the readiness check.
func (n *node) ready() int {
	resp, err := http.Get("http://" + n.adminLn.Addr().String() + "/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// until waits for ok with a generous limit.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(soon), poll.WithDelay(20*time.Millisecond))
}

func (n *node) untilReady(t *testing.T, version uint64) {
	t.Helper()
	until(t, "ready with the settings", func() bool {
		return n.ready() == 200 && n.Status().SettingsVersion == version
	})
}

// untilServed waits until the router serves both kinds of call.
func (n *node) untilServed(t *testing.T) {
	t.Helper()
	until(t, "served", func() bool {
		code, _ := n.call(t, "GET", "/services/dispatch/jobs/1", "", nil)
		return code == 200 && n.chat(t, 2) == nil
	})
}

func (n *node) call(t *testing.T, method, path, body string, header map[string]string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, n.url()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(b)
}

// cutError says that a stream was not whole and right.
type cutError string

func (e cutError) Error() string { return string(e) }

// prompts makes each prompt another one, so that each answer is another one.
var prompts atomic.Int64

// chat streams a completion of up to so many tokens and checks every byte of
// its text.
func (n *node) chat(t *testing.T, tokens int) error {
	prompt := fmt.Sprint(prompts.Add(1), " paintings to move")
	body := fmt.Sprintf(`{"model":"plan-7b","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	req, err := http.NewRequest("POST", n.url()+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, done := "", false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var chunk engine.Answer
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		case json.Unmarshal([]byte(data), &chunk) != nil:
			return cutError("bad event " + data)
		case len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil:
			text += chunk.Choices[0].Delta.Content
		}
	}
	want := answer.Complete(answer.Prompt([]answer.Message{{Role: "user", Content: prompt}}), tokens)
	if resp.StatusCode != 200 || !done || lines.Err() != nil || text != want.Text(0, want.Len()) {
		return cutError(fmt.Sprint(resp.StatusCode, done, lines.Err(), text))
	}
	return nil
}

// runs lists what began to run at a stand-in.
func runs(t *testing.T, s *httptest.Server) []backend.Run {
	t.Helper()
	resp, err := http.Get(s.URL + "/_record")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var log backend.Log
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&log))
	return log.Runs
}

func TestTwoRoutersServeEndToEnd(t *testing.T) {
	f := newFleet(t)
	f.accept(0, "10s")
	f.addEngine("e1")
	svc := f.addServer("d1", service.New(service.Options{ID: "d1", Name: "dispatch", Slots: 4}))
	r1, r2 := f.start("r1", ""), f.start("r2", "")
	for _, r := range []*node{r1, r2} {
		r.untilReady(t, 1)
		r.untilServed(t)
		assert.NilError(t, r.chat(t, 30))
	}
	until(t, "members", func() bool { return len(r1.Status().Members) == 2 && len(r2.Status().Members) == 2 })
	booking := map[string]string{"Idempotency-Key": "two-trucks"}
	code, first := r1.call(t, "POST", "/services/dispatch/bookings", "two trucks", booking)
	assert.Equal(t, code, 200, first)
	code, again := r2.call(t, "POST", "/services/dispatch/bookings", "two trucks", booking)
	assert.Equal(t, code, 200, again)
	assert.Equal(t, again, first)
	executed := 0
	for _, r := range runs(t, svc) {
		if r.Key == "two-trucks" {
			executed++
		}
	}
	assert.Equal(t, executed, 1)
	f.accept(1, "11s")
	r1.untilReady(t, 2)
	r2.untilReady(t, 2)
}

// A router that starts while the store is down takes the settings of its peer,
// and is not ready before it has some.
func TestRestartWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	f.accept(0, "10s")
	r1, r2 := f.start("r1", ""), f.start("r2", "")
	r1.untilReady(t, 1)
	r2.untilReady(t, 1)
	r1.Drain()
	assert.NilError(t, <-r1.done)
	f.fault(standin.Table, standin.Down)
	f.fault(standin.Objects, standin.Down)
	r1 = f.start("r1", r1.cfg.Link)
	r1.untilReady(t, 1)
	assert.Equal(t, r1.Status().SettingsDigest, r2.Status().SettingsDigest)

	r1.Drain()
	r2.Drain()
	assert.NilError(t, <-r1.done)
	assert.NilError(t, <-r2.done)
	r3 := f.start("r3", "")
	until(t, "read of the store", func() bool { return r3.follower.Stats().StoreErrors > 0 })
	assert.Equal(t, r3.ready(), 503)
	code, body := r3.call(t, "GET", "/services/dispatch/jobs/1", "", nil)
	assert.Equal(t, code, 503)
	assert.Assert(t, strings.Contains(body, "not-ready"))
	f.fault(standin.Table, standin.OK)
	f.fault(standin.Objects, standin.OK)
	r3.untilReady(t, 1)
}

// A drain lets every stream end whole, those that wait for a slot included,
// takes nobody new, and ends by itself. The other parts run until then: they
// ended with the listener.
func TestDrainCutsNoStream(t *testing.T) {
	f := newFleet(t)
	f.accept(0, "1m")
	f.addEngine("e1")
	f.addServer("d1", service.New(service.Options{ID: "d1", Name: "dispatch", Slots: 4}))
	r1, r2 := f.start("r1", ""), f.start("r2", "")
	r1.untilReady(t, 1)
	r2.untilReady(t, 1)
	r1.untilServed(t)
	const slots, streams = 8, 12
	ends := make(chan error, streams)
	for range streams {
		go func() { ends <- r1.chat(t, 300) }()
	}
	until(t, "running and waiting", func() bool {
		s := r1.Status()
		return s.Running == slots && s.Waiting == streams-slots
	})
	r1.Drain()
	assert.Equal(t, r1.ready(), 503)
	until(t, "closed to callers", func() bool {
		c, err := net.Dial("tcp", r1.entryLn.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	assert.Assert(t, r1.Status().Running > 0, "the streams were to outlast the listener")
	assert.NilError(t, r1.ctx.Err())
	for range streams {
		assert.NilError(t, <-ends)
	}
	assert.NilError(t, <-r1.done)
	assert.Equal(t, r1.drainState().Cut, uint64(0))
	r2.untilServed(t)
}

// The drain limit of the settings, or a second signal, cuts what is left, and
// that visibly.
func TestDrainCutsVisibly(t *testing.T) {
	for _, c := range []struct {
		name, limit string
		end         func(*node)
		cause       error
	}{
		{"limit", "1s", func(n *node) { n.Drain() }, context.DeadlineExceeded},
		{"second signal", "1m", func(n *node) {
			n.signals <- syscall.SIGTERM
			until(t, "draining", n.drain.draining)
			n.signals <- syscall.SIGTERM
		}, context.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.accept(0, c.limit)
			f.addEngine("e1")
			r1 := f.start("r1", "")
			r1.untilReady(t, 1)
			until(t, "served", func() bool { return r1.chat(t, 2) == nil })
			end := make(chan error, 1)
			go func() { end <- r1.chat(t, 5000) }()
			until(t, "running", func() bool { return r1.Status().Running == 1 })
			c.end(r1)
			err := <-r1.done
			assert.ErrorIs(t, err, c.cause)
			cut, ok := errors.AsType[*CutError](err)
			assert.Assert(t, ok && cut.Requests == 1, "%v", err)
			assert.Assert(t, <-end != nil)
			v := vars(t, r1)
			assert.Equal(t, v["drain.cut_total"], 1.0)
			assert.Assert(t, v["drain.draining_seconds"] > 0)
		})
	}
}

// A leaving engine gets no new work, whether it says so itself or the host
// list does; what runs there ends whole; it may come back.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	f := newFleet(t)
	f.accept(0, "10s")
	leaver, at := f.addEngine("e1")
	_, other := f.addEngine("e2")
	r1 := f.start("r1", "")
	r1.untilReady(t, 1)
	until(t, "both known", func() bool {
		v := r1.sharer.ServerViews()
		return len(v) == 2 && v[0].Reported && v[1].Reported
	})
	long := make(chan error, 64)
	started := 0
	until(t, "running at both", func() bool {
		if len(runs(t, at)) > 0 && len(runs(t, other)) > 0 {
			return true
		}
		started++
		go func() { long <- r1.chat(t, 300) }()
		return started == cap(long)
	})
	leaver.Leave()
	until(t, "known to leave", func() bool { return r1.servers.state("e1") == "leaving" })
	before := len(runs(t, at))
	for range 10 {
		assert.NilError(t, r1.chat(t, 2))
	}
	assert.Equal(t, len(runs(t, at)), before)
	for range started {
		assert.NilError(t, <-long)
	}

	h := platform.Host{ID: "e2", Role: platform.RoleServer, Addr: other.Listener.Addr().String(), DataCentre: "dc1", State: platform.HostLeaving}
	f.setHost(h)
	until(t, "listed as leaving", func() bool { return r1.servers.state("e2") == "leaving" })
	before = len(runs(t, other))
	assert.Assert(t, r1.chat(t, 2) != nil)
	assert.Equal(t, len(runs(t, other)), before)
	h.State = platform.HostLive
	f.setHost(h)
	until(t, "back", func() bool { return r1.chat(t, 2) == nil })
	assert.Equal(t, r1.servers.state("e2"), "live")
}
