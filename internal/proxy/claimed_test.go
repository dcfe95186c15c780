package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/windscale/windscale/internal/claims"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/dispatch"
	"github.com/windscale/windscale/internal/platform/httpplatform"
	"github.com/windscale/windscale/internal/standin/platform"
	"github.com/windscale/windscale/internal/standin/service"
)

// fleet is two routers that share a platform and the servers of a service.
type fleet struct {
	platform *platform.Server
	servers  []*service.Service
	routers  []*rig
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{platform: platform.New(0), servers: []*service.Service{newService(), newService()}}
	store := httptest.NewServer(f.platform)
	t.Cleanup(store.Close)
	for i := range 2 {
		r := newRig(t, f.servers[0], f.servers[1])
		c := claims.New(httpplatform.New(store.URL, store.Client()), claim.Writer{Incarnation: uint64(i)}, time.Now, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = c.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		r.proxy.Claims = c
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *fleet) book(t *testing.T, router int, key, body string) got {
	t.Helper()
	return send(t, "POST", f.routers[router].URL+"/services/dispatch/bookings", body, http.Header{"Idempotency-Key": {key}})
}

func (f *fleet) runs(t *testing.T) int { return runs(t, f.servers[0]) + runs(t, f.servers[1]) }

func TestSecondRequestGetsTheStoredAnswer(t *testing.T) {
	f := newFleet(t)
	first := f.book(t, 0, "k", "two trucks")
	assert.Equal(t, first.status, 200, first.body)
	second := f.book(t, 1, "k", "two trucks")
	assert.Equal(t, second.status, 200)
	assert.Equal(t, second.body, first.body)
	assert.Equal(t, second.header.Get("Content-Type"), first.header.Get("Content-Type"))
	assert.Equal(t, second.header.Get("Windscale-Replayed"), "true")
	other := f.book(t, 1, "k", "three trucks")
	assert.Equal(t, other.problem(), "claim-mismatch")
	assert.Equal(t, other.status, 422)
	assert.Equal(t, f.runs(t), 1)
	assert.Equal(t, f.book(t, 0, "k2", "two trucks").status, 200)
	assert.Equal(t, f.runs(t), 2)
	for _, key := range []string{"", "a b", "ä", strings.Repeat("x", 256)} {
		assert.Equal(t, f.book(t, 0, key, "x").problem(), "bad-idempotency-key")
	}
}

func TestOneRunForManyAtOnce(t *testing.T) {
	f := newFleet(t)
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			got := f.book(t, i%2, "k", "two trucks")
			assert.Check(t, got.status == 200 || got.problem() == "claim-running", got.body)
		})
	}
	wg.Wait()
	assert.Equal(t, f.runs(t), 1)
}

// A booking whose server went silent is never sent again, and both requests
// are told so.
func TestUnknownBookingStaysUnknown(t *testing.T) {
	for _, mode := range []service.Mode{service.CutBefore, service.CutWithin} {
		f := newFleet(t)
		fault(t, f.servers[0], service.Fault{Mode: mode, Count: 1})
		first := f.book(t, 0, "k", "two trucks")
		assert.Equal(t, first.header.Get("Windscale-Run"), "unknown")
		var second got
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if second = f.book(t, 1, "k", "two trucks"); second.problem() != "claim-running" {
				return poll.Success()
			}
			return poll.Continue("the result is not written")
		})
		assert.Equal(t, second.problem(), "outcome-unknown")
		assert.Equal(t, second.header.Get("Windscale-Run"), "unknown")
		assert.Equal(t, f.runs(t), 1)
	}
}

// A booking that was refused everywhere may be tried with the same key.
func TestRefusedBookingMayComeAgain(t *testing.T) {
	f := newFleet(t)
	fault(t, f.servers[0], service.Fault{Mode: service.Refuse})
	fault(t, f.servers[1], service.Fault{Mode: service.Busy})
	first := f.book(t, 0, "k", "two trucks")
	assert.Equal(t, first.problem(), "server-refused")
	assert.Equal(t, first.header.Get("Windscale-Run"), "no")
	fault(t, f.servers[1], service.Fault{Mode: service.OK})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := f.book(t, 1, "k", "two trucks"); got.status == 200 {
			return poll.Success()
		}
		return poll.Continue("the claim is not released")
	})
	assert.Equal(t, f.runs(t), 1)
}

func TestTableFaults(t *testing.T) {
	f := newFleet(t)
	setTable := func(mode platform.Mode, count int) {
		fault(t, f.platform, platform.Fault{Service: platform.Table, Mode: mode, Count: count})
	}
	for _, mode := range []platform.Mode{platform.Down, platform.Cut} {
		setTable(mode, 0)
		got := f.book(t, 0, "k", "two trucks")
		assert.Equal(t, got.problem(), "claims-unavailable")
		assert.Equal(t, got.header.Get("Windscale-Run"), "no")
		assert.Equal(t, f.runs(t), 0)
	}
	// All other traffic goes on: safe calls, and bookings without a key.
	assert.Equal(t, send(t, "GET", f.routers[0].URL+"/services/dispatch/jobs/7", "", nil).status, 200)
	assert.Equal(t, send(t, "POST", f.routers[0].URL+"/services/dispatch/bookings", "b", nil).status, 200)
	setTable(platform.OK, 0)
	assert.Equal(t, f.book(t, 0, "k", "two trucks").status, 200)
	assert.Equal(t, f.runs(t), 3)
}

// paused is a picker whose slot comes only after the claim's lease.
type paused struct {
	dispatch.Picker
	clock *clock
}

func (p paused) Acquire(ctx context.Context, r dispatch.Request) (dispatch.Slot, error) {
	s, err := p.Picker.Acquire(ctx, r)
	p.clock.ahead(defaultLease)
	return s, err
}

// clock is a clock that jumps, as a process that was paused sees it.
type clock struct {
	mu sync.Mutex
	by time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.by)
}

func (c *clock) ahead(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by += d
}

// A holder that was paused past its lease notices before it sends.
func TestPausedHolderSendsNothing(t *testing.T) {
	f := newFleet(t)
	r := f.routers[0]
	c := &clock{}
	r.proxy.Now = c.now
	r.proxy.Picker = paused{r.picker, c}
	got := f.book(t, 0, "k", "two trucks")
	assert.Equal(t, got.problem(), "claim-lapsed")
	assert.Equal(t, got.header.Get("Windscale-Run"), "no")
	assert.Equal(t, f.runs(t), 0)
}

// A server that checks fencing numbers refuses an older one; that is told as
// not run.
func TestOldFenceIsRefused(t *testing.T) {
	server := service.New(service.Options{ID: "d", Name: "dispatch", Slots: 1, ChecksFence: true})
	f := newFleet(t)
	rig := newRig(t, server)
	rig.proxy.Claims = f.routers[0].proxy.Claims
	s := rig.proxy.Snapshot()
	checked := s.Services["dispatch"]
	checked.ChecksFence = true
	s.Services["dispatch"] = checked
	w := httptest.NewRecorder()
	newer := httptest.NewRequest("POST", "/bookings", strings.NewReader("x"))
	newer.Header.Set("Idempotency-Key", "k")
	newer.Header.Set("Windscale-Fence", "18446744073709551615")
	server.ServeHTTP(w, newer)
	assert.Equal(t, w.Code, 200)
	got := send(t, "POST", rig.URL+"/services/dispatch/bookings", "two trucks", http.Header{"Idempotency-Key": {"k"}})
	assert.Equal(t, got.problem(), "claim-lapsed")
	assert.Equal(t, got.header.Get("Windscale-Run"), "no")
	assert.Equal(t, runs(t, server), 1)
}
