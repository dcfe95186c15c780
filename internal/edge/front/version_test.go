package front_test

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/platform/platformtest"
)

// setVersions sets the software version of each engine.
func (r *rig) setVersions(engines []*platformtest.Server, versions ...string) {
	r.t.Helper()
	list, _ := r.state.Servers()
	for i, e := range engines {
		e.Version = versions[i]
		for n := range list {
			if list[n].ID == e.ID {
				list[n].Version = versions[i]
			}
		}
	}
	r.state.ReplaceServers(list, roster.Stamp{Version: 2}, true)
}

// truncateFirstRuns makes the first run of each attempt break off in the middle of an event.
func truncateFirstRuns(engines []*platformtest.Server) {
	var mu sync.Mutex
	begun := map[string]bool{}
	for _, e := range engines {
		e.SetFault(func(attempt string) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if begun[attempt] {
				return platformtest.NoFault
			}
			begun[attempt] = true
			return platformtest.TruncatedResponse
		})
	}
}

// Guards against a response that holds events of two software versions: when the server of a stream
// crashed, the router resumed the stream at a server of any version.
func TestStreamResumesAtTheVersionThatBeganIt(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(6)
	r.setVersions(engines, "v1", "v1", "v2", "v2", "v3", "v3")
	r.state.SetRetryBudget(0.2, 800) // enough for a retry of each request
	truncateFirstRuns(engines)
	for range 20 {
		a := r.call(context.Background(), "POST", "/s/x", "k", "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, fullStream(a.attempt))
		r.assertOneVersion(engines, a.attempt)
	}
}

// Guards against a response that is completed by another version because no server of the first one
// is left. It has to end visibly truncated.
func TestStreamIsCutWithoutServersOfItsVersion(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	r.setVersions(engines, "v1", "v2")
	truncateFirstRuns(engines)
	a := r.call(context.Background(), "POST", "/s/x", "k", "")
	assert.Equal(t, a.status, 200)
	assert.Assert(t, a.err != nil, "the response must not look complete")
	r.assertOneVersion(engines, a.attempt)
}

// A request that no server has begun to answer may be sent to any version.
func TestRequestWithoutEventsIsRetriedAtAnyVersion(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	r.setVersions(engines, "v1", "v2")
	failOnce(engines, platformtest.ResetAfterRun)
	a := r.call(context.Background(), "POST", "/s/x", "k", "")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, fullStream(a.attempt))
}

// assertOneVersion checks that all runs of an attempt were at servers of one version.
func (r *rig) assertOneVersion(engines []*platformtest.Server, attempt string) {
	r.t.Helper()
	version := ""
	for _, run := range runs(engines) {
		if run.Attempt != attempt {
			continue
		}
		if version == "" {
			version = run.Version
		}
		assert.Equal(r.t, run.Version, version, "%s went on at another version", attempt)
	}
}
