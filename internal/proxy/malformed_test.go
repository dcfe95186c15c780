package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/backend"
)

// rawServer answers each request with the response as it is, in which %s stands for the headers that name the
// attempt, and closes the connection.
func rawServer(t *testing.T, response string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		defer c.Close()
		own := fmt.Sprintf("%s: %s\r\n%s: %s", backend.HeaderRequest, r.Header.Get(backend.HeaderRequest), backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
		_, _ = fmt.Fprintf(c, response, own)
	})
}

// assertNoAnswer checks that a malformed response reaches no caller: a call that may be repeated is answered by
// another server, and any other one may have run.
func assertNoAnswer(t *testing.T, response string) {
	t.Helper()
	for _, c := range []struct {
		method, path string
		status       int
		run          string // Windscale-Run
	}{
		{"GET", "/jobs/7", 200, ""},
		{"POST", "/bookings", 502, "unknown"},
	} {
		rig := newRig(t, rawServer(t, response), newService())
		got := send(t, c.method, rig.URL+"/services/dispatch"+c.path, "two trucks", nil)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, c.status, "%s", got.body)
		assert.Equal(t, got.header.Get("Windscale-Run"), c.run)
	}
}

// Guards against a response with an invalid status that is passed on, or whose status net/http refuses to
// write, so that the caller gets no answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			assertNoAnswer(t, "HTTP/1.1 "+status+" Unknown\r\n%s\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}
