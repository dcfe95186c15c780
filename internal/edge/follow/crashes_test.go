package follow_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/internal/edge/edgetest"
	"github.com/windscale/windscale/internal/edge/follow"
	"github.com/windscale/windscale/platform/platformtest"
)

// While the part of the store with the blocked contents is down, the router serves requests
// nevertheless, and it knows the blocked contents as soon as they can be read.
func TestServerListDoesNotWaitForBlockedContents(t *testing.T) {
	f := start(t, follow.Direct)
	f.store.SetFault(func(r *http.Request) platformtest.StoreFault {
		if r.URL.Query().Get("table") == "windscale-blocked" {
			return platformtest.StoreUnavailable
		}
		return platformtest.StoreOK
	})
	f.put(3)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "it serves requests", f.state.Ready)
	assert.Assert(t, !f.state.HasReadCrashes())
	record := poison.Record{Content: 7, Crashes: []poison.CrashAge{{Server: 1, Age: 2 * time.Second}, {Server: 2, Age: time.Second}, {Server: 3}}}
	f.store.SetFault(nil)
	_, _, err := f.client.WriteBlocked(context.Background(), poison.Contents, []poison.Record{record}, nil)
	assert.NilError(t, err)
	edgetest.Until(t, "the content is blocked", func() bool { return f.state.AdmitContent(7).Wait > 0 })
}
