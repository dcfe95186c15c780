// Package dial opens TCP connections that detect a silent peer. A connection may go silent for
// good without a reset while new ones work; only an unanswered keep-alive probe or
// unacknowledged data reveals that.
package dial

import (
	"net"
	"syscall"
	"time"
)

const (
	// unackedTimeout is how long sent data, including probes, may stay unacknowledged before
	// the connection counts as dead. Data centres are a few milliseconds apart.
	unackedTimeout = 800 * time.Millisecond
	// keepAliveIdle and keepAliveInterval set when an idle connection is probed. The kernel
	// accepts whole seconds only.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer that gives up after timeout and whose connections detect a silent
// peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control:         setUnackedTimeout,
	}
}

// keepAlive probes idle connections.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// DetectSilence makes an accepted connection detect a silent peer.
func DetectSilence(c *net.TCPConn) error {
	if err := c.SetKeepAliveConfig(keepAlive); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUnackedTimeout("", "", raw)
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// setUnackedTimeout sets the time after which the kernel closes a connection whose data is not
// acknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
