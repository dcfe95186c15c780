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

// A part of the store is down, the one with the blocked contents: the router serves all
// the same, and knows what is blocked as soon as it can be read.
func TestTheListDoesNotWaitForBlockedContents(t *testing.T) {
	f := start(t, follow.Everyone)
	f.store.SetFault(func(r *http.Request) platformtest.StoreFault {
		if r.URL.Query().Get("table") == "windscale-blocked" {
			return platformtest.StoreUnavailable
		}
		return platformtest.StoreOK
	})
	f.put(3)
	f.store.Put("servers", "a", platformtest.ServerEntry("app", "127.0.0.1:1", "ready"))
	edgetest.Until(t, "it serves", f.state.Ready)
	assert.Assert(t, !f.state.KnowsCrashes())
	told := poison.Record{Content: 7, Crashes: []poison.CrashAge{{Server: 1, Age: 2 * time.Second}, {Server: 2, Age: time.Second}, {Server: 3}}}
	f.store.SetFault(nil)
	_, _, err := f.client.WriteBlocked(context.Background(), []poison.Record{told}, nil)
	assert.NilError(t, err)
	edgetest.Until(t, "it knows", func() bool { return f.state.AdmitContent(7).Wait > 0 })
}
