// Package peek inspects connections without blocking: what has arrived on one can be checked
// without consuming it, even while another goroutine is blocked reading from it.
package peek

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as seen by its reader.
type State int

// The states of a connection.
const (
	Open     State = iota // open, with no data to read
	Readable              // data is available
	Closed                // closed or reset by the other side, or closed locally
)

// Check returns the state of the connection. It costs one system call.
func Check(c syscall.Conn) State {
	state, _ := CheckError(c)
	return state
}

// CheckError is Check that also returns the error with which the connection broke, if this call is the one
// to which it is reported: to later reads the connection looks closed in order.
func CheckError(c syscall.Conn) (State, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return Closed, nil
	}
	var n int
	var recvErr error
	var buf [1]byte
	// Control, unlike Read, does not wait for a goroutine that is blocked reading.
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Closed, nil // locally
	case n > 0:
		return Readable, nil
	case recvErr == syscall.EAGAIN || recvErr == syscall.EINTR:
		return Open, nil
	}
	return Closed, recvErr
}

// Undelivered returns how many bytes that were written to the connection its other side has not acknowledged, 0
// if the system can't tell. The error is that with which the connection broke, if this call is the one to which
// it is reported.
func Undelivered(c syscall.Conn) (n int, broken error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, nil // closed locally
	}
	err = raw.Control(func(fd uintptr) {
		errno, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && errno != 0 {
			broken = syscall.Errno(errno)
			return
		}
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0, nil // closed locally
	}
	return n, broken
}

// Reader is a connection that can be read without blocking.
type Reader interface {
	// ReadAvailable reads what has arrived. It returns 0 and no error if there is nothing.
	ReadAvailable(b []byte) (int, error)
}

// ReadAvailable reads what has arrived on the connection without blocking. It returns 0 and no
// error if there is nothing. It costs one system call.
func ReadAvailable(c net.Conn, b []byte) (n int, err error) {
	switch c := c.(type) {
	case Reader:
		return c.ReadAvailable(b)
	case syscall.Conn:
		return readAvailable(c, b)
	}
	return 0, nil // unknown: a later blocking read will tell
}

// readAvailable reads from the connection's descriptor.
func readAvailable(c syscall.Conn, b []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b)
		return true // don't wait
	})
	if err != nil {
		return 0, err
	}
	return ReadResult(n, readErr)
}

// ReadResult converts the result of a non-blocking read system call: no available data is not
// an error, and the end of the stream is io.EOF.
func ReadResult(n int, err error) (int, error) {
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return 0, nil
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
