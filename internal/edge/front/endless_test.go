package front_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
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
		"garbage":                     platformtest.EndlessGarbage,
		"head":                        platformtest.EndlessHead,
		"informational":               platformtest.EndlessInformational,
		"chunk size":                  platformtest.EndlessChunkSize,
		"trailer":                     platformtest.EndlessTrailer,
		"response to another request": platformtest.EndlessMismatch,
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

// Guards against an event without end that is held in memory. Its stream is resumed at another server, or
// cut visibly.
func TestEndlessEventIsCut(t *testing.T) {
	for path, status := range map[string]int{"/s/x": 200, "/o/x": 502} {
		r := newRig(t)
		r.handler.Pool.Memory = bounded.NewBudget(1 << 20)
		r.configure()
		engines, _ := r.servers(2)
		failOnce(engines, platformtest.EndlessEvent)
		a := r.call(context.Background(), "POST", path, "k", "")
		assert.Equal(t, a.status, status)
		if status == 200 {
			assert.Equal(t, a.body, fullStream(a.attempt))
		}
		assert.Assert(t, taken(engines) < maxTaken, "%d bytes taken", taken(engines))
		assert.Equal(t, r.handler.Pool.Memory.Used(), int64(0))
	}
}

// With every server faulty, the responses of all requests together use no more than their memory, and no
// request is answered by anything but a failure.
func TestEndlessResponsesOfAllServersShareTheirMemory(t *testing.T) {
	const budget = 512 << 10
	r := newRig(t)
	r.handler.Pool.Memory = bounded.NewBudget(budget)
	r.configure()
	engines, plain := r.servers(3)
	faults := []platformtest.Fault{platformtest.EndlessHead, platformtest.EndlessEvent, platformtest.EndlessGarbage, platformtest.EndlessTrailer}
	for i, s := range append(engines, plain...) {
		s.SetFault(func(string) platformtest.Fault { return faults[i%len(faults)] })
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 60 {
		path := []string{"/s/x", "/u/x", "/r/x"}[i%3]
		wg.Go(func() {
			req, err := http.NewRequest("POST", r.server.URL+path, nil)
			assert.Check(t, err)
			req.Host = platformtest.Host
			attempt := fmt.Sprintf("shared-%d", i)
			platformtest.SetRequestHeaders(req.Header, attempt, "k", 2*time.Second, "")
			a := do(req, attempt)
			assert.Check(t, a.status != 200 || a.err != nil, "%s answered", path)
		})
	}
	go func() { wg.Wait(); close(done) }()
	for {
		used := r.handler.Pool.Memory.Used()
		assert.Assert(t, used <= budget, "%d bytes used", used)
		select {
		case <-done:
			assert.Equal(t, r.handler.Pool.Memory.Used(), int64(0))
			return
		case <-time.After(time.Millisecond):
		}
	}
}
