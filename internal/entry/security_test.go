package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/dispatch"
	"github.com/windscale/windscale/internal/entry"
	"github.com/windscale/windscale/internal/metrics"
	"github.com/windscale/windscale/internal/proxy"
)

const (
	key  = "key-that-no-one-may-see"
	auth = "Authorization: Bearer " + key + "\r\n"
	last = "Connection: close\r\n"
)

const tree = `[fleet]
max_body = 1024
max_header = 4096
queue_bytes = 4KiB
[service d]
once = POST /bookings
[tree]
weight = 1
services = *
[tree/org]
[tree/org/desk]
keys = %x
`

// seen is a request as the backend server got it.
type seen struct {
	line   string // method and target
	host   string
	header http.Header
	body   string
}

// recorder is a backend server that notes all that reaches it.
type recorder struct {
	mu   sync.Mutex
	seen []seen
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	r.mu.Lock()
	r.seen = append(r.seen, seen{req.Method + " " + req.RequestURI, req.Host, req.Header.Clone(), string(body)})
	r.mu.Unlock()
	for name, value := range map[string]string{
		"Connection": "X-Hop, Keep-Alive", "X-Hop": "1", "Keep-Alive": "timeout=9", "Proxy-Authenticate": "Basic",
		"Upgrade": "h2c", "Trailer": "X-Trail", "Te": "trailers", "Windscale-Fence": "9", "Windscale_run": "no", "X-Own": "end",
	} {
		w.Header().Set(name, value)
	}
	if req.URL.Path == "/switch" {
		w.WriteHeader(http.StatusSwitchingProtocols)
		return
	}
	_, _ = io.WriteString(w, "answer")
}

func (r *recorder) take() []seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.seen
	r.seen = nil
	return out
}

// picker grants every request a slot at one server.
type picker struct{ addr string }

type slot struct{ addr string }

func (p picker) Acquire(context.Context, dispatch.Request) (dispatch.Slot, error) {
	return slot(p), nil
}
func (s slot) Server() dispatch.Server { return dispatch.Server{ID: "s1", Addr: s.addr} }
func (slot) Progress(msg.Cost)         {}
func (slot) End(dispatch.Result)       {}

// guarded is the entry and the proxy before a recorder.
type guarded struct {
	*recorder
	addr string
	log  *bytes.Buffer // of all levels; read it after stop
	stop func()
}

func newGuarded(t *testing.T) *guarded {
	t.Helper()
	g := &guarded{recorder: &recorder{}, log: &bytes.Buffer{}}
	back := httptest.NewUnstartedServer(g.recorder)
	back.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)
	back.Start()
	t.Cleanup(back.Close)
	s, faults := settings.Build(1, fmt.Appendf(nil, tree, sha256.Sum256([]byte(key))))
	assert.Equal(t, len(faults), 0, "%v", faults)
	snapshot := func() *settings.Snapshot { return s }
	client := backend.New()
	t.Cleanup(client.Close)
	log := slog.New(slog.NewTextHandler(g.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	p := &proxy.Proxy{
		Picker: picker{back.Listener.Addr().String()}, Snapshot: snapshot, Backend: client,
		Now: time.Now, Log: log, Observer: proxy.NopObserver{},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g.addr = ln.Addr().String()
	srv := entry.NewServer(ln, nil, entry.New(snapshot, p, metrics.New().Entry).Handler(), s.Fleet, log)
	go func() { _ = srv.Run() }()
	g.stop = sync.OnceFunc(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	t.Cleanup(g.stop)
	return g
}

// send writes bytes and returns the statuses of all answers until the
// connection ends, and the last answer.
func (g *guarded) send(t *testing.T, raw string) (status []int, last *http.Response, body string) {
	t.Helper()
	c, err := net.Dial("tcp", g.addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(c, raw)
	assert.NilError(t, err)
	if !strings.Contains(raw, "close\r\n") { // that is how the connection will end
		_ = c.(*net.TCPConn).CloseWrite()
	}
	in := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return status, last, body
		}
		b, _ := io.ReadAll(resp.Body)
		status, last, body = append(status, resp.StatusCode), resp, string(b)
	}
}

// Requests that proxies have been known to read in two ways. lines lists what
// reaches the backend server; a request behind the first has no key, so that
// it must not be among them.
func TestSmuggling(t *testing.T) {
	const second = "GET /services/d/smuggled HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	const post, host = "POST /services/d/x HTTP/1.1\r\n", "Host: a\r\n" + auth
	for _, c := range []struct {
		name, raw string
		status    int // of the first answer
		body      string
		reached   bool
	}{
		{"plain", post + host + "Content-Length: 2\r\n\r\nab" + second, 200, "ab", true},
		{"both lengths", post + host + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + second, 200, "", true},
		{"both lengths, other order", post + host + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n2\r\nab\r\n0\r\n\r\n" + second, 200, "ab", true},
		{"two lengths", post + host + "Content-Length: 2\r\nContent-Length: 60\r\n\r\nab" + second, 400, "", false},
		{"length list", post + host + "Content-Length: 2, 60\r\n\r\nab" + second, 400, "", false},
		{"signed length", post + host + "Content-Length: +2\r\n\r\nab" + second, 400, "", false},
		{"negative length", post + host + "Content-Length: -2\r\n\r\nab" + second, 400, "", false},
		{"hex length", post + host + "Content-Length: 0x2\r\n\r\nab" + second, 400, "", false},
		{"no such coding", post + host + "Transfer-Encoding: xchunked\r\nContent-Length: 2\r\n\r\nab" + second, 501, "", false},
		{"two codings", post + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + second, 501, "", false},
		{"coding list", post + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + second, 501, "", false},
		{"space before the colon", post + host + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + second, 400, "", false},
		{"folded coding", post + host + "Transfer-Encoding:\r\n chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + second, 200, "ab", true},
		{"folded name", post + " X: folded\r\n" + host + "\r\n" + second, 400, "", false},
		{"bare CR", post + host + "X: a\rTransfer-Encoding: chunked\r\n\r\n" + second, 400, "", false},
		{"NUL", post + host + "X: a\x00b\r\n\r\n" + second, 400, "", false},
		{"bare LF in a chunk", post + host + "Transfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n" + second, 408, "", false},
		{"negative chunk", post + host + "Transfer-Encoding: chunked\r\n\r\n-1\r\nab\r\n0\r\n\r\n" + second, 408, "", false},
		{"huge chunk", post + host + "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nab\r\n0\r\n\r\n" + second, 408, "", false},
		{"no host", post + auth + "\r\n" + second, 400, "", false},
		{"two hosts", post + host + "Host: b\r\n\r\n" + second, 400, "", false},
		{"space in the target", "GET /services/d/x HTTP/1.1 y HTTP/1.1\r\n" + host + "\r\n" + second, 400, "", false},
		{"slow body", post + host + "Windscale-Timeout: 100ms\r\nConnection: close\r\nContent-Length: 9\r\n\r\nab", 408, "", false},
		{"half a body", post + host + "Content-Length: 9\r\n\r\nab", 408, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGuarded(t)
			status, _, _ := g.send(t, c.raw)
			assert.Assert(t, len(status) > 0 && status[0] == c.status, "%v", status)
			for _, later := range status[1:] {
				assert.Assert(t, later == 401 || later == 400, "%v", status)
			}
			reached := g.take()
			assert.Equal(t, len(reached) == 1, c.reached, "%+v", reached)
			if c.reached {
				assert.Equal(t, reached[0].line, "POST /x")
				assert.Equal(t, reached[0].body, c.body)
				assert.DeepEqual(t, reached[0].header["Content-Length"], []string{fmt.Sprint(len(c.body))})
				assert.Equal(t, len(reached[0].header["Transfer-Encoding"]), 0)
			}
		})
	}
}

// Paths and headers that try to become something else behind the router. want
// is the request line at the backend server, or the problem's name.
func TestInjection(t *testing.T) {
	for _, c := range []struct{ target, header, want string }{
		{"/services/d/x", "", "GET /x"},
		{"/services/d", "", "GET /"},
		{"/services/d/a%2Fb?c=%0d%0ad", "", "GET /a%2Fb?c=%0d%0ad"},
		{"/services/d/%e2%82%ac?", "", "GET /%e2%82%ac"},
		{"http://other.example/services/d/x", "", "GET /x"},
		{"/services/d/x%0d%0aHost:%20b", "", "bad-request"},
		{"/services/d/%00", "", "bad-request"},
		{"/services/d/../x", "", "bad-request"},
		{"/services/d/%2e%2e/x", "", "bad-request"},
		{"/services/d/.%2e%2fx", "", "bad-request"},
		{"/services/d/..;a=b/x", "", "bad-request"},
		{"/services/d/./x", "", "bad-request"},
		{"/services/d//x", "", "bad-request"},
		{"/services/d/%2f%2fx", "", "bad-request"},
		{"/services/d/..%5cx", "", "bad-request"},
		{"/services/d%2fx", "", "bad-request"},
		{"/services/%2e%2e/x", "", "not-found"},
		{"/services/../v1/load", "", "not-found"},
		{"/v1/load", "", "not-found"},
		{"/_record", "", "not-found"},
		{"/services/d/x", "Windscale-Timeout: 5s%0d%0aX: y", "bad-timeout"},
		{"/services/d/x", "Windscale-Timeout: -5s", "bad-timeout"},
		{"/services/d/x", "Idempotency-Key: a%0d%0ab", "GET /x"},
	} {
		g := newGuarded(t)
		raw := "GET " + c.target + " HTTP/1.1\r\nHost: a\r\n" + auth + last
		if c.header != "" {
			raw += c.header + "\r\n"
		}
		_, _, body := g.send(t, raw+"\r\n")
		reached := g.take()
		if strings.HasPrefix(c.want, "GET ") {
			assert.Equal(t, len(reached), 1, "%+v: %s", c, body)
			assert.Equal(t, reached[0].line, c.want)
			assert.Assert(t, reached[0].host != "a" && reached[0].host != "other.example")
			continue
		}
		assert.Equal(t, len(reached), 0, "%+v", c)
		assert.Assert(t, strings.Contains(body, `"urn:windscale:problem:`+c.want+`"`), "%+v: %s", c, body)
	}
	for _, k := range []string{"a b", "a\tb", "", "\u20ac", strings.Repeat("k", 256)} {
		g := newGuarded(t)
		_, _, body := g.send(t, "POST /services/d/bookings HTTP/1.1\r\nHost: a\r\n"+auth+last+"Idempotency-Key: "+k+"\r\n\r\n")
		assert.Assert(t, strings.Contains(body, "bad-idempotency-key"), "%q: %s", k, body)
		assert.Equal(t, len(g.take()), 0)
	}
}

// By HTTP/2 a target may hold what no HTTP/1 request line can. Control
// characters are not among it: net/http resets such a stream.
func TestInjectionByHTTP2(t *testing.T) {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	tr := &http.Transport{Protocols: p, TLSClientConfig: &tls.Config{}}
	defer tr.CloseIdleConnections()
	for query, ok := range map[string]bool{
		"a=b%20c": true, "x HTTP/1.1": false, "x#y": false, "\u20ac": false, `"<>`: true,
	} {
		g := newGuarded(t)
		req := &http.Request{
			Method: "GET", URL: &url.URL{Scheme: "http", Host: g.addr, Path: "/services/d/x", RawQuery: query},
			Header: http.Header{"Authorization": {"Bearer " + key}},
		}
		resp, err := tr.RoundTrip(req)
		reached := g.take()
		assert.Equal(t, len(reached) == 1, ok, "%q: %v", query, err)
		if ok {
			assert.Equal(t, reached[0].line, "GET /x?"+query)
		}
		if err == nil {
			_ = resp.Body.Close()
			assert.Equal(t, resp.StatusCode == 200, ok, "%q", query)
		}
	}
}

// Headers of one connection, the caller's key and windscale's own headers do
// not pass, in either direction and by no spelling.
func TestHeadersThatDoNotPass(t *testing.T) {
	g := newGuarded(t)
	_, resp, body := g.send(t, "GET /services/d/x HTTP/1.1\r\nHost: a\r\n"+auth+
		"Connection: X-Hop, close\r\nConnection: x-other\r\nX-Hop: 1\r\nX-Other: 1\r\nKeep-Alive: 1\r\nTE: trailers\r\n"+
		"Trailer: X-Trail\r\nUpgrade: websocket\r\nProxy-Authorization: Basic x\r\nProxy-Connection: keep-alive\r\n"+
		"Cookie: a=b\r\nX-HTTP-Method-Override: DELETE\r\nX_HTTP_Method_Override: DELETE\r\nContent_Length: 9\r\n"+
		"Windscale-Request: forged\r\nWindscale-Attempt: 99\r\nWindscale-Fence: 99\r\nwindscale-fence: 98\r\n"+
		"Windscale_Request: forged\r\nWINDSCALE_FENCE: 99\r\nX-Own: end\r\nIdempotency-Key: k\r\n\r\n")
	assert.Equal(t, body, "answer")
	reached := g.take()
	assert.Equal(t, len(reached), 1)
	got := reached[0].header
	assert.Assert(t, got.Get("Windscale-Request") != "" && got.Get("Windscale-Request") != "forged")
	assert.DeepEqual(t, got["Windscale-Attempt"], []string{"1"})
	for name := range got {
		switch name {
		case "X-Own", "Idempotency-Key", "Windscale-Request", "Windscale-Attempt", "Windscale-Timeout", "User-Agent":
		default:
			t.Errorf("reached the backend server: %s: %s", name, got[name])
		}
	}
	for name := range resp.Header {
		switch name {
		case "X-Own", "Content-Length", "Content-Type", "Date", "Windscale-Request", "Connection":
		default:
			t.Errorf("reached the caller: %s: %s", name, resp.Header[name])
		}
	}
	assert.Assert(t, resp.Header.Get("Connection") != "X-Hop, Keep-Alive")
	assert.Equal(t, resp.Header.Get("Windscale-Request"), got.Get("Windscale-Request"))
}

// What is too large is refused: a body with a problem, headers by net/http,
// which lets no handler answer.
func TestTooLarge(t *testing.T) {
	big := strings.Repeat("x", 2000)
	for _, c := range []struct {
		raw    string
		status int
		typed  bool
	}{
		{"Content-Length: 2000\r\n\r\n" + big, 413, true},
		{"Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + big + "\r\n0\r\n\r\n", 413, true},
		{"X: " + strings.Repeat(big, 10) + "\r\n\r\n", 431, false},
	} {
		g := newGuarded(t)
		status, _, body := g.send(t, "POST /services/d/x HTTP/1.1\r\nHost: a\r\n"+auth+last+c.raw)
		assert.DeepEqual(t, status, []int{c.status})
		assert.Equal(t, strings.Contains(body, "urn:windscale:problem:body-too-large"), c.typed)
		assert.Equal(t, len(g.take()), 0)
	}
}

// A backend server can't make the caller's connection another protocol's.
func TestServerMayNotSwitchProtocols(t *testing.T) {
	g := newGuarded(t)
	status, _, _ := g.send(t, "GET /services/d/switch HTTP/1.1\r\nHost: a\r\n"+auth+last+"\r\n")
	assert.DeepEqual(t, status, []int{502})
}

// No key and nothing of a request's content gets into the log, at any level,
// whatever becomes of the request.
func TestLogHoldsNoSecret(t *testing.T) {
	g := newGuarded(t)
	const content = "two-trucks-for-the-painting"
	for _, raw := range []string{
		"POST /services/d/" + content + " HTTP/1.1\r\nHost: a\r\n" + last + auth + "Idempotency-Key: " + content + "\r\n\r\n",
		"POST /services/d/switch?" + content + " HTTP/1.1\r\nHost: a\r\n" + last + auth + "X: " + content + "\r\n\r\n",
		"POST /services/none/" + content + " HTTP/1.1\r\nHost: a\r\n" + last + auth + "\r\n",
		"POST /services/d/x HTTP/1.1\r\nHost: a\r\n" + auth + "Content-Length: 99\r\n\r\n" + content,
		"POST /services/d/x HTTP/1.1\r\nHost: a\r\n" + last + auth + "Bad Header: " + content + "\r\n\r\n",
		"POST /services/d/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + content + "\r\n\r\n",
		"POST /services/d/bookings HTTP/1.1\r\nHost: a\r\n" + last + auth + "Idempotency-Key: " + content + "\r\n\r\n",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + last + auth + "Content-Length: 29\r\n\r\n\"" + content + "\"",
	} {
		g.send(t, raw)
	}
	g.stop()
	log := g.log.String()
	assert.Assert(t, len(log) > 0)
	for _, secret := range []string{key, content, fmt.Sprintf("%x", sha256.Sum256([]byte(key)))} {
		assert.Assert(t, !strings.Contains(log, secret), "%s in %s", secret, log)
	}
}

// unended is a body that lacks its end.
var unended = "Content-Length: 1024\r\n\r\n" + strings.Repeat("x", 1000)

// open writes bytes on a connection of its own.
func (g *guarded) open(t *testing.T, raw string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.addr)
	assert.NilError(t, err)
	_, err = io.WriteString(c, raw)
	assert.NilError(t, err)
	return c
}

// answered reports whether the connection's request has been answered.
func answered(t *testing.T, c net.Conn) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Callers that send large bodies and never end them hold no more memory than
// the settings allow; the next one is told to come back, and is served once
// they have gone.
func TestFloodOfBodiesIsBounded(t *testing.T) {
	g := newGuarded(t)
	const head = "POST /services/d/x HTTP/1.1\r\nHost: a\r\n" + auth + last
	flood := make([]net.Conn, 4) // 4 of 1000 bytes fill queue_bytes
	for i := range flood {
		flood[i] = g.open(t, head+unended)
	}
	ask := func() (int, *http.Response, string) {
		status, resp, body := g.send(t, head+"Content-Length: 1000\r\n\r\n"+strings.Repeat("x", 1000))
		return status[0], resp, body
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, c := range flood {
			if answered(t, c) { // the one that asks had the memory just then
				assert.NilError(t, c.Close())
				flood[i] = g.open(t, head+unended)
			}
		}
		status, resp, body := ask()
		if status != 503 {
			return poll.Continue("%d", status)
		}
		assert.Assert(t, strings.Contains(body, "router-full"), body)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1")
		return poll.Success()
	})
	for _, c := range flood {
		assert.NilError(t, c.Close())
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, _, _ := ask(); status != 200 {
			return poll.Continue("%d", status)
		}
		return poll.Success()
	})
}
