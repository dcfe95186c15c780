package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/dispatch"
	"github.com/windscale/windscale/internal/standin/engine"
	"github.com/windscale/windscale/internal/standin/service"
)

// picker gives slots at once, at the first server that is not to be avoided.
type picker struct {
	mu      sync.Mutex
	servers []dispatch.Server
	slots   []*fakeSlot
}

type fakeSlot struct {
	p       *picker
	server  dispatch.Server
	results []dispatch.Result
}

func (p *picker) Acquire(_ context.Context, r dispatch.Request) (dispatch.Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if !slices.Contains(r.Avoid, s.ID) {
			slot := &fakeSlot{p: p, server: s}
			p.slots = append(p.slots, slot)
			return slot, nil
		}
	}
	return nil, &dispatch.Refusal{Reason: dispatch.NoServer, RetryAfter: time.Second}
}

func (s *fakeSlot) Server() dispatch.Server { return s.server }
func (s *fakeSlot) Progress(msg.Cost)       {}
func (s *fakeSlot) End(r dispatch.Result) {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	s.results = append(s.results, r)
}

// results returns the outcome of each slot; every slot must have ended once.
func (p *picker) results(t *testing.T) []attempt.Outcome {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []attempt.Outcome
	for _, s := range p.slots {
		assert.Equal(t, len(s.results), 1)
		out = append(out, s.results[0].Outcome)
	}
	return out
}

// rig is a proxy before stand-ins, and callers' way in.
type rig struct {
	*httptest.Server
	proxy    *Proxy
	picker   *picker
	customer *settings.Customer
}

func newRig(t *testing.T, servers ...http.Handler) *rig {
	t.Helper()
	p := &picker{}
	for i, h := range servers {
		srv := httptest.NewServer(h)
		srv.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)
		t.Cleanup(srv.Close)
		p.servers = append(p.servers, dispatch.Server{ID: msg.ServerID(fmt.Sprint("s", i)), Addr: srv.Listener.Addr().String()})
	}
	snapshot := &settings.Snapshot{Services: map[string]settings.Service{
		"dispatch": {Name: "dispatch", AtMostOnce: []string{"POST /bookings"}, RefusedStatus: []int{429, 503}},
	}}
	client := backend.New()
	t.Cleanup(client.Close)
	r := &rig{
		picker: p,
		customer: &settings.Customer{
			Path: "org/desk", Weight: 1, Models: []string{"plan-7b"}, Services: []string{"*"},
			RequestTime: 20 * time.Second, RetryPercent: 10,
		},
		proxy: &Proxy{
			Picker: p, Snapshot: func() *settings.Snapshot { return snapshot }, Backend: client,
			Now: time.Now, Log: slog.New(slog.DiscardHandler), Observer: NopObserver{},
		},
	}
	r.Server = httptest.NewServer(http.HandlerFunc(r.serve))
	r.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)
	t.Cleanup(r.Close)
	return r
}

func (g *rig) serve(w http.ResponseWriter, r *http.Request) {
	if path, ok := strings.CutPrefix(r.URL.EscapedPath(), "/services/dispatch"); ok {
		g.proxy.Service(w, r, g.customer, "dispatch", path)
		return
	}
	g.proxy.Model(w, r, g.customer)
}

// got is an answer as its caller sees it.
type got struct {
	status int
	header http.Header
	body   string
	err    error // the answer was cut
}

func send(t *testing.T, method, url, body string, header http.Header) got {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	maps.Copy(req.Header, header)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return got{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header, string(b), err}
}

func (g got) problem() string {
	var doc struct {
		Type string `json:"type"`
	}
	_ = json.Unmarshal([]byte(g.body), &doc)
	return strings.TrimPrefix(doc.Type, "urn:windscale:problem:")
}

func newEngine(t *testing.T) *engine.Engine {
	t.Helper()
	e := engine.New(engine.Options{
		ID: "e", Models: []string{"plan-7b"}, Slots: 4, Rate: 5000, ResumeWindow: time.Hour, // only a cancellation frees it
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

func newService() *service.Service {
	return service.New(service.Options{ID: "d", Name: "dispatch", Slots: 4})
}

// fault sets the fault of a stand-in.
func fault(t *testing.T, h http.Handler, f any) {
	t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("POST", "/_fault", bytes.NewReader(body)))
	assert.Equal(t, w.Code, http.StatusNoContent)
}

// runs counts the executions in a stand-in's record.
func runs(t *testing.T, h http.Handler) int {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/_record", nil))
	var log struct {
		Runs []json.RawMessage `json:"runs"`
	}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &log))
	return len(log.Runs)
}

func chat(prompt string, tokens int, stream bool) string {
	body, _ := json.Marshal(map[string]any{
		"model": "plan-7b", "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(body)
}

// Whatever fault the engine has, a caller gets exactly what a plain forward to
// an engine in order gives, or something that can't be taken for it.
func TestModelAgainstPlainForward(t *testing.T) {
	for _, mode := range []engine.Mode{
		engine.OK, engine.CutAfter, engine.Die, engine.Refuse, engine.Busy, engine.EchoWrongID,
		engine.CloseWithoutDone, engine.Leaving,
	} {
		for _, stream := range []bool{false, true} {
			for _, after := range []int{0, 1, 7, 40} {
				t.Run(fmt.Sprint(mode, stream, after), func(t *testing.T) {
					bad, good, plain := newEngine(t), newEngine(t), newEngine(t)
					rig := newRig(t, bad, good)
					fault(t, bad, engine.Fault{Mode: mode, After: after})
					body := chat(fmt.Sprint("crate it ", after), 30, stream)
					got := send(t, "POST", rig.URL+"/v1/chat/completions", body, nil)
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, 200, got.body)

					direct := httptest.NewServer(plain)
					defer direct.Close()
					id := http.Header{"Windscale-Request": {got.header.Get("Windscale-Request")}}
					want := send(t, "POST", direct.URL+"/v1/chat/completions", body, id)
					assert.Equal(t, got.body, want.body)
					assert.Equal(t, got.header.Get("Content-Type"), want.header.Get("Content-Type"))
					results := rig.picker.results(t)
					assert.Equal(t, results[len(results)-1], attempt.Completed)
				})
			}
		}
	}
}

// An engine that dies within a stream leaves the caller with a broken
// connection, not with an answer that looks whole.
func TestStreamOfDeadEngineIsBroken(t *testing.T) {
	e := newEngine(t)
	rig := newRig(t, e, newEngine(t))
	dying := &dieAfter{Handler: e}
	rig.picker.servers[0].Addr = newRig(t, dying).picker.servers[0].Addr
	got := send(t, "POST", rig.URL+"/v1/chat/completions", chat("x", 60, true), nil)
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.err != nil)
	assert.Assert(t, strings.Contains(got.body, "id: 0\n"))
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"))
	assert.DeepEqual(t, rig.picker.results(t), []attempt.Outcome{attempt.Unknown})
}

// dieAfter breaks the first connection after a few writes and all later ones
// at once.
type dieAfter struct {
	http.Handler
	mu   sync.Mutex
	dead bool
}

func (d *dieAfter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	dead := d.dead
	d.dead = true
	d.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	d.Handler.ServeHTTP(&cutWriter{ResponseWriter: w, left: 4}, r)
}

type cutWriter struct {
	http.ResponseWriter
	left int
}

func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *cutWriter) Write(p []byte) (int, error) {
	if c.left--; c.left < 0 {
		_ = http.NewResponseController(c.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	return c.ResponseWriter.Write(p)
}

func TestRefusalsOfModels(t *testing.T) {
	const path = "/v1/chat/completions"
	for _, c := range []struct {
		mode    engine.Mode
		problem string
		run     string
		status  int
	}{
		{engine.Busy, "server-refused", "no", 503},
		{engine.Refuse, "server-refused", "no", 503},
		{engine.Leaving, "server-refused", "no", 503},
		{engine.Die, "server-lost", "unknown", 502},
		{engine.EchoWrongID, "server-lost", "unknown", 502},
		{engine.CloseWithoutDone, "answer-cut", "unknown", 502},
	} {
		e := newEngine(t)
		rig := newRig(t, e)
		fault(t, e, engine.Fault{Mode: c.mode})
		got := send(t, "POST", rig.URL+path, chat("x", 20, true), nil)
		assert.Equal(t, got.problem(), c.problem)
		assert.Equal(t, got.status, c.status)
		assert.Equal(t, got.header.Get("Windscale-Run"), c.run, "%s", c.mode)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	rig := newRig(t)
	for body, problem := range map[string]string{
		"{":                      "bad-request",
		`{"stream":true}`:        "bad-request",
		`{"model":"claims-13b"}`: "forbidden",
		chat("x", 1, false):      "no-server",
	} {
		got := send(t, "POST", rig.URL+path, body, nil)
		assert.Equal(t, got.problem(), problem)
		assert.Equal(t, got.header.Get("Windscale-Run"), "no")
	}
	got := send(t, "POST", rig.URL+path, chat("x", 1, false), http.Header{"Windscale-Timeout": {"-1s"}})
	assert.Equal(t, got.problem(), "bad-timeout")
}

func TestDeadlineIsToldTruthfully(t *testing.T) {
	e := newEngine(t)
	rig := newRig(t, e)
	fault(t, e, engine.Fault{Mode: engine.SlowFirst, DelayMs: 60_000})
	got := send(t, "POST", rig.URL+"/v1/chat/completions", chat("x", 5, true), http.Header{"Windscale-Timeout": {"50ms"}})
	assert.Equal(t, got.problem(), "deadline")
	assert.Equal(t, got.status, 504)
	assert.Equal(t, got.header.Get("Windscale-Run"), "unknown")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Idle() {
			return poll.Success()
		}
		return poll.Continue("the engine still runs it")
	})
}

// A caller that goes has its work stopped at the engine and its slot ended.
func TestCallerThatGoesFreesTheEngine(t *testing.T) {
	e := newEngine(t)
	rig := newRig(t, e)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", rig.URL+"/v1/chat/completions", strings.NewReader(chat("x", 1_000_000, true)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_, err = resp.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	cancel()
	_ = resp.Body.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Idle() {
			return poll.Success()
		}
		return poll.Continue("the engine still runs it")
	})
	rig.Close()
	assert.DeepEqual(t, rig.picker.results(t), []attempt.Outcome{attempt.Unknown})
}

// A caller that reads nothing does not hold the slot of an answer that fits its
// buffer.
func TestSlowCallerFreesTheSlot(t *testing.T) {
	e := newEngine(t)
	rig := newRig(t, e)
	req, err := http.NewRequestWithContext(t.Context(), "POST", rig.URL+"/v1/chat/completions", strings.NewReader(chat("x", 800, true)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		rig.picker.mu.Lock()
		defer rig.picker.mu.Unlock()
		if len(rig.picker.slots) == 1 && len(rig.picker.slots[0].results) == 1 {
			return poll.Success()
		}
		return poll.Continue("slot is held")
	})
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"))
}
