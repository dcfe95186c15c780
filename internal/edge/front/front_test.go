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

	"github.com/windscale/windscale/internal/core/affinity"
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

// rig is a router's request path with test servers behind it.
type rig struct {
	t             testing.TB
	state         *state.State
	handler       *front.Handler
	server        *httptest.Server
	streams       *localStreams
	log           *edgetest.LogBuffer
	processorWait atomic.Int64 // in ns
	stateAhead    atomic.Int64 // ns by which the clock of the state is ahead
	attempts      int
	configVersion int
}

func newRig(t testing.TB) *rig {
	t.Helper()
	r := &rig{t: t, log: &edgetest.LogBuffer{}, streams: &localStreams{table: affinity.New()}}
	r.state = state.New("dc", 0.2, 80, func() time.Time { return time.Now().Add(time.Duration(r.stateAhead.Load())) })
	r.handler = front.New(front.Config{
		State:            r.state,
		Pool:             upstream.NewPool(time.Now),
		Headers:          platform.Headers{},
		Streams:          r.streams,
		Log:              slog.New(slog.NewJSONHandler(r.log, nil)),
		LogSampling:      1,
		MaxBufferedBytes: 8 << 20,
		Meter:            meter.New(),

		ProcessorWait: func() time.Duration { return time.Duration(r.processorWait.Load()) },
		NearConnLimit: func() bool { return false },
		MaxInFlight:   100,
	})
	r.server = httptest.NewUnstartedServer(r.handler)
	r.server.Config.ErrorLog = slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), slog.LevelError)
	r.server.Start()
	t.Cleanup(r.server.Close)
	return r
}

// configure installs the routes of all tests: /s/ resumable streams, /o/ streams that can't be
// resumed, /u/ unsafe requests, /r/ safe requests.
func (r *rig) configure() { r.configureFor(map[string]string{"k": "ana"}) }

// configureResume is configure with a second customer.
func (r *rig) configureResume() { r.configureFor(map[string]string{"k": "ana", "k2": "bea"}) }

func (r *rig) configureFor(keys map[string]string) {
	r.configVersion++
	route := func(prefix, kind, service string, attempts int, resume bool) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Kind: kind, Service: service, MaxAttempts: attempts, Resumable: resume, Timeout: 2 * time.Second}
	}
	text := platformtest.Config(r.configVersion, []platformtest.Route{
		route("/s/", "streaming", "llm", 2, true),
		route("/o/", "streaming", "llm", 2, false),
		route("/u/", "unsafe", "app", 2, false),
		route("/r/", "safe", "app", 2, false),
	}, []string{"llm"}, []string{"app"}, keys)
	c, err := platform.DecodeConfig(text)
	assert.NilError(r.t, err)
	assert.Assert(r.t, r.state.ApplyConfig(c, text))
	r.state.ConfirmConfig(0)
}

// servers starts n servers of each service and puts them into the state.
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

// answer is a response as the caller sees it.
type answer struct {
	attempt    string
	status     int
	header     http.Header
	body       string
	err        error // from reading the body
	closesConn bool  // the response closes its connection
}

// call makes one request with a new attempt ID.
func (r *rig) call(ctx context.Context, method, path, key, body string) answer {
	r.attempts++
	a := answer{attempt: fmt.Sprintf("attempt-%d", r.attempts)}
	req, err := http.NewRequestWithContext(ctx, method, r.server.URL+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Host = platformtest.Host
	prompt := ""
	if path[1] == 's' || path[1] == 'o' {
		prompt = "aa:600,bb:100"
	}
	platformtest.SetRequestHeaders(req.Header, a.attempt, key, 2*time.Second, prompt)
	return do(req, a.attempt)
}

// do makes a request and reads the response to its end.
func do(req *http.Request, attempt string) answer { return doWith(http.DefaultClient, req, attempt) }

func doWith(client *http.Client, req *http.Request, attempt string) answer {
	a := answer{attempt: attempt}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err, a.closesConn = resp.StatusCode, resp.Header, string(text), err, resp.Close
	return a
}

// fullStream returns the body of a complete stream.
func fullStream(id string) string {
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

// failOnce makes the first request to any of the servers fail.
func failOnce(servers []*platformtest.Server, f platformtest.Fault) {
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

func TestRequestIsRefusedBeforeFirstConfig(t *testing.T) {
	r := newRig(t)
	a := r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.header.Get("Retry-After") != "")
}

func TestRoutingAndAuthentication(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	assert.Equal(t, r.call(context.Background(), "GET", "/none/x", "k", "").status, 404)
	assert.Equal(t, r.call(context.Background(), "GET", "/r/x", "other", "").status, 401)
	a := r.call(context.Background(), "POST", "/u/a%2Fb?c=d", "k", "hello")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.body, platformtest.Body(a.attempt))
	assert.Assert(t, platformtest.ServerSeal(a.header) != "")
	run := plain[0].Runs()[0]
	assert.Equal(t, run.Target, "/u/a%2Fb?c=d")
	assert.Equal(t, run.Body, "hello")
	assert.Equal(t, run.Customer, "ana")
	assert.Equal(t, run.Key, "")
	assert.Assert(t, run.DeadlineMs > 1000 && run.DeadlineMs <= 2000, "%d", run.DeadlineMs)
}

// Guards against a final 404 for a route that a stale configuration lacks: the refusal must be
// retryable, so that the caller asks another router.
func TestUnknownRouteUnderStaleConfigIsRetryable(t *testing.T) {
	r := newRig(t)
	c, err := platform.DecodeConfig(platformtest.Config(1, nil, nil, nil, nil))
	assert.NilError(t, err)
	r.state.ApplyConfig(c, nil)
	assert.Equal(t, r.call(context.Background(), "GET", "/new/x", "k", "").status, 503)
	r.state.ConfirmConfig(0)
	assert.Equal(t, r.call(context.Background(), "GET", "/new/x", "k", "").status, 404)
}

func TestStreamIsForwardedComplete(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	a := r.call(context.Background(), "POST", "/s/x", "k", strings.Repeat("p", 20000))
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, fullStream(a.attempt))
	assert.Equal(t, len(runs(engines)), 1)
}

// Guards against running an unsafe request twice. It may be sent to another server only if it
// can't have run at the first one.
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
		failOnce(plain, fault)
		a := r.call(context.Background(), "POST", "/u/x", "k", strings.Repeat("b", 5000))
		assert.Equal(t, a.status, want, "fault %d", fault)
		assert.Equal(t, len(runs(plain)), 1, "fault %d", fault)
		if want == 200 {
			assert.Equal(t, a.body, platformtest.Body(a.attempt), "fault %d", fault)
		}
		if want == 502 {
			assert.Equal(t, platformtest.ServerSeal(a.header), "")
		}
	}
}

func TestSafeRequestsAreRetried(t *testing.T) {
	for _, fault := range []platformtest.Fault{
		platformtest.ResetAfterRun, platformtest.TruncatedResponse, platformtest.Garbage,
		platformtest.InternalError, platformtest.Overloaded, platformtest.NoResponse,
	} {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(2)
		failOnce(plain, fault)
		a := r.call(context.Background(), "GET", "/r/x", "k", "")
		assert.Equal(t, a.status, 200, "fault %d", fault)
		assert.Equal(t, a.body, platformtest.Body(a.attempt))
	}
}

// Guards against a retryable refusal of a request that a server has run.
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

// Guards against forwarding bytes of another request's response that precede or follow a request's
// own, and against reusing such a connection.
func TestExtraResponsesAreDiscarded(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.UnsolicitedBefore, platformtest.UnsolicitedAfter} {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(1)
		failOnce(plain, fault)
		for range 3 {
			a := r.call(context.Background(), "POST", "/u/x", "k", "")
			assert.Equal(t, a.status, 200)
			assert.Equal(t, a.body, platformtest.Body(a.attempt))
		}
		assert.Equal(t, plain[0].ConnectionsAccepted(), 2, "fault %d", fault)
	}
}

func TestStreamResumesAtAnotherServer(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	failOnce(engines, platformtest.TruncatedResponse)
	a := r.call(context.Background(), "POST", "/s/x", "k", "")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, fullStream(a.attempt))
	all := runs(engines)
	assert.Equal(t, len(all), 2)
	second := all[0]
	if second.LastEventID == "" {
		second = all[1]
	}
	assert.Equal(t, second.LastEventID, "4", "ID of the last complete event")
}

// Guards against a truncated stream that looks complete, and against running a stream twice that
// can't be resumed.
func TestNonResumableStreamIsCut(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	failOnce(engines, platformtest.TruncatedResponse)
	a := r.call(context.Background(), "POST", "/o/x", "k", "")
	assert.Equal(t, a.status, 200)
	assert.Assert(t, a.err != nil, "the response must not look complete")
	assert.Equal(t, len(runs(engines)), 1)
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
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
		time.Sleep(time.Millisecond) // limited by the test timeout
	}
}

// Guards against a run that goes on until its deadline after its caller disconnected, if the server
// has sent nothing yet.
func TestCallerDisconnectCancelsSilentRun(t *testing.T) {
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
		time.Sleep(time.Millisecond) // limited by the test timeout
	}
	cancel()
	<-left
	for !plain[0].Runs()[0].Cancelled {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !strings.Contains(r.log.String(), "the time is over"), "cancelled by the deadline, not by the disconnect")
}

// Guards against a request that is not answered when its route's timeout expires.
func TestDeadlineExceeded(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	plain[0].SetFault(func(string) platformtest.Fault { return platformtest.NoResponse })
	a := r.call(context.Background(), "POST", "/u/x", "k", "")
	assert.Equal(t, a.status, 504)
	assert.Assert(t, strings.Contains(r.log.String(), `"reason":"the time is over"`))
}

// Guards against an overloaded host that reads bodies of requests it will refuse, or suspects
// servers whose responses it has not read yet. A flood by one customer made a host of 0.19 cores
// forward requests seconds late.
func TestOverloadedRouterRefusesWithoutSuspectingServers(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, plain := r.servers(1)
	r.processorWait.Store(int64(time.Second))
	a := r.call(context.Background(), "POST", "/s/x", "k", "body")
	assert.Equal(t, a.status, 503)
	assert.Equal(t, len(runs(engines)), 0)
	assert.Assert(t, strings.Contains(r.log.String(), "behind its work"))
	assert.Assert(t, r.state.Report().Rates["ana"].Demand > 0, "refused requests must count towards the demand: %v", r.state.Report().Rates)

	r.processorWait.Store(0)
	plain[0].SetFault(func(string) platformtest.Fault {
		r.processorWait.Store(int64(time.Second))
		return platformtest.NoResponse
	})
	a = r.call(context.Background(), "POST", "/u/x", "k", "body")
	assert.Equal(t, a.status, 504)
	assert.Assert(t, !strings.Contains(r.log.String(), "suspected"), r.log.String())
}

// Guards against headers over the configured limit.
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

// Guards against an unbounded number of requests in flight, and so of memory.
func TestRequestsOverInFlightLimitAreRefused(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	r.handler.MaxInFlight = 0
	a := r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, len(runs(plain)), 0)
}

func TestStoppingRouterRefusesRequests(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	r.handler.Drain()
	a := r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 200)
	r.handler.RefuseNew()
	a = r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Equal(t, a.status, 503)
	assert.Equal(t, len(runs(plain)), 1)
}

// Guards against retries over the budget when every server fails: a router may use its share of the
// slack, and retry the configured ratio of its requests.
func TestRetryBudgetIsEnforced(t *testing.T) {
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
	retries := len(runs(plain)) - requests
	assert.Assert(t, retries >= 5, "%d", retries)
	assert.Assert(t, retries <= 0.2*requests+10, "%d: the slack of 80 is shared by eight routers", retries)
}

// Guards against refusals and failures without a log line that has the attempt ID.
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
	assert.Assert(t, strings.Count(text, `"request":"`+a.attempt+`"`) >= 3)
}
