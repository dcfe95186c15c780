// Package peek looks at what has arrived on a connection without taking it, also
// while another goroutine waits to read from it.
package peek

import "syscall"

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
