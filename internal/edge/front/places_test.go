package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/platform/platformtest"
)

// shareServers returns n routers before one plain service.
func shareServers(t testing.TB, n, servers int) ([]*rig, []*platformtest.Server) {
	first := newRig(t)
	first.configure()
	_, plain := first.servers(servers)
	var list []routing.Server
	for _, s := range plain {
		list = append(list, routing.Server{ID: s.ID, Service: s.Service, Addr: s.Addr(), DataCentre: s.DataCentre, Slots: 8, State: routing.ServerReady})
	}
	rigs := []*rig{first}
	for range n - 1 {
		r := newRig(t)
		r.configure()
		r.state.ReplaceServers(list, roster.Stamp{Version: 1}, true)
		rigs = append(rigs, r)
	}
	return rigs, plain
}

// Guards against connections that check the end of a response and then stay idle: they took the places of
// a server that accepts fewer connections than there are routers, and kept the others from it.
func TestServerWithOnePlaceServesAllRouters(t *testing.T) {
	const patience = 10 * time.Second
	rigs, plain := shareServers(t, 3, 1)
	plain[0].CloseDelimited = true
	plain[0].SetMaxConns(1)
	served := 0
	for round := range 3 {
		for i, r := range rigs {
			begin := time.Now()
			for n := 0; ; n++ {
				a := r.send(fmt.Sprintf("round-%d-%d-%d", round, i, n))
				if a.status == 200 {
					assert.Equal(t, a.body, platformtest.Body(a.attempt))
					served++
					break
				}
				assert.Assert(t, time.Since(begin) < patience, "router %d is not served: status %d", i, a.status)
				time.Sleep(retryPause)
			}
		}
	}
	assert.Equal(t, len(plain[0].Runs()), served)
}

// A connection that the server resets before the request was sent is no run: the request goes to another
// server, or its refusal says truly that it has not run.
func TestRejectedConnectionIsNoRun(t *testing.T) {
	r := newRig(t)
	r.configure()
	_, plain := r.servers(1)
	holdConns(t, plain[0], 1)
	plain[0].SetMaxConns(1)
	for n := range 20 {
		a := r.send(fmt.Sprintf("rejected-%d", n))
		if a.status == 503 {
			assert.Assert(t, a.header.Get("Retry-After") != "")
		}
	}
	assert.Equal(t, len(plain[0].Runs()), 0)
	assert.Assert(t, strings.Contains(r.log.String(), "closed the new connection before the request was sent"))
}
