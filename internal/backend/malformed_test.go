package backend

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/intake"
)

// Guards against a response that is passed on with a status that is none. Its request may have run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-00", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			srv := newServer(t, answering("HTTP/1.1 "+status+" Unknown\r\nWindscale-Request: req\r\nWindscale-Attempt: 2\r\nContent-Length: 2\r\n\r\nok"))
			_, failure := do(t, t.Context(), srv.call())
			assert.Assert(t, failure != nil)
			var invalid *intake.StatusError
			assert.Assert(t, errors.As(failure, &invalid), "%v", failure)
			assert.Equal(t, failure.Outcome, attempt.Unknown)
			assert.Equal(t, failure.Stage, StageHeader)
			assert.Equal(t, srv.conns.Load(), int64(1))
		})
	}
}
