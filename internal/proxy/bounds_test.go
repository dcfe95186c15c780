package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/dispatch"
)

// stuck is a caller that takes nothing until it is let.
type stuck struct {
	*httptest.ResponseRecorder
	let      chan struct{}
	writing  chan struct{} // closed at the first write
	once     sync.Once
	deadline atomic.Bool
	bare     atomic.Bool // a write was begun without a deadline
}

func (s *stuck) SetWriteDeadline(t time.Time) error {
	s.deadline.Store(!t.IsZero())
	return nil
}

func (s *stuck) Write(p []byte) (int, error) {
	if !s.deadline.Load() {
		s.bare.Store(true)
	}
	s.once.Do(func() { close(s.writing) })
	<-s.let
	return len(p), nil
}

// What waits for a slow caller is bounded, and so is each write to it.
func TestSlowCallerHoldsBoundedMemory(t *testing.T) {
	w := &stuck{ResponseRecorder: httptest.NewRecorder(), let: make(chan struct{}), writing: make(chan struct{})}
	c := newCallerStream(w, func() {})
	chunk := make([]byte, 1<<10)
	assert.NilError(t, c.put(t.Context(), chunk))
	<-w.writing // the first chunk, which the caller does not take
	taken := 0
	for ok := true; ok && taken < 100*maxSpool; {
		var err error
		ok, err = c.tryPut(chunk)
		assert.NilError(t, err)
		if ok {
			taken += len(chunk)
		}
	}
	assert.Assert(t, taken <= maxSpool+len(chunk), "%d bytes", taken)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorType(t, c.put(ctx, chunk), CallerGone{})
	close(w.let)
	assert.NilError(t, c.drain())
	assert.Assert(t, !w.bare.Load())
}

// The events that are held for a stream's end are bounded.
func TestHeldEventsAreBounded(t *testing.T) {
	var h heldParts
	part := backend.Part{Raw: make([]byte, 64<<10), Position: -1}
	n := 0
	for h.add(part, 0) && n < 100 {
		n++
	}
	assert.Equal(t, n, maxHeld/len(part.Raw))
}

// While nothing succeeds, all requests together have the few retries that the
// allowance begins with.
func TestFailuresShareOneAllowance(t *testing.T) {
	const requests, allowed = 20, 3
	var attempts atomic.Int64
	failing := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		attempts.Add(1)
		panic(http.ErrAbortHandler)
	})
	rig := newRig(t, failing, failing, failing)
	for range requests {
		assert.Equal(t, send(t, "GET", rig.URL+jobURL, "", nil).problem(), "server-lost")
	}
	assert.Equal(t, attempts.Load(), int64(requests+allowed))
}

// Resumptions are paid for like retries.
func TestResumptionsShareTheAllowance(t *testing.T) {
	const requests, allowed = 20, 3
	engine := &cutting{events: 1, resume: func(w http.ResponseWriter, from int) {
		_, _ = io.WriteString(w, lines[min(from, 2)])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}}
	rig := newRig(t, engine)
	for range requests {
		assert.Assert(t, send(t, "POST", rig.URL+chatURL, chat("x", 3, true), nil).err != nil)
	}
	assert.Equal(t, engine.resumes.Load(), int64(allowed))
}

// A retry goes to another server, and tells it what is left of the caller's
// time; none is begun when that is over.
func TestRetryGoesElsewhereInTheCallersTime(t *testing.T) {
	left := make(chan string, 9)
	failing := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		left <- r.Header.Get("Windscale-Timeout")
		panic(http.ErrAbortHandler)
	})
	rig := newRig(t, failing, failing)
	send(t, "GET", rig.URL+jobURL, "", http.Header{"Windscale-Timeout": {"10s"}})
	assert.Equal(t, len(left), 2)
	assert.Assert(t, rig.picker.slots[0].server != rig.picker.slots[1].server)
	for range 2 {
		d, err := time.ParseDuration(<-left)
		assert.NilError(t, err)
		assert.Assert(t, d > 0 && d <= 10*time.Second, "%v", d)
	}
	var attempts atomic.Int64
	hanging := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		<-r.Context().Done()
	})
	rig = newRig(t, hanging, hanging)
	got := send(t, "GET", rig.URL+jobURL, "", http.Header{"Windscale-Timeout": {"50ms"}})
	assert.Equal(t, got.problem(), "deadline")
	assert.Equal(t, attempts.Load(), int64(1))
}

// asking is a picker that notes what it is asked for, and refuses.
type asking struct{ got []dispatch.Request }

func (a *asking) Acquire(_ context.Context, r dispatch.Request) (dispatch.Slot, error) {
	a.got = append(a.got, r)
	return nil, &dispatch.Refusal{Reason: dispatch.QueueFull}
}

// A waiting request counts with the size of its body.
func TestWaitingRequestsCountWithTheirBytes(t *testing.T) {
	rig := newRig(t)
	picker := &asking{}
	rig.proxy.Picker = picker
	body := chat("x", 3, false)
	send(t, "POST", rig.URL+chatURL, body, nil)
	send(t, "POST", rig.URL+bookURL, body, nil)
	assert.Equal(t, len(picker.got), 2)
	assert.Equal(t, picker.got[0].Bytes, len(body))
	assert.Equal(t, picker.got[1].Bytes, len(body))
}
