package front

import (
	"io"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/upstream"
)

// A server that accepted a new connection and closed it in order was running. A server that is down
// resets it, and a reused connection may have been closed because it was idle.
func TestAcceptedThenClosedNeedsNewConnectionAndEOF(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{&upstream.Error{Stage: upstream.StageSend, Sent: true, Err: io.EOF}, true},
		{&upstream.Error{Stage: upstream.StageSend, Sent: true, Reused: true, Err: io.EOF}, false},
		{&upstream.Error{Stage: upstream.StageSend, Sent: true, Err: syscall.ECONNRESET}, false},
		{io.EOF, false},
	} {
		assert.Equal(t, acceptedThenClosed(c.err), c.want, "%v", c.err)
	}
}
