package front_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/platform/platformtest"
)

// maxTaken is how many endless bytes a server may send before its connection is closed: the bounds of the
// router and what the buffers of both sockets hold.
const maxTaken = 16 << 20

// Guards against a router that reads an endless response until the deadline, and thereby exceeds its
// memory. The server counts as failed: a request that may be repeated is sent to another one, and any
// other one has run, which 502 does not deny.
func TestEndlessResponseIsCut(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{
		"garbage":       platformtest.EndlessGarbage,
		"head":          platformtest.EndlessHead,
		"informational": platformtest.EndlessInformational,
		"chunk size":    platformtest.EndlessChunkSize,
	} {
		for _, c := range []struct {
			kind, method, path string
			status, runs       int
		}{
			{"safe", "GET", "/r/x", 200, 2},
			{"unsafe", "POST", "/u/x", 502, 1},
			{"stream", "POST", "/s/x", 200, 2},
			{"stream that can't be resumed", "POST", "/o/x", 502, 1},
		} {
			t.Run(name+", "+c.kind, func(t *testing.T) {
				r := newRig(t)
				r.handler.Pool.Memory = bounded.NewBudget(1 << 20)
				r.configure()
				engines, plain := r.servers(2)
				servers := append(engines, plain...)
				failOnce(servers, fault)
				began := time.Now()
				a := r.call(context.Background(), c.method, c.path, "k", strings.Repeat("b", 5000))
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, c.status)
				assert.Equal(t, len(runs(servers)), c.runs)
				if c.status != 200 {
					assert.Equal(t, platformtest.ServerSeal(a.header), "")
				}
				assert.Assert(t, time.Since(began) < 2*time.Second, "held until the deadline")
				assert.Assert(t, taken(servers) < maxTaken, "%d bytes taken", taken(servers))
				assert.Assert(t, !r.state.HasCrashes(), "counted as a crash of the server")
				assert.Equal(t, r.handler.Pool.Memory.Used(), int64(0))
				assert.Assert(t, strings.Contains(r.log.String(), `"received":`))
			})
		}
	}
}

// Callers of HTTP/2 and callers whose connection another host relays get the same.
func TestEndlessResponseIsCutForOtherCallers(t *testing.T) {
	for name, call := range map[string]func(r *rig) int{
		"HTTP/2":  func(r *rig) int { return r.callHTTP2("POST", "/u/x").status },
		"relayed": func(r *rig) int { return r.relayed(&relayedConn{}, "HTTP/1.1", "/u/x").StatusCode },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure()
			_, plain := r.servers(2)
			failOnce(plain, platformtest.EndlessHead)
			assert.Equal(t, call(r), 502)
			assert.Equal(t, len(runs(plain)), 1)
			assert.Assert(t, taken(plain) < maxTaken, "%d bytes taken", taken(plain))
		})
	}
}

// taken returns how many bytes of endless responses the servers have sent.
func taken(servers []*platformtest.Server) (n int64) {
	for _, s := range servers {
		n += s.EndlessBytes()
	}
	return n
}
