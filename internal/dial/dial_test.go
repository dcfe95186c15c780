package dial

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The kernel detects a silent connection by unacknowledged data, or by unanswered keep-alive
// probes if the connection is idle.
func TestDialerEnablesDeadPeerDetection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	c, err := Dialer(time.Second).Dial("tcp4", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	sockopt := func(level, option int) (value int) {
		assert.NilError(t, raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), level, option)
		}))
		assert.NilError(t, err)
		return value
	}
	assert.Equal(t, sockopt(syscall.IPPROTO_TCP, tcpUserTimeout), int(unackedTimeout.Milliseconds()))
	assert.Equal(t, sockopt(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), 1)
	assert.Equal(t, sockopt(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE), 1)
}
