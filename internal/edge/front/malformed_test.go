package front_test

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/platform/platformtest"
)

// assertNoAnswer checks that a malformed response of a plain server or an engine reaches no caller: a request
// that may be repeated is sent to another server, and any other one has run, which 502 does not deny. The
// connection carries no further request.
func assertNoAnswer(t *testing.T, response string) {
	t.Helper()
	for _, c := range []struct {
		kind, path   string
		status, runs int
	}{
		{"safe", "/r/x", 200, 2},
		{"unsafe", "/u/x", 502, 1},
		{"stream", "/s/x", 200, 2},
		{"stream that can't be resumed", "/o/x", 502, 1},
	} {
		t.Run(c.kind, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			engines, plain := r.servers(2)
			servers := append(engines, plain...)
			for _, s := range servers {
				s.Malformed = response
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
