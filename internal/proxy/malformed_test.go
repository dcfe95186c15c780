package proxy

import (
	"fmt"
	"net/http"
	"strings"
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

// Guards against a response of which a field's name holds a blank or a control byte: the line was dropped, and
// where it told how the body is framed, the body that was passed on was not the server's.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for name, lines := range map[string]string{
		"blank":                 "X-Crate Number: 7\r\nContent-Length: 2\r\n\r\nok",
		"blank before colon":    "X-Crate : 7\r\nContent-Length: 2\r\n\r\nok",
		"blank, with a length":  "Transfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank after length":    "Content-Length : 2\r\n\r\nok",
		"control byte":          "X-Crate\x01: 7\r\nContent-Length: 2\r\n\r\nok",
		"empty":                 ": 7\r\nContent-Length: 2\r\n\r\nok",
		"blank before the line": " X-Crate: 7\r\n%s\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			if name == "blank before the line" {
				assertNoAnswer(t, "HTTP/1.1 200 OK\r\n"+lines)
				return
			}
			assertNoAnswer(t, "HTTP/1.1 200 OK\r\n%s\r\n"+lines)
		})
	}
}

// Guards against the first part of a response that is passed on as complete: the server sent it without a length
// and reset the connection while the request's body was being sent.
func TestEarlyResponseThatBreaksOffIsIncomplete(t *testing.T) {
	const uploads = 50
	body := strings.Repeat("b", 3<<20)
	for range uploads {
		rig := newRig(t, rawServer(t, "HTTP/1.1 200 OK\r\n%s\r\n\r\nfirst part"))
		got := send(t, "POST", rig.URL+"/services/dispatch/bookings", body, nil)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 502, "%s", got.body)
		assert.Equal(t, got.header.Get("Windscale-Run"), "unknown")
		assert.Equal(t, len(rig.picker.results(t)), 1)
		rig.Close()
	}
}
