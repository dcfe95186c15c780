// Package peek looks at what has arrived on a connection without taking it, also
// while another goroutine waits to read from it.
package peek

import (
	"io"
	"net"
	"syscall"
)

// Found is what has arrived.
type Found int

// What may have arrived.
const (
	Nothing Found = iota // the connection is open, and nothing is there to be read
	Bytes                // bytes are there to be read
	Ended                // the other side has closed or reset the connection, or it is closed here
)

// At looks at the connection. It costs one system call.
func At(c syscall.Conn) Found {
	raw, err := c.SyscallConn()
	if err != nil {
		return Ended
	}
	var n int
	var failed error
	var one [1]byte
	// Control, unlike Read, does not wait for whoever reads from the connection.
	err = raw.Control(func(fd uintptr) {
		n, _, failed = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Ended
	case n > 0:
		return Bytes
	case failed == syscall.EAGAIN || failed == syscall.EINTR:
		return Nothing
	}
	return Ended
}

// Reader is a connection that can be read without a wait.
type Reader interface {
	// ReadArrived reads what has arrived; nothing is no error.
	ReadArrived(b []byte) (int, error)
}

// Arrived reads what has arrived on the connection, without a wait; nothing is no error. It
// costs one system call.
func Arrived(c net.Conn, b []byte) (n int, err error) {
	switch c := c.(type) {
	case Reader:
		return c.ReadArrived(b)
	case syscall.Conn:
		return arrived(c, b)
	}
	return 0, nil // it can't be known: whoever reads from it will wait
}

// arrived reads from the connection's descriptor.
func arrived(c syscall.Conn, b []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		n, failed = syscall.Read(int(fd), b)
		return true // don't wait
	})
	if err != nil {
		return 0, err
	}
	return Outcome(n, failed)
}

// Outcome is what a read without a wait has come to: nothing there is no error, and the
// end of what comes is io.EOF.
func Outcome(n int, err error) (int, error) {
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
