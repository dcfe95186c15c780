package front

import (
	"io"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/upstream"
)

// A server that took a new connection and ended it in order was running. One that is down resets it,
// and a connection that had been used may have been closed for being idle.
func TestOnlyANewConnectionThatEndsInOrderWasAccepted(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{&upstream.Error{Stage: upstream.StageSend, Sent: true, Err: io.EOF}, true},
		{&upstream.Error{Stage: upstream.StageSend, Sent: true, Reused: true, Err: io.EOF}, false},
		{&upstream.Error{Stage: upstream.StageSend, Sent: true, Err: syscall.ECONNRESET}, false},
		{io.EOF, false},
	} {
		assert.Equal(t, accepted(c.err), c.want, "%v", c.err)
	}
}
