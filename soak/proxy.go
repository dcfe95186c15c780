package main

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/test/loopback"
)

// mode is how a proxy treats connections.
type mode int

const (
	pass   mode = iota
	delay       // bytes arrive late
	reset       // connections are reset
	silent      // no byte passes in either direction
	oneWay      // answers are held back
)

// proxyDelay is how late bytes arrive in mode delay.
const proxyDelay = 60 * time.Millisecond

// proxy stands between the routers and one backend server, or one router and the store.
type proxy struct {
	target string

	mu      sync.Mutex
	ln      net.Listener
	closed  bool
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]*atomic.Bool // whether what they carry is lost, of those from routers
}

func newProxy(target string) (*proxy, error) {
	ln, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, changed: make(chan struct{}), conns: map[net.Conn]*atomic.Bool{}}
	go p.accept(ln)
	return p, nil
}

func (p *proxy) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ln.Addr().String()
}

// stopListening refuses new connections, as the address of a server does that has crashed.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
}

// listenAgain accepts connections again after stopListening.
func (p *proxy) listenAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close() // does nothing after stopListening
	if p.closed {
		return nil
	}
	ln, err := net.Listen("tcp4", p.ln.Addr().String())
	if err != nil {
		return err
	}
	p.ln = ln
	go p.accept(ln)
	return nil
}

// set changes the mode. Connections are reset at once in mode reset.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m != reset {
		return
	}
	for c := range p.conns {
		abort(c)
	}
}

// mute has all open connections lose what they carry from now on, without a word; new ones
// carry it.
func (p *proxy) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, muted := range p.conns {
		muted.Store(true)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // the close follows in any case
	}
	_ = c.Close()
}

func (p *proxy) close() {
	p.stopListening()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.set(reset)
}

func (p *proxy) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return // closed
		}
		go p.carry(c)
	}
}

// carry copies bytes between a router and the server.
func (p *proxy) carry(c net.Conn) {
	p.mu.Lock()
	refuse := p.mode == reset
	muted := new(atomic.Bool)
	p.conns[c] = muted
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	if refuse {
		abort(c)
		return
	}
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(c)
		return
	}
	server := &serverConn{TCPConn: s.(*net.TCPConn)}
	go p.copy(server, c, false, muted)
	p.copy(c, server, true, muted)
}

// serverConn is a connection to a server that one goroutine writes and another reads. A socket reports a reset
// once: if the write gets it, the read that follows sees an orderly end.
type serverConn struct {
	*net.TCPConn
	writing  sync.Mutex
	writeErr error // guarded by writing
}

// Write implements net.Conn.
func (s *serverConn) Write(b []byte) (int, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err := s.TCPConn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if no write has failed.
func (s *serverConn) Read(b []byte) (int, error) {
	n, err := s.TCPConn.Read(b)
	if err != io.EOF {
		return n, err
	}
	_ = s.SetWriteDeadline(time.Now()) // fails only if the connection is closed
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.writeErr != nil {
		return n, s.writeErr
	}
	return n, io.EOF
}

// copy copies one direction until either side ends, and then ends both.
func (p *proxy) copy(to, from net.Conn, answers bool, muted *atomic.Bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.hold(answers)
		if n > 0 && !muted.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF {
			_ = to.Close()
			_ = from.Close()
			return
		}
		if err != nil {
			abort(to)
			abort(from)
			return
		}
	}
}

// hold waits as the mode says.
func (p *proxy) hold(answers bool) {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == delay:
			time.Sleep(proxyDelay)
			return
		case m == silent, m == oneWay && answers:
			<-changed
		default:
			return
		}
	}
}
