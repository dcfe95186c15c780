package node

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/oklog/run"
	"gotest.tools/v3/assert"
)

// Guards against a router that reports ready but accepts no connection: when its listener has
// failed the process ends, so that it is restarted.
func TestFailedListenerEndsRouter(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &Node{
		callerServer: &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: headerTimeout},
		limiter:      &connLimiter{Listener: ln, maxOpen: 10, refusing: never, onAdmitted: func() {}, expectedWait: func() time.Duration { return 0 }},
		log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	var g run.Group
	n.serveCallers(&g)
	assert.NilError(t, ln.Close())
	assert.ErrorContains(t, g.Run(), "closed")
}
