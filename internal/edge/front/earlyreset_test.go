package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/platform/platformtest"
)

const (
	// uploadSize is the size of a body that is still being sent when a server answers early.
	uploadSize = 3 << 20
	// earlyResets is how many requests a test sends: which call gets a connection's error is random.
	earlyResets = 100
)

// upload sends a long request with the client to the address. Its content and prompt are its own, so that it
// isn't blocked since servers seemed to crash while they ran others.
func (r *rig) upload(client *http.Client, addr, path string) answer {
	r.t.Helper()
	r.attempts++
	attempt := fmt.Sprintf("upload-%d", r.attempts)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(attempt+strings.Repeat("b", uploadSize)))
	assert.NilError(r.t, err)
	req.Host = platformtest.Host
	prompt := ""
	if isStream(path) {
		prompt = "p" + attempt + ":600,bb:100"
	}
	platformtest.SetRequestHeaders(req.Header, attempt, "k", 2*time.Second, prompt)
	return doWith(client, req, attempt)
}

func isStream(path string) bool { return path[1] == 's' || path[1] == 'o' }

// Guards against the first part of a response that is passed on as a complete one: the server sent it without
// a length and broke the connection off while the request's body was being sent to it. The request has run:
// one that may be repeated is sent to another server, and any other one is answered 502.
func TestEarlyResponseThatBreaksOffIsIncomplete(t *testing.T) {
	for faultName, fault := range map[string]platformtest.Fault{"reset": platformtest.EarlyReset, "closed": platformtest.EarlyClose} {
		for _, c := range failedRuns {
			t.Run(c.kind+", "+faultName, func(t *testing.T) {
				r := newRig(t)
				r.configure()
				engines, plain := r.servers(2)
				servers := append(engines, plain...)
				for i := range earlyResets {
					failOnce(servers, fault)
					before := len(runs(servers))
					a := r.upload(http.DefaultClient, r.server.Listener.Addr().String(), c.path)
					assertNotTruncated(t, a, c.path)
					ran := len(runs(servers)) - before
					if c.status == 200 && i > 0 {
						// Its servers are suspected by now, and retries have a budget.
						assert.Assert(t, ran <= c.runs)
						continue
					}
					if c.path == "/o/x" && a.err != nil {
						a.status = 502 // the events that had arrived were passed on, and the response was cut
					}
					assert.Equal(t, a.status, c.status)
					assert.Equal(t, ran, c.runs)
				}
			})
		}
	}
}

// assertNotTruncated checks that a success is complete, or seen to be incomplete.
func assertNotTruncated(t *testing.T, a answer, path string) {
	t.Helper()
	if a.status != 200 {
		assert.Equal(t, platformtest.ServerSeal(a.header), "")
		return
	}
	want := platformtest.Body(a.attempt)
	if isStream(path) {
		want = fullStream(a.attempt)
	}
	assert.Assert(t, a.err != nil || a.body == want, "%d of %d bytes as a complete response", len(a.body), len(want))
}

// Callers of HTTP/2 and callers whose connection another host relays get the same.
func TestEarlyResponseThatBreaksOffForOtherCallers(t *testing.T) {
	var http2 http.Protocols
	http2.SetUnencryptedHTTP2(true)
	for name, c := range map[string]struct {
		configure func(s *http.Server)
		transport *http.Transport
	}{
		"HTTP/2":  {func(s *http.Server) { s.Protocols = &http2 }, &http.Transport{Protocols: &http2}},
		"relayed": {func(s *http.Server) { s.ConnContext = asRelayed }, &http.Transport{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			_, plain := r.servers(2)
			s := httptest.NewUnstartedServer(r.handler)
			c.configure(s.Config)
			s.Start()
			t.Cleanup(s.Close)
			t.Cleanup(c.transport.CloseIdleConnections)
			client := &http.Client{Transport: c.transport}
			for i := range earlyResets {
				failOnce(plain, platformtest.EarlyReset)
				a := r.upload(client, s.Listener.Addr().String(), "/u/x")
				assertNotTruncated(t, a, "/u/x")
				assert.Equal(t, a.status, 502)
				assert.Equal(t, len(runs(plain)), i+1)
			}
		})
	}
}

// asRelayed makes a connection look like one that another host relays.
func asRelayed(ctx context.Context, c net.Conn) context.Context {
	return front.WithConn(ctx, &relayedConn{Conn: c, aborted: make(chan struct{})})
}
