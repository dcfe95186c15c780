package front

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/pick"
	"github.com/windscale/windscale/internal/core/roster"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/upstream"
)

// watched returns a handler with two servers, and a function that begins an
// exchange of a request that may be sent again. Its timer does not fire by
// itself; cancelled is told of each exchange that left its server.
func watched(t *testing.T, wait func() time.Duration, cancelled func()) (*Handler, func() *exchange) {
	t.Helper()
	route := &routing.Route{Kind: routing.Idempotent, MaxAttempts: 2, Target: time.Second}
	s := state.New("dc", 0, 8, time.Now)
	s.ApplyConfig(&routing.Config{Version: 1, Services: []routing.Service{{Name: "app"}}}, nil)
	s.ReplaceServers([]routing.Server{
		{ID: "a", Service: "app", Slots: 64, State: routing.ServerReady},
		{ID: "b", Service: "app", Slots: 64, State: routing.ServerReady},
	}, roster.Stamp{Version: 1}, true)
	h := New(Config{State: s, Pool: upstream.NewPool(time.Now), ProcessorWait: wait, Meter: meter.New(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	return h, func() *exchange {
		q := &request{h: h, begin: time.Now(), route: route, service: "app", deadline: time.Now().Add(time.Hour)}
		placed := q.place()
		assert.Equal(t, placed.Reason, state.ReasonNone)
		x := &exchange{q: q, placed: placed, job: placed.Job, server: placed.Choice.Server, cancel: cancelled}
		x.timer = time.AfterFunc(time.Hour, func() {})
		t.Cleanup(x.stopWatch)
		return x
	}
}

// dueAgo makes the server's next sign due so long ago.
func (x *exchange) dueAgo(d time.Duration) { x.due.Store(int64(time.Since(x.q.begin) - d)) }

// A timer that fires late says that this host stood still, not that the server
// was silent (complete responses were cut by a host that had not read them for a
// second, and every server was suspected).
func TestLateTimerBlamesTheHost(t *testing.T) {
	wait := time.Duration(0)
	_, begin := watched(t, func() time.Duration { return wait }, func() {})
	x := begin()
	x.dueAgo(200 * time.Millisecond)
	x.silent(time.Hour, true)
	assert.Assert(t, !x.late.isSet())
	assert.Assert(t, x.overdue() < 0, "it waits anew")
	wait = time.Second
	x.dueAgo(0)
	x.silent(time.Hour, true)
	assert.Assert(t, !x.late.isSet())
}

// A sign that came while the timer's call waited for the processor counts (a
// stream was cut 80 ms after it had begun).
func TestSignThatCameInTimeCounts(t *testing.T) {
	left := 0
	_, begin := watched(t, func() time.Duration { return 0 }, func() { left++ })
	x := begin()
	x.dueAgo(-time.Second) // the sign has put it off
	x.silent(time.Hour, true)
	assert.Equal(t, left, 0)
	assert.Assert(t, !x.late.isSet())
}

// Of many requests at silent servers only those leave that have a repeat in the
// retry budget; the others wait on.
func TestNobodyLeavesWithoutARepeat(t *testing.T) {
	left := 0
	_, begin := watched(t, func() time.Duration { return 0 }, func() { left++ })
	var all []*exchange
	for range 5 {
		all = append(all, begin())
	}
	for _, x := range all {
		x.dueAgo(0)
		x.silent(time.Hour, true)
	}
	assert.Equal(t, left, 1, "a budget of one")
	again := 0
	for _, x := range all {
		if !x.paid.isSet() {
			continue
		}
		x.q.sent++
		x.end(pick.Failed, "")
		if x.q.place().Reason == state.ReasonNone {
			again++
		}
	}
	assert.Equal(t, again, 1, "it is not asked for a second time")
}

// A request that has reached no server takes nothing from the retry budget.
func TestUnsentRequestIsNoRepeat(t *testing.T) {
	h, begin := watched(t, func() time.Duration { return 0 }, func() {})
	x := begin()
	x.q.tried = append(x.q.tried, x.server.ID)
	x.end(pick.Full, "")
	assert.Equal(t, x.q.place().Reason, state.ReasonNone)
	assert.Assert(t, h.State.TakeRetry("app"), "the one repeat is still there")
}
