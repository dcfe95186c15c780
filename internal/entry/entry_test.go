package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v5"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/metrics"
)

const tree = `[fleet]
max_body = 1024
[service dispatch]
[tree]
weight = 1
[tree/org]
[tree/org/desk]
services = dispatch
keys = %x
[tree/org/slow]
rate = 1
burst = 2
services = dispatch
keys = %x
`

func snapshot(t *testing.T) *settings.Snapshot {
	t.Helper()
	text := fmt.Sprintf(tree, sha256.Sum256([]byte("key-desk")), sha256.Sum256([]byte("key-slow")))
	s, faults := settings.Build(1, []byte(text))
	assert.Equal(t, len(faults), 0, "%v", faults)
	return s
}

// echoProxy answers with what it was asked to run.
type echoProxy struct{}

func (echoProxy) Model(w http.ResponseWriter, r *http.Request, c *settings.Customer) {
	_, _ = fmt.Fprint(w, "model ", c.Path, " ", len(r.Header.Get("Authorization")))
}

func (echoProxy) Service(w http.ResponseWriter, r *http.Request, c *settings.Customer, service, path string) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	_, _ = fmt.Fprint(w, "service ", service, " ", path)
}

func TestEntryNamesTheCustomerAndTheCall(t *testing.T) {
	s := snapshot(t)
	e := New(func() *settings.Snapshot { return s }, echoProxy{}, metrics.New().Entry)
	h := e.Handler()
	for _, c := range []struct {
		method, target, key string
		body                int
		status              int
		want                string // of the answer
	}{
		{"POST", "/v1/chat/completions", "Bearer key-desk", 10, 200, "model org/desk 0"},
		{"POST", "/v1/chat/completions", "Bearer wrong", 10, 401, "unauthorized"},
		{"POST", "/v1/chat/completions", "Basic key-desk", 10, 401, "unauthorized"},
		{"POST", "/v1/chat/completions", "Bearer ", 10, 401, "unauthorized"},
		{"POST", "/v1/chat/completions", "", 10, 401, "unauthorized"},
		{"POST", "/v1/chat/completions", "Bearer key-desk", 1025, 413, "body-too-large"},
		{"GET", "/v1/chat/completions", "Bearer key-desk", 0, 405, "method-not-allowed"},
		{"GET", "/v2", "Bearer key-desk", 0, 404, "not-found"},
		{"GET", "/services/dispatch", "Bearer key-desk", 0, 200, "service dispatch /"},
		{"GET", "/services/dispatch/a%2Fb/c?d=1", "Bearer key-desk", 0, 200, "service dispatch /a%2Fb/c"},
		{"PUT", "/services/dis%70atch/jobs/7", "Bearer key-desk", 9, 200, "service dispatch /jobs/7"},
		{"POST", "/services/dispatch%2Fbookings", "Bearer key-desk", 9, 400, "bad-request"},
		{"POST", "/services/%2e%2e%2fv1/x", "Bearer key-desk", 9, 400, "bad-request"},
		{"POST", "/services//bookings", "Bearer key-desk", 9, 400, "bad-request"},
	} {
		r := httptest.NewRequest(c.method, c.target, strings.NewReader(strings.Repeat("x", c.body)))
		r.Header.Set("Authorization", c.key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		assert.Equal(t, w.Code, c.status, "%+v: %s", c, w.Body)
		if c.status == 200 {
			assert.Equal(t, w.Body.String(), c.want)
			continue
		}
		assert.Assert(t, strings.Contains(w.Body.String(), `"urn:windscale:problem:`+c.want+`"`), "%+v: %s", c, w.Body)
		assert.Equal(t, w.Header().Get("Windscale-Run"), "no")
	}
}

func TestWithoutSettingsNothingIsServed(t *testing.T) {
	e := New(func() *settings.Snapshot { return nil }, echoProxy{}, metrics.New().Entry)
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/chat/completions", nil))
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
}

// The burst, then the rate; the refusal says when the next one is due. A
// change of the settings holds at once and gives no new burst.
func TestRateIsThatOfTheSettingsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRates(time.Now)
		c := &settings.Customer{Path: "a", Rate: 1, Burst: 2}
		take := func(n int) (taken int, wait time.Duration) {
			for range n {
				w, ok := r.take(c)
				if ok {
					taken++
				}
				wait = w
			}
			return taken, wait
		}
		n, wait := take(5)
		assert.Equal(t, n, 2)
		assert.Equal(t, wait, time.Second)
		time.Sleep(time.Second)
		n, _ = take(3)
		assert.Equal(t, n, 1)
		c = &settings.Customer{Path: "a", Rate: 100, Burst: 50}
		n, _ = take(5)
		assert.Equal(t, n, 0)
		time.Sleep(100 * time.Millisecond)
		n, _ = take(20)
		assert.Equal(t, n, 10)
		c = &settings.Customer{Path: "a"}
		n, _ = take(99)
		assert.Equal(t, n, 99)
	})
}

// hanging is a handler whose requests end when they are let go.
type hanging struct {
	began  chan struct{}
	let    chan struct{}
	ctxEnd chan struct{}
}

func newHanging() *hanging {
	return &hanging{began: make(chan struct{}, 9), let: make(chan struct{}), ctxEnd: make(chan struct{}, 9)}
}

func (h *hanging) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.began <- struct{}{}
	select {
	case <-h.let:
		_, _ = io.WriteString(w, "whole")
	case <-r.Context().Done():
		h.ctxEnd <- struct{}{}
	}
}

func newServer(t *testing.T, h http.Handler) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ln, nil, h, settings.DefaultFleet(), slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
		assert.NilError(t, <-done)
	})
	return s, "http://" + ln.Addr().String()
}

// get sends a request on a connection of its own and returns its answer.
func get(url string) <-chan string {
	out := make(chan string, 1)
	go func() {
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(url)
		if err != nil {
			out <- "error"
			return
		}
		defer func() { _ = resp.Body.Close() }()
		b, _ := io.ReadAll(resp.Body)
		out <- string(b)
	}()
	return out
}

func changed() settings.Fleet {
	f := settings.DefaultFleet()
	f.IdleTimeout++
	return f
}

func TestChangeOfLimitsCutsNoRequest(t *testing.T) {
	h := newHanging()
	s, url := newServer(t, h)
	before := get(url)
	<-h.began
	s.Apply(changed())
	after := get(url)
	<-h.began
	close(h.let)
	assert.Equal(t, <-before, "whole")
	assert.Equal(t, <-after, "whole")
}

// Connections accepted while the limits change are served, by one generation
// or the other.
func TestChangeOfLimitsDropsNoConnection(t *testing.T) {
	h := newHanging()
	close(h.let)
	h.began = make(chan struct{}, 999)
	s, url := newServer(t, h)
	stop := make(chan struct{})
	go func() {
		f := settings.DefaultFleet()
		for {
			select {
			case <-stop:
				return
			default:
				f.IdleTimeout++
				s.Apply(f)
			}
		}
	}()
	for range 200 {
		assert.Equal(t, <-get(url), "whole")
	}
	close(stop)
}

func TestShutdownWaitsForRequestsOfEveryGeneration(t *testing.T) {
	h := newHanging()
	s, url := newServer(t, h)
	old := get(url)
	<-h.began
	s.Apply(changed())
	cur := get(url)
	<-h.began
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			return poll.Success()
		}
		_ = c.Close() // a request would be held until the others are let go
		return poll.Continue("still accepting")
	})
	assert.Equal(t, len(done), 0)
	close(h.let)
	assert.NilError(t, <-done)
	assert.Equal(t, <-old, "whole")
	assert.Equal(t, <-cur, "whole")
}

// The drain limit holds for requests that began before a change of the
// settings, too: waiting for them had no end.
func TestShutdownLimitCutsRequestsOfEveryGeneration(t *testing.T) {
	h := newHanging()
	s, url := newServer(t, h)
	old := get(url)
	<-h.began
	s.Apply(changed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	assert.Equal(t, <-old, "error")
	<-h.ctxEnd
}

// A refused caller that never ends its body does not keep its connection.
func TestRefusedBodyMustArriveInTime(t *testing.T) {
	e := New(func() *settings.Snapshot { return nil }, echoProxy{}, metrics.New().Entry)
	e.bodyTime = 50 * time.Millisecond
	_, url := newServer(t, e.Handler())
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(c, "POST /services/d/x HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n1234")
	assert.NilError(t, err)
	got, err := io.ReadAll(c) // to the connection's end
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 503"), "%s", got)
}

// A connection that is kept open ends with its first answer after a change,
// and no request on it is lost.
func TestKeptConnectionsMoveToTheNewLimits(t *testing.T) {
	h := newHanging()
	close(h.let)
	s, url := newServer(t, h)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	for _, last := range []bool{false, true} {
		if last {
			s.Apply(changed())
		}
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.Equal(t, resp.Close, last)
	}
}

// A stream that begins while callers are asked to leave is still a stream.
func TestRetiredConnectionsStream(t *testing.T) {
	let := make(chan struct{})
	e := echo.New()
	e.GET("/", func(c *echo.Context) error {
		w := c.Response()
		_, _ = io.WriteString(w, "first")
		assert.Check(t, http.NewResponseController(w).Flush())
		<-let
		return nil
	})
	s, url := newServer(t, e)
	s.Retire()
	for _, h1 := range []bool{true, false} {
		tr := transport(h1)
		resp, err := (&http.Client{Transport: tr}).Get(url)
		assert.NilError(t, err)
		_, err = io.ReadFull(resp.Body, make([]byte, len("first")))
		assert.NilError(t, err)
		let <- struct{}{}
		assert.NilError(t, resp.Body.Close())
		tr.CloseIdleConnections()
	}
}

// Callers that keep their connections lose no request while the limits change,
// by either protocol.
func TestKeptClientsLoseNoRequest(t *testing.T) {
	h := newHanging()
	close(h.let)
	h.began = make(chan struct{}, 2000)
	s, url := newServer(t, h)
	for _, h1 := range []bool{true, false} {
		tr := transport(h1)
		var callers errgroup.Group
		for range 4 {
			callers.Go(func() error {
				for range 100 {
					resp, err := (&http.Client{Transport: tr}).Post(url, "text/plain", strings.NewReader("no retry"))
					if err != nil {
						return err
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				return nil
			})
		}
		f := settings.DefaultFleet()
		for range 20 {
			f.IdleTimeout++
			s.Apply(f)
			time.Sleep(time.Millisecond)
		}
		assert.NilError(t, callers.Wait(), "HTTP/1: %v", h1)
		tr.CloseIdleConnections()
	}
}

// transport is a caller's, by HTTP/1 or by HTTP/2 alone.
func transport(h1 bool) *http.Transport {
	p := new(http.Protocols)
	p.SetHTTP1(h1)
	p.SetHTTP2(!h1)
	p.SetUnencryptedHTTP2(!h1)
	return &http.Transport{Protocols: p, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
}

// Callers may use HTTP/2, over TLS and without.
func TestBothProtocols(t *testing.T) {
	h := newHanging()
	close(h.let)
	plain, url := newServer(t, h)
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS()
	defer cert.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	secure := NewServer(ln, &tls.Config{Certificates: cert.TLS.Certificates}, h, settings.DefaultFleet(), plain.log)
	go func() { _ = secure.Run() }()
	defer func() { _ = secure.Shutdown(context.Background()) }()
	for _, c := range []struct {
		url string
		h1  bool
	}{{url, true}, {url, false}, {"https://" + ln.Addr().String(), true}, {"https://" + ln.Addr().String(), false}} {
		tr := transport(c.h1)
		resp, err := (&http.Client{Transport: tr}).Get(c.url)
		assert.NilError(t, err)
		assert.Equal(t, resp.ProtoMajor == 1, c.h1)
		assert.NilError(t, resp.Body.Close())
		tr.CloseIdleConnections()
	}
}
