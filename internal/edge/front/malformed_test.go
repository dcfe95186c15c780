package front_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/platform/platformtest"
)

// failedRuns are the kinds of requests, and what becomes of one whose first run fails: one that may be repeated is
// sent to another server, and any other one is answered 502.
var failedRuns = []struct {
	kind, path   string
	status, runs int
}{
	{"safe", "/r/x", 200, 2},
	{"unsafe", "/u/x", 502, 1},
	{"stream", "/s/x", 200, 2},
	{"stream that can't be resumed", "/o/x", 502, 1},
}

// assertNoAnswer checks that a malformed response of a plain server or an engine reaches no caller: a request
// that may be repeated is sent to another server, and any other one has run, which 502 does not deny. The
// connection carries no further request.
func assertNoAnswer(t *testing.T, response string) {
	t.Helper()
	for _, c := range failedRuns {
		t.Run(c.kind, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			engines, plain := r.servers(2)
			servers := append(engines, plain...)
			for _, s := range servers {
				s.SetMalformed(response)
			}
			failOnce(servers, platformtest.Malformed)
			for i, status := range []int{c.status, 200} {
				a := r.call(context.Background(), "POST", c.path, "k", "")
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, status, "%s", a.body)
				assertNotTruncated(t, a, c.path)
				assert.Equal(t, len(runs(servers)), c.runs+i)
			}
			assert.Assert(t, !strings.Contains(r.log.String(), "panic"))
		})
	}
}

// Guards against a response with an invalid status that is passed on, or taken for an informational one, so
// that what follows it is taken for the response.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const body = "\r\nContent-Length: 4\r\n\r\nbody"
	for name, response := range map[string]string{
		"000":                      "HTTP/1.1 000 Unknown\r\nATTEMPT" + body,
		"000 without a body":       "HTTP/1.1 000 Unknown\r\nATTEMPT\r\nContent-Length: 0\r\n\r\n",
		"000 before a response":    "HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nATTEMPT" + body,
		"099":                      "HTTP/1.1 099 Unknown\r\nATTEMPT" + body,
		"099 before a response":    "HTTP/1.1 099 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nATTEMPT" + body,
		"a sign before a response": "HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\nATTEMPT" + body,
		"600":                      "HTTP/1.1 600 Unknown\r\nATTEMPT" + body,
		"999":                      "HTTP/1.1 999 Unknown\r\nATTEMPT" + body,
		"switched protocols":       "HTTP/1.1 101 Switching Protocols\r\nATTEMPT\r\nUpgrade: other\r\n\r\n",
		"no number":                "HTTP/1.1 OK\r\nATTEMPT" + body,
	} {
		t.Run(name, func(t *testing.T) { assertNoAnswer(t, response) })
	}
}

// Guards against a response of which a field's name holds a blank or a control byte: the line was dropped, and
// where it told how the body is framed, the body that was passed on was not the server's.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	const chunks = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, response := range map[string]string{
		"blank":                     "HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate Number: 7\r\nContent-Length: 4\r\n\r\nbody",
		"blank before the colon":    "HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate : 7\r\nContent-Length: 4\r\n\r\nbody",
		"blank after the coding":    "HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding : chunked\r\nConnection: close" + chunks,
		"blank after the length":    "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length : 4\r\n\r\nbody",
		"blank, with a length":      "HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding : chunked\r\nContent-Length: 14" + chunks,
		"blank before the first":    "HTTP/1.1 200 OK\r\n X-Crate: 7\r\nATTEMPT\r\nContent-Length: 4\r\n\r\nbody",
		"tab":                       "HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate\tNumber: 7\r\nContent-Length: 4\r\n\r\nbody",
		"control byte":              "HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate\x01: 7\r\nContent-Length: 4\r\n\r\nbody",
		"zero byte":                 "HTTP/1.1 200 OK\r\nATTEMPT\r\nX-\x00Crate: 7\r\nContent-Length: 4\r\n\r\nbody",
		"carriage return":           "HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate\r: 7\r\nContent-Length: 4\r\n\r\nbody",
		"empty":                     "HTTP/1.1 200 OK\r\nATTEMPT\r\n: 7\r\nContent-Length: 4\r\n\r\nbody",
		"no colon":                  "HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate\r\nContent-Length: 4\r\n\r\nbody",
		"in an informational one":   "HTTP/1.1 103 Early Hints\r\nX-Crate Number: 7\r\n\r\nHTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 4\r\n\r\nbody",
		"in an unasked upgrade":     "HTTP/1.1 101 Switching Protocols\r\nATTEMPT\r\nX-Crate Number: 7\r\nUpgrade: other\r\n\r\n",
		"in a response of a stream": "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Type: text/event-stream\r\nX-Crate Number: 7\r\n\r\nid: 1\ndata: a\n\n",
		"in a failure":              "HTTP/1.1 500 Internal Server Error\r\nATTEMPT\r\nX-Crate Number: 7\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) { assertNoAnswer(t, response) })
	}
}

// Lines that begin with a blank continue the line before them, and names that are unusual are none the less
// names: such responses are passed on.
func TestUnusualFieldsArePassedOn(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	plain[0].SetMalformed("HTTP/1.1 200 OK\r\nATTEMPT\r\nX-Crate: 7,\r\n 8\r\nx_crate!~: 9\r\nX-Empty:\r\nContent-Length: 4\r\n\r\nbody")
	plain[0].SetFault(func(string) platformtest.Fault { return platformtest.Malformed })
	for range 2 {
		a := r.call(context.Background(), "POST", "/u/x", "k", "")
		assert.Equal(t, a.status, 200)
		assert.Equal(t, a.body, "body")
		assert.Equal(t, a.header.Get("X-Crate"), "7, 8")
		assert.Equal(t, a.header.Get("X_crate!~"), "9")
		assert.Assert(t, platformtest.ServerSeal(a.header) != "")
	}
	assert.Equal(t, plain[0].ConnectionsAccepted(), 1)
}

// The body is complete before the trailer, of which nothing is passed on: a name with a blank does no harm there,
// and a trailer that can't be parsed makes the response malformed.
func TestInvalidFieldNameInATrailer(t *testing.T) {
	for field, status := range map[string]int{"X-Crate Number: 7": 200, "X-Crate\x01: 7": 502} {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(1)
		plain[0].SetMalformed("HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + field + "\r\n\r\n")
		plain[0].SetFault(func(string) platformtest.Fault { return platformtest.Malformed })
		a := r.call(context.Background(), "POST", "/u/x", "k", "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, status)
		if status == 200 {
			assert.Equal(t, a.body, "body")
			for name := range a.header {
				assert.Assert(t, !strings.HasPrefix(name, "X-Crate"))
			}
		}
	}
}

// Callers' requests are checked by net/http: one with a malformed head reaches no server.
func TestMalformedRequestIsNotSent(t *testing.T) {
	for name, lines := range map[string]string{
		"blank":                  "X-Crate Number: 7\r\nContent-Length: 4\r\n\r\nbody",
		"blank after the coding": "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"blank after the length": "Content-Length : 4\r\n\r\nbody",
		"control byte":           "X-Crate\x01: 7\r\nContent-Length: 4\r\n\r\nbody",
		"empty":                  ": 7\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			_, plain := r.servers(1)
			c := r.dialCaller()
			_, err := fmt.Fprintf(c, "POST /u/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer k\r\n%s: a\r\n%s", platformtest.Host, platformtest.AttemptHeader, lines)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 400)
			assert.Equal(t, len(runs(plain)), 0)
		})
	}
}

// A request whose body breaks off reaches no server, whatever the caller's connection reports.
func TestRequestThatBreaksOffIsNotSent(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 100\r\n\r\nbo", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"} {
		for _, linger := range []int{-1, 0} { // 0 resets the connection
			r := newRig(t)
			r.configure()
			_, plain := r.servers(1)
			c := r.dialCaller()
			_, err := fmt.Fprintf(c, "POST /u/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer k\r\n%s: a\r\n%s", platformtest.Host, platformtest.AttemptHeader, framing)
			assert.NilError(t, err)
			assert.NilError(t, c.(*net.TCPConn).SetLinger(linger))
			assert.NilError(t, c.Close())
			edgetest.Until(t, name+" is refused", func() bool { return strings.Contains(r.log.String(), "body not read") })
			assert.Equal(t, len(runs(plain)), 0)
		}
	}
}

// Callers of HTTP/2 and callers whose connection another host relays get no malformed response either.
func TestMalformedResponseForOtherCallers(t *testing.T) {
	for callerName, call := range map[string]func(r *rig) int{
		"HTTP/2":  func(r *rig) int { return r.callHTTP2("POST", "/u/x").status },
		"relayed": func(r *rig) int { return r.relayed(&relayedConn{}, "HTTP/1.1", "/u/x").StatusCode },
	} {
		for name, response := range map[string]string{
			"status": "HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 4\r\n\r\nbody",
			"name":   "HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		} {
			t.Run(callerName+", "+name, func(t *testing.T) {
				r := newRig(t)
				r.configure()
				_, plain := r.servers(2)
				for _, s := range plain {
					s.SetMalformed(response)
				}
				failOnce(plain, platformtest.Malformed)
				assert.Equal(t, call(r), 502)
				assert.Equal(t, len(runs(plain)), 1)
			})
		}
	}
}
