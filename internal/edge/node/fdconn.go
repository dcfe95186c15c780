package node

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/peek"
)

// acceptedConn is a connection that has been accepted and on which nothing else has been spent
// yet.
type acceptedConn interface {
	front.Arrival
	io.Closer
	// Open converts it to a net.Conn that supports blocking reads. The acceptedConn must not
	// be used afterwards; it is closed if Open fails, for example because the process has no
	// descriptor left.
	Open() (net.Conn, error)
}

// runtimeConn is an acceptedConn that the Go runtime has already made a net.Conn of.
type runtimeConn struct{ net.Conn }

func (c runtimeConn) ReadAvailable(b []byte) (int, error) { return peek.ReadAvailable(c.Conn, b) }
func (c runtimeConn) Open() (net.Conn, error)             { return c.Conn, nil }

// fdConn is an acceptedConn that consists of a descriptor only. A net.Conn costs nine system
// calls from accept to close, besides reads and writes; they made up most of the 75 us of a
// core that a refusal took on a flooded host.
type fdConn struct{ fd int }

// acceptNonBlocking accepts a connection from the listener's queue; nil if there is none. After an
// error the next blocking Accept reports it too, if it lasts.
func acceptNonBlocking(l syscall.RawConn) (*fdConn, error) {
	fd := -1
	var acceptErr error
	// Control, unlike Read, is supported for listeners.
	err := l.Control(func(listener uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	switch {
	case err != nil:
		return nil, err
	case acceptErr == syscall.EAGAIN || acceptErr == syscall.EINTR || acceptErr == syscall.ECONNABORTED:
		return nil, nil
	case acceptErr != nil:
		return nil, acceptErr
	}
	return &fdConn{fd}, nil
}

// ReadAvailable implements acceptedConn.
func (c *fdConn) ReadAvailable(p []byte) (int, error) {
	n, err := syscall.Read(c.fd, p)
	return peek.ReadResult(n, err)
}

// Write implements acceptedConn. Answers are short and fit into an empty send buffer.
func (c *fdConn) Write(p []byte) (int, error) { return syscall.Write(c.fd, p) }

// Close implements acceptedConn.
func (c *fdConn) Close() error { return syscall.Close(c.fd) }

// Open implements acceptedConn.
func (c *fdConn) Open() (net.Conn, error) {
	f := os.NewFile(uintptr(c.fd), "caller")
	defer func() { _ = f.Close() }() // FileConn duplicates the descriptor
	return net.FileConn(f)
}
