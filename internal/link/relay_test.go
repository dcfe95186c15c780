package link

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes datagrams between one dialler and a target that may go away.
type relay struct {
	front, back *net.UDPConn
	mu          sync.Mutex
	target      *net.UDPAddr
	dialler     *net.UDPAddr
}

func newRelay(t *testing.T) *relay {
	open := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	r := &relay{front: open(), back: open()}
	go r.pass(r.front, r.back, true)
	go r.pass(r.back, r.front, false)
	return r
}

func (r *relay) addr() string { return r.front.LocalAddr().String() }

func (r *relay) to(addr net.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, _ = addr.(*net.UDPAddr)
}

func (r *relay) pass(in, out *net.UDPConn, forth bool) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		to := r.dialler
		if forth {
			r.dialler, to = from, r.target
		}
		cut := r.target == nil
		r.mu.Unlock()
		if !cut {
			out.WriteToUDP(buf[:n], to)
		}
	}
}
