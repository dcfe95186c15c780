package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/upstream"
	"github.com/windscale/windscale/platform/platformtest"
)

// beyondBuffer makes a body that is longer than a router buffers.
const beyondBuffer = 4000

// Guards against a truncated response that looks complete: without a length or chunks, the crash of its
// server ends a plain response as its completion does. A request that may be repeated is sent to
// another server; any other one has run, which 502 does not deny.
func TestCrashIsNoEndOfAPlainResponse(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		fault              platformtest.Fault
		repeats, status    int
		runs               int
		cut                bool // the caller sees a truncated response
	}{
		{"safe", "GET", "/r/x", platformtest.CrashInBody, 1, 200, 2, false},
		{"unsafe", "POST", "/u/x", platformtest.CrashInBody, 1, 502, 1, false},
		{"unsafe failure", "POST", "/u/x", platformtest.CrashInFailure, 1, 502, 1, false},
		{"safe failure", "GET", "/r/x", platformtest.CrashInFailure, 1, 200, 2, false},
		{"safe beyond the buffer", "GET", "/r/x", platformtest.CrashInBody, beyondBuffer, 200, 1, true},
		{"unsafe beyond the buffer", "POST", "/u/x", platformtest.CrashInBody, beyondBuffer, 200, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			_, plain := r.servers(2)
			for _, s := range plain {
				s.BodyRepeats = c.repeats
			}
			failOnce(plain, c.fault)
			a := r.call(context.Background(), c.method, c.path, "k", "")
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, len(runs(plain)), c.runs)
			assert.Equal(t, a.err != nil, c.cut, "%v", a.err)
			if c.status == 200 && !c.cut {
				assert.Equal(t, a.body, platformtest.Body(a.attempt))
			}
			if c.status != 200 {
				assert.Equal(t, platformtest.ServerSeal(a.header), "")
			}
			if c.name != "safe failure" { // its status alone makes the router turn to another server
				assert.Assert(t, r.state.HasCrashes(), "the crash was not recorded")
			}
		})
	}
}

// A close-delimited response of a server that runs on is delivered at the first attempt, and costs no
// more connections than before.
func TestCloseDelimitedPlainResponseIsComplete(t *testing.T) {
	const requests = 10
	for _, repeats := range []int{1, beyondBuffer} {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(2)
		for _, s := range plain {
			s.CloseDelimited, s.BodyRepeats = true, repeats
		}
		for range requests {
			a := r.call(context.Background(), "POST", "/u/x", "k", "")
			assert.NilError(t, a.err)
			assert.Equal(t, a.body, strings.Repeat(platformtest.Body(a.attempt), repeats))
		}
		assert.Equal(t, len(runs(plain)), requests)
		assert.Assert(t, !r.state.HasCrashes())
		accepted := plain[0].ConnectionsAccepted() + plain[1].ConnectionsAccepted()
		assert.Assert(t, accepted <= requests+len(plain), "%d connections for %d requests", accepted, requests)
	}
}

// A response to HEAD has no body, so that its end needs no confirmation.
func TestHeadResponseWithoutLengthIsComplete(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	plain[0].CloseDelimited = true
	a := r.call(context.Background(), http.MethodHead, "/r/x", "k", "")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, plain[0].ConnectionsAccepted(), 1)
}

// Guards against a complete response that is lost because its server can't be probed as usual: it has
// all the connections that it allows, all those of this router are in use, it shuts down, or it is slow
// to accept connections.
func TestCompleteResponseOfABusyServerIsDelivered(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(t *testing.T, r *rig, s *platformtest.Server)
	}{
		{"at its connection limit", func(t *testing.T, _ *rig, s *platformtest.Server) {
			holdConns(t, s, 3)
			s.BeforeEnd = func() { s.SetMaxConns(3) }
		}},
		{"at its connection limit, with a request of this router", func(t *testing.T, r *rig, s *platformtest.Server) {
			runAnother(t, r, s)
			s.BeforeEnd = func() { s.SetMaxConns(1) }
		}},
		{"shutting down, with a request of this router", func(t *testing.T, r *rig, s *platformtest.Server) {
			runAnother(t, r, s)
			s.BeforeEnd = func() {
				s.StopListening()
				r.drain(s)
			}
		}},
		{"shutting down and still listening", func(_ *testing.T, r *rig, s *platformtest.Server) {
			s.BeforeEnd = func() { r.drain(s) }
		}},
		{"slow to accept", func(_ *testing.T, _ *rig, s *platformtest.Server) {
			s.BeforeEnd = func() { s.SetAcceptDelay(300 * time.Millisecond) }
		}},
	} {
		deliver := func(t *testing.T, path string, serverOf func(engines, plain []*platformtest.Server) *platformtest.Server, body func(attempt string) string) {
			r := newRig(t)
			r.configure()
			s := serverOf(r.servers(1))
			s.CloseDelimited = true
			c.set(t, r, s)
			before := len(s.Runs())
			a := r.call(context.Background(), "POST", path+"x", "k", "")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, 200)
			assert.Equal(t, a.body, body(a.attempt))
			assert.Equal(t, len(s.Runs()), before+1)
			assert.Assert(t, !r.state.HasCrashes())
		}
		t.Run(c.name, func(t *testing.T) {
			deliver(t, "/u/", func(_, plain []*platformtest.Server) *platformtest.Server { return plain[0] }, platformtest.Body)
		})
		t.Run(c.name+", a stream", func(t *testing.T) {
			deliver(t, "/o/", func(engines, _ []*platformtest.Server) *platformtest.Server { return engines[0] }, fullStream)
		})
	}
}

// A crash is recognised also where the server shuts down or the connections of this router are in use.
func TestCrashOfABusyServerIsRecognised(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(t *testing.T, r *rig, s *platformtest.Server)
	}{
		{"shutting down", func(_ *testing.T, r *rig, s *platformtest.Server) {
			s.BeforeEnd = func() { r.drain(s) }
		}},
		{"shutting down, with a request of this router", func(t *testing.T, r *rig, s *platformtest.Server) {
			runAnother(t, r, s)
			s.BeforeEnd = func() { r.drain(s) }
		}},
		{"at its connection limit", func(t *testing.T, _ *rig, s *platformtest.Server) {
			holdConns(t, s, 3)
			s.BeforeEnd = func() { s.SetMaxConns(3) }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			_, plain := r.servers(1)
			c.set(t, r, plain[0])
			plain[0].SetFault(func(string) platformtest.Fault { return platformtest.CrashInBody })
			a := r.call(context.Background(), "POST", "/u/x", "k", "")
			assert.Equal(t, a.status, 502)
			assert.Assert(t, r.state.HasCrashes(), "the crash was not recorded")
		})
	}
}

// Guards against a server that crashed while this host was suspended: its successor at the address
// accepts connections. Without an older connection nothing proves that the response is complete.
func TestEndNoticedAfterASuspensionIsNotConfirmed(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		older              bool // another request runs at the server
		status, runs       int
	}{
		{"safe", "GET", "/r/x", false, 200, 2},
		{"unsafe", "POST", "/u/x", false, 502, 1},
		{"unsafe, with an older connection", "POST", "/u/x", true, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var suspended atomic.Int64
			r := newRig(t)
			r.handler.Pool = upstream.NewPool(func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) })
			r.configure()
			servers := 2
			if c.older {
				servers = 1
			}
			_, plain := r.servers(servers)
			if c.older {
				runAnother(t, r, plain[0])
			}
			var once sync.Once
			for _, s := range plain {
				s.CloseDelimited = true
				s.BeforeEnd = func() { once.Do(func() { suspended.Store(int64(time.Second)) }) }
			}
			a := r.call(context.Background(), c.method, c.path, "k", "")
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, len(runs(plain)), c.runs)
			assert.Assert(t, !r.state.HasCrashes())
		})
	}
}

// holdConns keeps n further connections to the server open.
func holdConns(t *testing.T, s *platformtest.Server, n int) {
	for range n {
		c, err := net.Dial("tcp4", s.Addr())
		assert.Check(t, err)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
}

// runAnother keeps a request of the router running at the server until the end of the test.
func runAnother(t *testing.T, r *rig, s *platformtest.Server) {
	t.Helper()
	path := "/u/held"
	if s.Events > 0 {
		path = "/o/held"
	}
	s.SetFault(func(string) platformtest.Fault { return platformtest.NoResponse })
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+path, http.NoBody)
	assert.NilError(t, err)
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, "held", "k", 2*time.Second, "")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	for len(s.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetFault(nil)
}

// drain lists the server as shutting down.
func (r *rig) drain(s *platformtest.Server) {
	list, stamp := r.state.Servers()
	for i := range list {
		if list[i].ID == s.ID {
			list[i].State = routing.ServerDraining
		}
	}
	stamp.Version++
	r.state.ReplaceServers(list, stamp, true)
}

// Guards against a cut response that looks complete to an HTTP/1.0 caller, for which the end of the
// connection is the end of the response: the connection is reset.
func TestCutResponseOfHTTP10CallerIsReset(t *testing.T) {
	for _, path := range []string{"/u/x", "/o/x"} {
		r := newRig(t)
		r.configure()
		engines, plain := r.servers(1)
		plain[0].BodyRepeats = beyondBuffer
		plain[0].SetFault(func(string) platformtest.Fault { return platformtest.CrashInBody })
		engines[0].SetFault(func(string) platformtest.Fault { return platformtest.TruncatedResponse })
		c := r.dialCaller()
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: %s\r\nAuthorization: Bearer k\r\n%s: old\r\nContent-Length: 4\r\n\r\nbody",
			path, platformtest.Host, platformtest.AttemptHeader)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		_, err = io.ReadAll(resp.Body)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// dialCaller opens a caller's connection to a server with the handler, to which requests lead back.
func (r *rig) dialCaller() net.Conn {
	r.t.Helper()
	s := httptest.NewUnstartedServer(r.handler)
	s.Config.ConnContext = front.WithConn
	s.Start()
	r.t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

// A crash is visible to HTTP/2 callers too: the stream of a response that has begun is reset.
func TestCrashIsVisibleToHTTP2Callers(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	plain[0].SetFault(func(string) platformtest.Fault { return platformtest.CrashInBody })
	for _, c := range []struct {
		repeats, status int
		cut             bool
	}{{1, 502, false}, {beyondBuffer, 200, true}} {
		plain[0].BodyRepeats = c.repeats
		a := r.callHTTP2("POST", "/u/x")
		assert.Equal(t, a.status, c.status)
		assert.Equal(t, a.err != nil, c.cut, "%v", a.err)
		assert.NilError(t, plain[0].Restart())
	}
}

// callHTTP2 makes a request by HTTP/2 without TLS.
func (r *rig) callHTTP2(method, path string) answer {
	r.t.Helper()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	s := httptest.NewUnstartedServer(r.handler)
	s.Config.Protocols = &protocols
	s.Start()
	r.t.Cleanup(s.Close)
	transport := &http.Transport{Protocols: &protocols}
	r.t.Cleanup(transport.CloseIdleConnections)
	req, err := http.NewRequest(method, s.URL+path, http.NoBody)
	assert.NilError(r.t, err)
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, "h2", "k", 2*time.Second, "")
	return doWith(&http.Client{Transport: transport}, req, "h2")
}
