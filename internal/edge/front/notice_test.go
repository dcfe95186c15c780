package front_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/platform"
	"github.com/windscale/windscale/platform/platformtest"
)

// Guards against server notices that are not logged or not counted.
func TestServerNoticesAreLogged(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, plain := r.servers(1)
	engines[0].SetLeaving(true)
	r.call(context.Background(), "POST", "/s/x", "k", "body")
	assert.Equal(t, strings.Count(r.log.String(), `"event":403`), 1)
	assert.Equal(t, r.state.LeavingCount(), 1)

	plain[0].SetBackoff(90 * time.Millisecond)
	plain[0].SetFault(func(string) platformtest.Fault { return platformtest.Overloaded })
	r.call(context.Background(), "GET", "/r/x", "k", "")
	assert.Assert(t, strings.Contains(r.log.String(), `"forMs":90`), "%s", r.log)
	assert.Equal(t, r.state.BackoffCount(), 1)
}

// malformedLeaving puts an invalid Server-Leaving value into every answer.
type malformedLeaving struct{ platform.Headers }

func (m malformedLeaving) ParseNotice(status int, h http.Header) (routing.ServerNotice, error) {
	h.Set("Server-Leaving", "soon")
	return m.Headers.ParseNotice(status, h)
}

// Guards against a malformed notice that fails requests, marks the server or is not logged.
func TestMalformedNoticeIsLogged(t *testing.T) {
	r := newRig(t)
	r.configure()
	r.servers(1)
	r.handler.Headers = malformedLeaving{}
	for range 2 {
		assert.Equal(t, r.call(context.Background(), "GET", "/r/x", "k", "").status, 200)
	}
	assert.Equal(t, strings.Count(r.log.String(), `"event":427`), 1)
	assert.Equal(t, r.state.LeavingCount(), 0)
}
