package backend

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Only a server that takes no connection is told as away, not one that this host
// could not dial.
func TestOnlyTheServersSilenceMakesItUnreachable(t *testing.T) {
	dial := func(call string, errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
	}
	for _, c := range []struct {
		err  error
		want bool
	}{
		{dial("connect", syscall.ECONNREFUSED), true},
		{dial("connect", syscall.EHOSTUNREACH), true},
		{dial("connect", syscall.ETIMEDOUT), true},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, true},
		{dial("socket", syscall.EMFILE), false},
		{dial("socket", syscall.ENOBUFS), false},
		{dial("connect", syscall.EADDRNOTAVAIL), false},
		{&net.OpError{Op: "dial", Err: &net.AddrError{Err: "missing port"}}, false},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, false},
		{context.Canceled, false},
	} {
		assert.Equal(t, unreachable(c.err), c.want, "%v", c.err)
	}
}
