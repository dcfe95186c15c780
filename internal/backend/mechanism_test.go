package backend

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/attempt"
)

// Each test here is of one mechanism, and fails without it (docs/PROOFS.md).

// What is told as not sent stays so: the failure seals the gate first.
func TestFailureSealsTheGate(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	assert.NilError(t, far.Close())
	g := &gate{}
	c := &conn{Conn: near}
	c.hold(g)
	assert.Equal(t, sendError(g, net.ErrClosed).Outcome, attempt.NotSent)
	_, err := c.Write([]byte("x"))
	assert.ErrorIs(t, err, errSealed)
}

// Only the statuses that a server is known to refuse by are refusals: another
// failure may have run.
func TestOtherStatusesAreNoRefusals(t *testing.T) {
	for _, status := range []string{"500 Failed", "502 Bad", "504 Late", "404 None", "409 Taken"} {
		srv := newServer(t, answering("HTTP/1.1 "+status+"\r\nWindscale-Fence-Refused: true\r\nContent-Length: 2\r\n\r\nok"))
		body, failure := do(t, t.Context(), srv.call())
		assert.Assert(t, failure == nil, "%s: %v", status, failure)
		assert.Equal(t, string(body), "ok")
	}
}

// A refused resumption says nothing of the request, which has run.
func TestRefusedResumptionIsNoRefusal(t *testing.T) {
	srv := newServer(t, answering("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	client := New()
	defer client.Close()
	call := srv.call()
	call.Refused = []int{http.StatusServiceUnavailable}
	_, failure := client.Resume(t.Context(), call, 3)
	assert.Equal(t, failure.Outcome, attempt.Unknown)
	assert.ErrorIs(t, failure, ErrStreamAbsent)
}
