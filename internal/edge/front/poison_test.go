package front_test

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/poison"
	"github.com/windscale/windscale/platform/platformtest"
)

// Guards against a router that resumes a stream at more servers than poison.CrashesToBlock when each
// crashes under it. A copy must then be refused with a Retry-After, and other content of the customer
// must not be refused.
func TestRetriesStopAtCrashLimit(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(8)
	var sent atomic.Int64
	for _, s := range engines {
		s.SetFault(func(string) platformtest.Fault {
			if sent.Add(1) <= poison.CrashesToBlock {
				return platformtest.TruncatedResponse
			}
			return platformtest.NoFault
		})
	}
	for range 2 {
		a := r.call(context.Background(), "POST", "/s/x", "k", "guilty")
		assert.Assert(t, a.err != nil || a.status == 502, "%d", a.status)
	}
	assert.Equal(t, len(runs(engines)), poison.CrashesToBlock)
	a := r.call(context.Background(), "POST", "/s/x", "k", "guilty")
	assert.Equal(t, a.status, 503)
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 590 && seconds <= 600, "%f", seconds)
	assert.Assert(t, strings.Contains(a.body, "servers end"), a.body)
	assert.Equal(t, len(runs(engines)), poison.CrashesToBlock)
	assert.Equal(t, r.call(context.Background(), "POST", "/s/x", "k", "innocent").status, 200)
	assert.Equal(t, r.call(context.Background(), "POST", "/s/y", "k", "guilty").status, 200)
}

// Guards against counting 5xx responses, invalid responses or silence as crashes.
func TestOnlyConnectionLossCountsAsCrash(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.InternalError, platformtest.Garbage, platformtest.NoResponse} {
		r := newRig(t)
		r.configure()
		_, plain := r.servers(6)
		for _, s := range plain {
			s.SetFault(func(string) platformtest.Fault { return fault })
		}
		for range 3 {
			r.call(context.Background(), "POST", "/r/x", "k", "same")
		}
		for _, s := range plain {
			s.SetFault(nil)
		}
		assert.Equal(t, r.call(context.Background(), "POST", "/r/x", "k", "same").status, 200, "fault %d", fault)
		assert.Assert(t, !r.state.HasCrashes(), "fault %d", fault)
	}
}

// Guards against crash records that remain after a server has completed the request.
func TestCompleteResponseClearsCrashRecord(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(8)
	for range 2 * poison.CrashesToBlock {
		failOnce(engines, platformtest.TruncatedResponse)
		broken := r.call(context.Background(), "POST", "/o/x", "k", "repeated content")
		assert.Assert(t, broken.err != nil || broken.status == 502, "%d", broken.status)
		assert.Equal(t, r.call(context.Background(), "POST", "/o/x", "k", "repeated content").status, 200)
	}
	assert.Assert(t, strings.Contains(r.log.String(), `"event":350`))
}

// Guards against a stream that looks complete because its server crashed between two events: without a
// length or chunks, the end of the connection marks the end of the stream. The stream is resumed, and
// the crash counts against the request instead of clearing it.
func TestCrashBetweenEventsIsNoEndOfAStream(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(4)
	for _, e := range engines {
		e.CloseDelimited = true
	}
	failOnce(engines, platformtest.CrashBetweenEvents)
	a := r.call(context.Background(), "POST", "/s/x", "k", "")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, fullStream(a.attempt))
	assert.Equal(t, len(runs(engines)), 2)
	assert.Assert(t, r.state.HasCrashes(), "the crash was not recorded")
}

// Close-delimited streams of servers that live are complete at the first attempt.
func TestCloseDelimitedStreamIsComplete(t *testing.T) {
	r := newRig(t)
	r.configure()
	engines, _ := r.servers(2)
	for _, e := range engines {
		e.CloseDelimited = true
	}
	for range 10 {
		a := r.call(context.Background(), "POST", "/s/x", "k", "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, fullStream(a.attempt))
	}
	assert.Equal(t, len(runs(engines)), 10)
	assert.Assert(t, !r.state.HasCrashes())
	accepted := engines[0].ConnectionsAccepted() + engines[1].ConnectionsAccepted()
	assert.Assert(t, accepted <= 12, "%d connections for 10 requests", accepted)
}
