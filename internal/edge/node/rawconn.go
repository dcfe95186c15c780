package node

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/peek"
)

// arrival is a connection that has been accepted, and that nothing else was spent on yet.
type arrival interface {
	front.Arrival
	io.Closer
	// Open makes it one that can be waited for. The arrival is not to be used any more; it is
	// closed if that fails, as when the process has no descriptor left.
	Open() (net.Conn, error)
}

// known is an arrival that the runtime has made a connection of already.
type known struct{ net.Conn }

func (k known) ReadArrived(b []byte) (int, error) { return peek.Arrived(k.Conn, b) }
func (k known) Open() (net.Conn, error)           { return k.Conn, nil }

// rawConn is an arrival that is no more than a descriptor. A connection of the runtime's costs
// nine system calls from accepting to closing it beside those that read and write;
// of the 75 us of a core that a refusal took on a flooded host, most were these.
type rawConn struct{ fd int }

// acceptRaw accepts a connection that waits to be; nil: none does. What makes accepting fail
// is left to who waits for the next one.
func acceptRaw(l syscall.RawConn) *rawConn {
	fd := -1
	var failed error
	// Control, unlike Read, is there for listeners.
	err := l.Control(func(listener uintptr) {
		fd, _, failed = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err != nil || failed != nil {
		return nil
	}
	return &rawConn{fd}
}

// ReadArrived implements arrival.
func (b *rawConn) ReadArrived(p []byte) (int, error) {
	n, err := syscall.Read(b.fd, p)
	return peek.Outcome(n, err)
}

// Write implements arrival. What is written is short, and fits into an empty buffer.
func (b *rawConn) Write(p []byte) (int, error) { return syscall.Write(b.fd, p) }

// Close implements arrival.
func (b *rawConn) Close() error { return syscall.Close(b.fd) }

// Open implements arrival.
func (b *rawConn) Open() (net.Conn, error) {
	f := os.NewFile(uintptr(b.fd), "caller")
	defer func() { _ = f.Close() }() // the connection has a descriptor of its own
	return net.FileConn(f)
}
