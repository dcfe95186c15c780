package liveness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/windscale/windscale/internal/core/liveness"
)

// observeAll returns the verdict after probes that each follow the pause that the check asks for.
func observeAll(list ...liveness.Observation) liveness.Verdict {
	var check liveness.Check
	at := time.Duration(0)
	for _, o := range list {
		if v := check.Observe(o, at); v != liveness.Unknown {
			return v
		}
		at += check.Pause()
	}
	return liveness.Unknown
}

func TestVerdictOfObservations(t *testing.T) {
	const (
		accepted, rejected, refused = liveness.Accepted, liveness.Rejected, liveness.Refused
		noReply, connected          = liveness.NoReply, liveness.Connected
		unknown, alive, gone        = liveness.Unknown, liveness.Alive, liveness.Gone
	)
	for _, c := range []struct {
		name string
		list []liveness.Observation
		want liveness.Verdict
	}{
		{"running", []liveness.Observation{accepted}, alive},
		{"crashed", []liveness.Observation{refused}, gone},
		{"another connection stays open", []liveness.Observation{connected}, alive},
		{"nothing observed", nil, unknown},
		{"slow to accept", []liveness.Observation{noReply, noReply, accepted}, alive},
		{"unreachable", []liveness.Observation{noReply, noReply, noReply, noReply, noReply}, unknown},
		{"listener of a crashing process", []liveness.Observation{rejected, refused}, gone},
		{"a connection becomes free", []liveness.Observation{rejected, accepted}, alive},
		{"at its connection limit", []liveness.Observation{rejected, rejected, rejected, rejected}, alive},
		{"not yet known to be at its limit", []liveness.Observation{rejected, rejected, rejected}, unknown},
		{"unreachable, then crashed", []liveness.Observation{noReply, refused}, gone},
	} {
		assert.Equal(t, observeAll(c.list...), c.want, c.name)
	}
}

// Rejections within the time in which a crashing process closes its sockets prove nothing.
func TestRejectionsAtOnceProveNothing(t *testing.T) {
	var check liveness.Check
	for range 10 * liveness.MinRejections {
		assert.Equal(t, check.Observe(liveness.Rejected, time.Millisecond), liveness.Unknown)
	}
	assert.Equal(t, check.Observe(liveness.Refused, 2*time.Millisecond), liveness.Gone)
}

// Guards against a server that crashed while this host was suspended, and whose successor accepts a
// connection at the same address.
func TestNewConnectionProvesNothingLate(t *testing.T) {
	for o, want := range map[liveness.Observation]liveness.Verdict{
		liveness.Accepted: liveness.Unknown, liveness.Rejected: liveness.Unknown, liveness.NoReply: liveness.Unknown,
		liveness.Connected: liveness.Alive, liveness.Refused: liveness.Gone,
	} {
		check := liveness.Check{Late: true}
		assert.Equal(t, check.Observe(o, 0), want)
		assert.Equal(t, check.Undecidable(), o == liveness.Accepted || o == liveness.Rejected)
	}
}

// A verdict other than Unknown needs an observation of the server itself, and a refusal is never read
// as a sign of life.
func TestVerdictNeedsProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(rapid.SampledFrom([]liveness.Observation{
			liveness.Accepted, liveness.Rejected, liveness.Refused, liveness.NoReply, liveness.Connected,
		})).Draw(t, "observations")
		var check liveness.Check
		at, rejections := time.Duration(0), 0
		for _, o := range list {
			v := check.Observe(o, at)
			if o == liveness.Rejected {
				rejections++
			}
			switch o {
			case liveness.Refused:
				assert.Equal(t, v, liveness.Gone)
			case liveness.NoReply:
				assert.Equal(t, v, liveness.Unknown)
			case liveness.Rejected:
				assert.Assert(t, v == liveness.Unknown || v == liveness.Alive && rejections >= liveness.MinRejections)
			default:
				assert.Equal(t, v, liveness.Alive)
			}
			pause := check.Pause()
			assert.Equal(t, pause == 0, rejections == 1, "only the first rejection is followed by a probe at once")
			at += pause
		}
	})
}
