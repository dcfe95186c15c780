// Package dial opens TCP connections that notice when the other side goes silent. A
// connection may go silent for good without a reset while new ones work: only an
// unanswered probe or unacknowledged bytes tell.
package dial

import (
	"net"
	"syscall"
	"time"
)

const (
	// unackedTimeout is how long sent bytes, probes among them, may stay
	// unacknowledged before the connection counts as dead: data centres are a few
	// milliseconds apart.
	unackedTimeout = 800 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are when a quiet connection is probed; the
	// system counts in whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer that gives up after timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUnackedTimeout,
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// setUnackedTimeout bounds how long a dead peer is waited for.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
