package main

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// link is the way between all machines and one server: a proxy that can be cut both ways. What a kernel
// has sent meanwhile it sends again after the cut, also if its process has ended.
type link struct {
	fd   int
	addr string
	dest string

	mu      sync.Mutex
	cut     atomic.Bool
	fillers []int
	conns   map[net.Conn]bool
	closed  bool
}

const usualBacklog = 128

// newLink listens on a free loopback port and forwards to dest.
func newLink(dest string) (*link, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, usualBacklog); err != nil {
		return nil, err
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	in := sa.(*syscall.SockaddrInet4)
	l := &link{fd: fd, dest: dest, conns: map[net.Conn]bool{}}
	l.addr = (&net.TCPAddr{IP: in.Addr[:], Port: in.Port}).String()
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	go l.accept()
	return l, nil
}

// accept accepts connections while the way is open.
func (l *link) accept() {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return
		}
		fd := -1
		if !l.cut.Load() {
			var err error
			if fd, _, err = syscall.Accept4(l.fd, syscall.SOCK_CLOEXEC); err != nil {
				fd = -1
			}
		}
		l.mu.Unlock()
		if fd < 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		f := os.NewFile(uintptr(fd), "link")
		c, err := net.FileConn(f)
		_ = f.Close()
		if err == nil {
			go l.forward(c.(*net.TCPConn))
		}
	}
}

// forward copies both ways. Bytes and ends are held while the way is cut.
func (l *link) forward(c *net.TCPConn) {
	raw, err := net.Dial("tcp4", l.dest)
	if err != nil {
		_ = c.SetLinger(0) // nothing listens: reset, as a host does whose server is down
		_ = c.Close()
		return
	}
	s := raw.(*net.TCPConn)
	go func() {
		buf := make([]byte, 32<<10)
		for {
			n, err := c.Read(buf)
			l.awaitOpen()
			if n > 0 {
				if _, err := s.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				_ = s.Close()
				return
			}
		}
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := s.Read(buf)
		l.awaitOpen()
		if n > 0 {
			if _, err := c.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break // the end of what the server sends is passed on too
		}
	}
	_ = c.CloseWrite()
	_ = s.Close()
	time.Sleep(time.Second)
	_ = c.Close()
}

// awaitOpen waits for the end of a cut, and then for the next time at which the bytes are sent again.
func (l *link) awaitOpen() {
	if !l.cut.Load() {
		return
	}
	for l.cut.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(resendDelay)
}

// resendDelay is how long after a cut what was lost is sent again.
const resendDelay = 60 * time.Millisecond

// lose cuts the way silently. Connections are not opened: the kernel drops their first packets because
// the queue of new connections is full.
func (l *link) lose() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut.Store(true)
	if err := syscall.Listen(l.fd, 0); err != nil {
		return err
	}
	sa, err := syscall.Getsockname(l.fd)
	if err != nil {
		return err
	}
	for range 4 {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		_ = syscall.Connect(fd, sa) // in progress
		l.fillers = append(l.fillers, fd)
	}
	return nil
}

// heal opens the way again.
func (l *link) heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fd := range l.fillers {
		_ = syscall.Close(fd)
	}
	l.fillers = nil
	l.cut.Store(false)
	return syscall.Listen(l.fd, usualBacklog)
}
