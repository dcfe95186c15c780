package proxy

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/dispatch"
	"github.com/windscale/windscale/internal/standin/engine"
	"github.com/windscale/windscale/internal/standin/service"
)

// Each test here is of one mechanism, and fails without it (docs/PROOFS.md).

const (
	chatURL = "/v1/chat/completions"
	jobURL  = "/services/dispatch/jobs/7"
	bookURL = "/services/dispatch/bookings"
)

// echo names the request and the attempt in the answer.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Windscale-Request", r.Header.Get("Windscale-Request"))
	w.Header().Set("Windscale-Attempt", r.Header.Get("Windscale-Attempt"))
}

// A completion without a finish reason or its usage is not whole, though its
// length is right.
func TestCompletionMustBeFinished(t *testing.T) {
	for _, body := range []string{
		`{"choices":[{"finish_reason":null}],"usage":{}}`, `{"choices":[{"finish_reason":"stop"}]}`,
		`{"choices":[],"usage":{}}`, `{}`, `null`, `{"choices":[{"fin`,
	} {
		rig := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			_, _ = io.WriteString(w, body)
		}))
		got := send(t, "POST", rig.URL+chatURL, chat("x", 3, false), nil)
		assert.Equal(t, got.problem(), "answer-cut", body)
		assert.Equal(t, got.header.Get("Windscale-Run"), "unknown")
	}
}

// An engine's answer that names no request is nobody's, also where a stream is
// resumed.
func TestEngineMustNameTheRequest(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		nameless := func(w http.ResponseWriter, r *http.Request) {
			if resumed && r.Method == http.MethodPost {
				echo(w, r)
			}
			w.Header().Set("Content-Type", "text/event-stream")
			if !resumed || r.Method == http.MethodGet {
				from, _ := strconv.Atoi(r.URL.Query().Get("from"))
				rest(w, from)
				return
			}
			_, _ = io.WriteString(w, lines[0])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		rig := newRig(t, http.HandlerFunc(nameless))
		got := send(t, "POST", rig.URL+chatURL, chat("x", 3, true), nil)
		assert.Equal(t, resumed, got.err != nil, got.body)
		assert.Equal(t, resumed, got.problem() == "", got.body)
	}
}

// A stream is resumed from the first position that the caller lacks: the
// engine is not asked for what was delivered.
func TestResumesFromTheNextPosition(t *testing.T) {
	var asked atomic.Int64
	engine := &cutting{events: 2, bytes: 3, resume: func(w http.ResponseWriter, from int) {
		asked.Store(int64(from))
		rest(w, from)
	}}
	got := send(t, "POST", newRig(t, engine).URL+chatURL, chat("x", 3, true), nil)
	assert.NilError(t, got.err)
	assert.Equal(t, asked.Load(), int64(2))
}

// A safe method that the settings list as not to be repeated isn't.
func TestListedCallIsNotRepeatedWhateverItsMethod(t *testing.T) {
	bad, good := newService(), newService()
	rig := newRig(t, bad, good)
	rig.proxy.Snapshot().Services["dispatch"] = settings.Service{Name: "dispatch", AtMostOnce: []string{"GET /jobs/*"}}
	fault(t, bad, service.Fault{Mode: service.CutBefore})
	got := send(t, "GET", rig.URL+jobURL, "", nil)
	assert.Equal(t, got.problem(), "server-lost")
	assert.Equal(t, runs(t, bad)+runs(t, good), 1)
}

// slowTable takes longer to claim a key than the lease lasts.
type slowTable struct{ *clock }

func (s slowTable) Take(_ context.Context, _ claim.Key, w claim.Request) (claim.Verdict, *claim.Row, error) {
	s.ahead(time.Hour)
	return claim.Granted, &claim.Row{Holder: w.Holder, Fence: 1}, nil
}

func (s slowTable) Finish(claim.Key, msg.RequestID, claim.Result) <-chan struct{} {
	written := make(chan struct{})
	close(written)
	return written
}

// The lease counts from before the claim was asked for; once it is over, no
// other server is tried.
func TestLeaseCountsTheTimeOfTheClaim(t *testing.T) {
	one, other := newService(), newService()
	rig := newRig(t, one, other)
	c := &clock{}
	rig.proxy.Now, rig.proxy.Claims = c.now, slowTable{c}
	got := send(t, "POST", rig.URL+bookURL, "two trucks", http.Header{"Idempotency-Key": {"k"}})
	assert.Equal(t, got.problem(), "claim-lapsed")
	assert.Equal(t, got.header.Get("Windscale-Run"), "no")
	assert.DeepEqual(t, rig.picker.results(t), []attempt.Outcome{attempt.NotSent})
	assert.Equal(t, runs(t, one)+runs(t, other), 0)
}

// A call that may not be repeated has a connection of its own: on a kept one a
// server that closes it when idle would make the outcome unknown.
func TestListedCallsHaveTheirOwnConnections(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	rig := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.RemoteAddr]++
	}))
	for range 3 {
		assert.Equal(t, send(t, "POST", rig.URL+bookURL, "x", nil).status, 200)
	}
	assert.Equal(t, len(seen), 3)
}

// A claimed call runs on when its caller goes, and the answer is kept.
func TestClaimedCallOutlastsItsCaller(t *testing.T) {
	f := newFleet(t)
	rig := f.routers[0]
	began, release := make(chan struct{}), make(chan struct{})
	slow := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		select {
		case <-release:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "booked")
	}))
	rig.picker.servers = slow.picker.servers
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", rig.URL+bookURL, strings.NewReader("two trucks"))
	assert.NilError(t, err)
	req.Header.Set("Idempotency-Key", "k")
	gone := make(chan error)
	go func() {
		_, err := http.DefaultTransport.RoundTrip(req)
		gone <- err
	}()
	<-began
	cancel()
	assert.ErrorIs(t, <-gone, context.Canceled)
	assert.Equal(t, f.book(t, 1, "k", "two trucks").problem(), "claim-running")
	close(release)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := f.book(t, 1, "k", "two trucks")
		if got.problem() == "claim-running" {
			return poll.Continue("running")
		}
		assert.Equal(t, got.status, 200, got.body)
		assert.Equal(t, got.body, "booked")
		return poll.Success()
	})
}

// What a server says of itself when it refuses reaches the sharing.
func TestRefusalsReachTheSharing(t *testing.T) {
	for mode, want := range map[engine.Mode]dispatch.Result{
		engine.Leaving: {Outcome: attempt.Refused, Leaving: true},
		engine.Busy:    {Outcome: attempt.Refused, Busy: true},
	} {
		e := newEngine(t)
		rig := newRig(t, e)
		fault(t, e, engine.Fault{Mode: mode})
		send(t, "POST", rig.URL+chatURL, chat("x", 3, true), nil)
		assert.Equal(t, len(rig.picker.slots), 1)
		got := rig.picker.slots[0].results[0]
		got.Total = 0
		assert.DeepEqual(t, got, want)
	}
}

// An engine's usage is no way to take service back.
func TestCostIsBounded(t *testing.T) {
	for _, c := range []struct {
		usage backend.Usage
		cost  msg.Cost
	}{
		{backend.Usage{Prompt: 3, Completion: 5}, 23},
		{backend.Usage{Prompt: -3, Completion: 5}, 20},
		{backend.Usage{Prompt: 3, Completion: -5}, 3},
		{backend.Usage{Prompt: math.MaxInt64, Completion: math.MaxInt64}, 5 * maxTokens},
		{backend.Usage{Prompt: math.MinInt64, Completion: math.MinInt64}, 0},
	} {
		assert.Equal(t, costOf(c.usage), c.cost)
	}
}

// A lease that ends while the request is being written does not let the caller
// believe that nothing was sent.
func TestLapsedClaimIsToldTruthfully(t *testing.T) {
	for sent, want := range map[attempt.Outcome]string{attempt.NotSent: "claim-lapsed", attempt.Unknown: "server-lost"} {
		rig := newRig(t)
		w := httptest.NewRecorder()
		u := rig.proxy.newRun(w, httptest.NewRequest("POST", bookURL, nil), rig.customer, arrival{at: time.Now(), limit: time.Minute}, "s/dispatch", serviceRule("POST", true))
		defer u.close()
		s := &serviceRun{run: u}
		u.x.BeginAttempt()
		assert.Equal(t, s.notAnswered(&backend.Error{Stage: backend.StageSend, Outcome: sent, Err: claim.LeaseExpiredError{}}), attempt.Fail)
		u.fail()
		assert.Equal(t, u.finish.Problem, want)
		assert.Equal(t, w.Header().Get("Windscale-Run"), sent.RunHeader())
	}
}
