package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/upstream"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// rig is a router's request path before stand-in servers.
type rig struct {
	t       *testing.T
	state   *state.State
	handler *front.Handler
	server  *httptest.Server
	log     *edgetest.LogBuffer
	wait    atomic.Int64 // of the processor, ns
	ids     int
	config  int
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, log: &edgetest.LogBuffer{}, state: state.New("dc", 0.2, 80, time.Now)}
	r.handler = front.New(front.Config{
		State:   r.state,
		Pool:    upstream.NewPool(time.Now),
		Headers: platform.Headers{},
		Log:     slog.New(slog.NewJSONHandler(r.log, nil)),
		OneIn:   1,
		MaxHeld: 8 << 20,
		Meter:   meter.New(),

		ProcessorWait: func() time.Duration { return time.Duration(r.wait.Load()) },
		NearConnLimit: func() bool { return false },
		MaxRunning:    100,
	})
	r.server = httptest.NewUnstartedServer(r.handler)
	r.server.Config.ErrorLog = slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), slog.LevelError)
	r.server.Start()
	t.Cleanup(r.server.Close)
	return r
}

// routes of every test: /s/ stream that may be resumed, /o/ stream that may
// not, /u/ unsafe, /r/ safe.
func (r *rig) configure() {
	r.config++
	route := func(prefix, kind, service string, attempts int, resume bool) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Kind: kind, Service: service, MaxAttempts: attempts, Resumable: resume, Timeout: 2 * time.Second}
	}
	text := platformtest.Config(r.config, []platformtest.Route{
		route("/s/", "streaming", "llm", 2, true),
		route("/o/", "streaming", "llm", 2, false),
		route("/u/", "unsafe", "app", 2, false),
		route("/r/", "safe", "app", 2, false),
	}, []string{"llm"}, []string{"app"}, map[string]string{"k": "ana"})
	c, err := platform.DecodeConfig(text)
	assert.NilError(r.t, err)
	assert.Assert(r.t, r.state.ApplyConfig(c, text))
	r.state.ConfirmConfig(0)
}

// servers starts n servers of each service and lists them.
func (r *rig) servers(n int) (engines, plain []*platformtest.Server) {
	r.t.Helper()
	var list []routing.Server
	start := func(service string, i, events int) *platformtest.Server {
		s, err := platformtest.NewServer(fmt.Sprintf("i-%s%d", service, i), service, "dc", events, time.Millisecond)
		assert.NilError(r.t, err)
		r.t.Cleanup(s.Close)
		list = append(list, routing.Server{ID: s.ID, Service: service, Addr: s.Addr(), DataCentre: "dc", Slots: 8, State: routing.ServerReady})
		return s
	}
	for i := range n {
		engines = append(engines, start("llm", i, 10))
		plain = append(plain, start("app", i, 0))
	}
	r.state.ReplaceServers(list, roster.Stamp{Version: 1}, true)
	return engines, plain
}

// answer is what a caller sees.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error // of the body
	close  bool  // it ends its connection
}

// call makes one request of a new attempt.
func (r *rig) call(ctx context.Context, method, path, key, body string) answer {
	r.ids++
	a := answer{id: fmt.Sprintf("attempt-%d", r.ids)}
	req, err := http.NewRequestWithContext(ctx, method, r.server.URL+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Host = platformtest.Host
	prompt := ""
	if path[1] == 's' || path[1] == 'o' {
		prompt = "aa:600,bb:100"
	}
	platformtest.SetRequestHeaders(req.Header, a.id, key, 2*time.Second, prompt)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err, a.close = resp.StatusCode, resp.Header, string(text), err, resp.Close
	return a
}

// whole is the body of a whole stream.
func whole(id string) string {
	var b strings.Builder
	for n := 1; n <= 10; n++ {
		b.WriteString(platformtest.Event(id, n))
	}
	return b.String()
}

func runs(servers []*platformtest.Server) (all []platformtest.Run) {
	for _, s := range servers {
		all = append(all, s.Runs()...)
	}
	return all
}

// once makes the first request to any of the servers fail.
func once(servers []*platformtest.Server, f platformtest.Fault) {
	var mu sync.Mutex
	used := false
	for _, s := range servers {
		s.SetFault(func(string) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if used {
				return platformtest.NoFault
			}
			used = true
			return f
		})
	}
}

func TestNothingIsKnownYet(t *testing.T) {
	r := newRig(t)
	a := r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.header.Get("Retry-After") != "")
}

func TestRoutesAndKeys(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	assert.Equal(t, r.call(context.Background(), "GET", "/none/x", "k", "").status, 404)
	assert.Equal(t, r.call(context.Background(), "GET", "/r/x", "other", "").status, 401)
	a := r.call(context.Background(), "POST", "/u/a%2Fb?c=d", "k", "hello")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.body, platformtest.Body(a.id))
	assert.Assert(t, platformtest.ServerSeal(a.header) != "")
	run := plain[0].Runs()[0]
	assert.Equal(t, run.Target, "/u/a%2Fb?c=d")
	assert.Equal(t, run.Body, "hello")
	assert.Equal(t, run.Customer, "ana")
	assert.Equal(t, run.Key, "")
	assert.Assert(t, run.DeadlineMs > 1000 && run.DeadlineMs <= 2000, "%d", run.DeadlineMs)
}

// What the view of the store is too old to tell is refused with a promise, so
// that the caller asks another router.
func TestOldViewDoesNotDeny(t *testing.T) {
	r := newRig(t)
	c, err := platform.DecodeConfig(platformtest.Config(1, nil, nil, nil, nil))
	assert.NilError(t, err)
	r.state.ApplyConfig(c, nil)
	assert.Equal(t, r.call(context.Background(), "GET", "/new/x", "k", "").status, 503)
	r.state.ConfirmConfig(0)
	assert.Equal(t, r.call(context.Background(), "GET", "/new/x", "k", "").status, 404)
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	a := r.call(context.Background(), "POST", "/s/x", "k", strings.Repeat("p", 20000))
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, whole(a.id))
	assert.Equal(t, len(runs(engines)), 1)
}

// Unsafe requests run once whatever a server does; only a server's answer that it
// has not run one lets it go to another.
func TestUnsafeRequestsRunAtMostOnce(t *testing.T) {
	for fault, want := range map[platformtest.Fault]int{
		platformtest.ResetAfterRun:     502,
		platformtest.TruncatedResponse: 502,
		platformtest.Garbage:           502,
		platformtest.InternalError:     500,
		platformtest.Overloaded:        200,
		platformtest.EarlyRefusal:      200,
		platformtest.CloseDelimited:    200,
		platformtest.UnsolicitedBefore: 200,
	} {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(2)
		once(plain, fault)
		a := r.call(context.Background(), "POST", "/u/x", "k", strings.Repeat("b", 5000))
		assert.Equal(t, a.status, want, "fault %d", fault)
		assert.Equal(t, len(runs(plain)), 1, "fault %d", fault)
		if want == 200 {
			assert.Equal(t, a.body, platformtest.Body(a.id), "fault %d", fault)
		}
		if want == 502 {
			assert.Equal(t, platformtest.ServerSeal(a.header), "")
		}
	}
}

func TestSafeRequestsAreAskedAgain(t *testing.T) {
	for _, fault := range []platformtest.Fault{
		platformtest.ResetAfterRun, platformtest.TruncatedResponse, platformtest.Garbage,
		platformtest.InternalError, platformtest.Overloaded, platformtest.NoResponse,
	} {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(2)
		once(plain, fault)
		a := r.call(context.Background(), "GET", "/r/x", "k", "")
		assert.Equal(t, a.status, 200, "fault %d", fault)
		assert.Equal(t, a.body, platformtest.Body(a.id))
	}
}

// A refusal is a promise: when it is given, no server has run the request.
func TestRefusalWhenEveryServerIsFull(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(3)
	for _, s := range plain {
		s.SetFault(func(string) platformtest.Fault { return platformtest.Overloaded })
	}
	a := r.call(context.Background(), "POST", "/u/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, len(runs(plain)), 0)
}

// The bytes of another request's answer, before or after a request's own, reach
// no caller, and their connection is not used again.
func TestExtraAnswersReachNobody(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.UnsolicitedBefore, platformtest.UnsolicitedAfter} {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(1)
		once(plain, fault)
		for range 3 {
			a := r.call(context.Background(), "POST", "/u/x", "k", "")
			assert.Equal(t, a.status, 200)
			assert.Equal(t, a.body, platformtest.Body(a.id))
		}
		assert.Equal(t, plain[0].ConnectionsAccepted(), 2, "fault %d", fault)
	}
}

func TestStreamGoesOnAtAnotherServer(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	once(engines, platformtest.TruncatedResponse)
	a := r.call(context.Background(), "POST", "/s/x", "k", "")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, whole(a.id))
	all := runs(engines)
	assert.Equal(t, len(all), 2)
	second := all[0]
	if second.LastEventID == "" {
		second = all[1]
	}
	assert.Equal(t, second.LastEventID, "4", "the last whole event")
}

// A stream that may not be resumed ends visibly cut, and runs once.
func TestStreamThatMayNotGoOnIsCut(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	once(engines, platformtest.TruncatedResponse)
	a := r.call(context.Background(), "POST", "/o/x", "k", "")
	assert.Equal(t, a.status, 200)
	assert.Assert(t, a.err != nil, "it must not look whole")
	assert.Equal(t, len(runs(engines)), 1)
}

func TestCallerThatLeavesCancelsItsRun(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(1)
	engines[0].Events = 1000
	c, err := net.Dial("tcp", strings.TrimPrefix(r.server.URL, "http://"))
	assert.NilError(t, err)
	req, err := http.NewRequest("POST", "/s/x", nil)
	assert.NilError(t, err)
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, "leaver", "k", 2*time.Second, "aa:600,bb:100")
	assert.NilError(t, req.Write(c))
	_, err = bufio.NewReader(c).ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	for !engines[0].Runs()[0].Cancelled {
		time.Sleep(time.Millisecond) // the test's own time limit bounds it
	}
}

// Also a run that has made nothing yet is cancelled, long before its time is over.
func TestCallerThatLeavesASilentServerCancelsItsRun(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	plain[0].SetFault(func(string) platformtest.Fault { return platformtest.NoResponse })
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan struct{})
	go func() {
		defer close(left)
		r.call(ctx, "POST", "/u/x", "k", "")
	}()
	for len(plain[0].Runs()) == 0 {
		time.Sleep(time.Millisecond) // the test's own time limit bounds it
	}
	cancel()
	<-left
	for !plain[0].Runs()[0].Cancelled {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !strings.Contains(r.log.String(), "the time is over"), "the router cancelled it, not the time")
}

// A request that has waited for its route's whole time gets its final answer.
func TestTimeIsOver(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	plain[0].SetFault(func(string) platformtest.Fault { return platformtest.NoResponse })
	a := r.call(context.Background(), "POST", "/u/x", "k", "")
	assert.Equal(t, a.status, 504)
	assert.Assert(t, strings.Contains(r.log.String(), `"reason":"the time is over"`))
}

// A host that is overloaded refuses before it reads a body, and suspects no server
// for answers that it has not read (a flood by one customer made a host of
// 0.19 cores pass requests on seconds late).
func TestOverloadedRouterRefusesAndBlamesNobody(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, plain := r.servers(1)
	r.wait.Store(int64(time.Second))
	a := r.call(context.Background(), "POST", "/s/x", "k", "body")
	assert.Equal(t, a.status, 503)
	assert.Equal(t, len(runs(engines)), 0)
	assert.Assert(t, strings.Contains(r.log.String(), "behind its work"))
	assert.Assert(t, r.state.Report().Rates["ana"].Demand > 0, "the fleet knows that the customer asked: %v", r.state.Report().Rates)

	r.wait.Store(0)
	plain[0].SetFault(func(string) platformtest.Fault {
		r.wait.Store(int64(time.Second))
		return platformtest.NoResponse
	})
	a = r.call(context.Background(), "POST", "/u/x", "k", "body")
	assert.Equal(t, a.status, 504)
	assert.Assert(t, !strings.Contains(r.log.String(), "suspected"), r.log.String())
}

// The configuration's limit of a header holds.
func TestHeaderTooLarge(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	query := strings.Repeat("x", 16<<10)
	a := r.call(context.Background(), "GET", "/r/x?"+query, "k", "")
	assert.Equal(t, a.status, 431)
	assert.Equal(t, len(runs(plain)), 0)
	a = r.call(context.Background(), "GET", "/r/x?"+query[:15<<10], "k", "")
	assert.Equal(t, a.status, 200)
}

// The requests in progress are bounded: their memory is.
func TestTooManyInProgressAreRefused(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	r.handler.MaxRunning = 0
	a := r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, len(runs(plain)), 0)
}

func TestStoppingRouterRefusesWithAPromise(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	r.handler.Drain()
	a := r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 200)
	r.handler.Refuse()
	a = r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Equal(t, len(runs(plain)), 1)
}

// The retry budget holds whatever fails: a router's share of the slack and no
// more than its part of the requests.
func TestRetryBudgetHolds(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(2)
	for _, s := range plain {
		s.SetFault(func(string) platformtest.Fault { return platformtest.InternalError })
	}
	const requests = 100
	for range requests {
		r.call(context.Background(), "GET", "/r/x", "k", "")
	}
	again := len(runs(plain)) - requests
	assert.Assert(t, again >= 5, "%d", again)
	assert.Assert(t, again <= 0.2*requests+10, "%d: a share of the slack of 80 over eight routers", again)
}

// Every refusal and failure has a line with the request's id.
func TestFailuresAreLogged(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	plain[0].SetFault(func(string) platformtest.Fault { return platformtest.ResetAfterRun })
	a := r.call(context.Background(), "POST", "/u/x", "k", "")
	assert.Equal(t, a.status, 502)
	text := r.log.String()
	for _, want := range []string{`"event":341`, `"event":342`, `"event":344`, `"event":420`} {
		assert.Assert(t, strings.Contains(text, want), "%s in %s", want, text)
	}
	assert.Assert(t, strings.Count(text, `"request":"`+a.id+`"`) >= 3)
}
