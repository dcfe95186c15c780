package front

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/pressure"
)

// The customer that fills a full host gives way, others don't (a customer
// behind the same host as a flood got nothing).
func TestWhoDominatesAFullHostGivesWayFirst(t *testing.T) {
	wait := time.Duration(0)
	h := New(Config{MaxRunning: 20, ProcessorWait: func() time.Duration { return wait }})
	ask := func(customer string) bool {
		q := &request{h: h, customer: customer}
		h.running.Add(1)
		if q.behind() != nil {
			h.running.Add(-1)
			return false
		}
		h.progress.begin(customer)
		return true
	}
	for range 20 {
		assert.Assert(t, ask("flood"))
	}
	assert.Assert(t, !ask("flood"))
	for range 5 {
		assert.Assert(t, ask("small"))
	}
	assert.Assert(t, !ask("small"), "the bound holds for all")
	h.running.Store(10)
	wait = pressure.Overloaded
	assert.Assert(t, !ask("flood"))
	assert.Assert(t, ask("small"))
	wait = pressure.Saturated
	assert.Assert(t, !ask("small"), "nobody is served in time")
	h.progress.end("flood")
	h.progress.end("small")
	assert.Equal(t, h.progress.all, 24)
}

// The pattern: one customer's flood comes in by one host of 0.192 cores, while the other
// hosts have time. Who fills the host by itself is refused as soon as a wait shows, and
// is at another host long before it would have its answer here; others are not, nor is
// a customer that has most of a few requests at a host whose processor was busy once.
func TestWhoFillsABusyHostIsSentElsewhere(t *testing.T) {
	wait := pressure.Busy
	h := New(Config{MaxRunning: 400, ProcessorWait: func() time.Duration { return wait }})
	ask := func(customer string) bool {
		q := &request{h: h, customer: customer}
		h.running.Add(1)
		if q.behind() != nil {
			return false
		}
		h.progress.begin(customer)
		return true
	}
	for range fillLeast {
		assert.Assert(t, ask("flood"))
	}
	assert.Assert(t, !ask("flood"))
	assert.Assert(t, ask("small"))
	wait = 0
	assert.Assert(t, ask("flood"))
}

// The pattern: a request is read on a flooded host, and waits there for its turn; its
// caller gives up meanwhile, which the server's side notices when it has its turn too. A
// request that has waited has its caller looked at once more before it is sent (one was
// sent 1.1 s after its caller had left); one that has not costs no look.
func TestACallerThatLeftWhileItsRequestWaitedIsSeen(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp4", ln.Addr().String())
	assert.NilError(t, err)
	conn, err := ln.Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	r, err := http.NewRequestWithContext(WithConn(context.Background(), conn), http.MethodPost, "/", nil)
	assert.NilError(t, err)
	old := &request{h: New(Config{}), r: r, begin: time.Now().Add(-2 * lookAgain)}
	assert.Assert(t, !old.leftMeanwhile())
	assert.NilError(t, caller.Close())
	for !old.leftMeanwhile() {
		time.Sleep(time.Millisecond) // the test's own time limit bounds it
	}
	old.started = true
	assert.Assert(t, !old.leftMeanwhile(), "its answer is on its way, and tells")
	young := &request{h: New(Config{}), r: r, begin: time.Now().Add(time.Hour)}
	assert.Assert(t, !young.leftMeanwhile())
}
