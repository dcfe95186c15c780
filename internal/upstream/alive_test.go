package upstream

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/liveness"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/test/loopback"
)

var server = routing.Identity{ID: "i"}

// probed is a listener of which a pool checks whether it is alive.
type probed struct {
	net.Listener
	accepted atomic.Int32
}

// listen accepts connections and hands each to serve, which may close it.
func listen(t *testing.T, serve func(c net.Conn, n int)) *probed {
	t.Helper()
	ln, err := loopback.Listen()
	assert.NilError(t, err)
	l := &probed{Listener: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			t.Cleanup(func() { _ = c.Close() })
			serve(c, int(l.accepted.Add(1)))
		}
	}()
	return l
}

func (l *probed) probe(maxConns int, leaving bool) CheckTarget {
	return CheckTarget{Server: server, Addr: l.Addr().String(), MaxConns: maxConns, Leaving: func() bool { return leaving }, Dialled: func() {}}
}

func keep(net.Conn, int) {}

// reset closes a connection as a server does that has all the connections that it allows.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// check checks the listener with a pool that has n connections in use.
func check(t *testing.T, timeout time.Duration, p CheckTarget, n int) (liveness.Verdict, *Pool) {
	t.Helper()
	pool := NewPool(time.Now)
	for range n {
		_, err := pool.open(context.Background(), server, p.Addr, 0)
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return pool.NewAliveCheck(p).Run(ctx), pool
}

func TestCheckKeepsItsConnection(t *testing.T) {
	l := listen(t, keep)
	v, pool := check(t, time.Second, l.probe(0, false), 0)
	assert.Equal(t, v, liveness.Alive)
	c, err := pool.get(context.Background(), server, l.Addr().String(), 0, true)
	assert.NilError(t, err)
	assert.Assert(t, c.reused)
	assert.Equal(t, pool.Dials(), int64(1))
}

// Guards against an idle connection that went silent and hides the crash of its server.
func TestIdleConnectionIsNoProof(t *testing.T) {
	l := listen(t, keep)
	p := l.probe(0, false)
	_, pool := check(t, time.Second, p, 0)
	assert.NilError(t, l.Close())
	assert.Equal(t, len(pool.byServer[server].idle), 1)
	assert.Equal(t, pool.NewAliveCheck(p).Run(context.Background()), liveness.Gone)
}

func TestRefusedConnectionMeansGone(t *testing.T) {
	l := listen(t, keep)
	assert.NilError(t, l.Close())
	for _, leaving := range []bool{false, true} {
		v, _ := check(t, time.Second, l.probe(0, leaving), 0)
		assert.Equal(t, v, liveness.Gone)
	}
}

func TestServerAtItsConnectionLimitIsAlive(t *testing.T) {
	l := listen(t, func(c net.Conn, _ int) { reset(c) })
	v, _ := check(t, time.Second, l.probe(0, false), 0)
	assert.Equal(t, v, liveness.Alive)
	probes := int(l.accepted.Load())
	assert.Assert(t, probes >= liveness.MinRejections && probes <= liveness.MinRejections+1, "%d", probes)
}

// Guards against a server that crashes just after its listener accepted the probe, and is started again
// some milliseconds later: the first rejection has to be followed by another probe at once.
func TestServerThatIsStartedAgainAtOnceIsGone(t *testing.T) {
	ln, err := loopback.Listen()
	assert.NilError(t, err)
	restarted := make(chan net.Listener, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			restarted <- nil
			return
		}
		_ = ln.Close()
		reset(c)
		time.Sleep(settleTime)
		again, err := net.Listen("tcp4", ln.Addr().String())
		assert.Check(t, err)
		restarted <- again
	}()
	v, _ := check(t, time.Second, CheckTarget{Server: server, Addr: ln.Addr().String(), Leaving: func() bool { return false }, Dialled: func() {}}, 0)
	assert.Equal(t, v, liveness.Gone)
	if again := <-restarted; again != nil {
		assert.NilError(t, again.Close())
	}
}

// Guards against the crash of a server with a connection of which the end got lost on the way, while its
// listener still accepts a last connection.
func TestOlderConnectionDoesNotHideACrash(t *testing.T) {
	var l *probed
	l = listen(t, func(c net.Conn, n int) {
		if n == 2 {
			_ = l.Close()
			reset(c)
		}
	})
	v, _ := check(t, time.Second, l.probe(0, false), 1)
	assert.Equal(t, v, liveness.Gone)
}

// The kernel may accept a connection just before it closes the listener of a process that crashes.
func TestListenerOfACrashingServerProvesNothing(t *testing.T) {
	var l *probed
	l = listen(t, func(c net.Conn, _ int) {
		_ = l.Close()
		reset(c)
	})
	v, _ := check(t, time.Second, l.probe(0, false), 0)
	assert.Equal(t, v, liveness.Gone)
}

func TestCheckAtTheConnectionLimitOfTheRouter(t *testing.T) {
	l := listen(t, keep)
	v, pool := check(t, time.Minute, l.probe(2, false), 2)
	assert.Equal(t, v, liveness.Alive)
	assert.Equal(t, pool.Dials(), int64(2))

	v, _ = check(t, witnessAge/2, l.probe(2, false), 2)
	assert.Equal(t, v, liveness.Unknown, "the end of the connections may still be on its way")
}

// The connections in use end with their server, and a probe finds that it is gone.
func TestCrashIsFoundAtTheConnectionLimitOfTheRouter(t *testing.T) {
	accepted := make(chan net.Conn, 2)
	l := listen(t, func(c net.Conn, _ int) { accepted <- c })
	p := l.probe(2, false)
	pool := NewPool(time.Now)
	var inUse []*conn
	for range 2 {
		c, err := pool.open(context.Background(), server, p.Addr, 0)
		assert.NilError(t, err)
		inUse = append(inUse, c)
	}
	atServer := []net.Conn{<-accepted, <-accepted}
	assert.NilError(t, l.Close())
	for _, c := range atServer {
		assert.NilError(t, c.Close())
	}
	time.AfterFunc(30*time.Millisecond, func() {
		for _, c := range inUse {
			pool.discard(server, c)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.Equal(t, pool.NewAliveCheck(p).Run(ctx), liveness.Gone)
}

// A server whose queue of connections is full gets more time, and one that stays unreachable proves
// nothing.
func TestServerThatDoesNotAcceptIsUnknown(t *testing.T) {
	addr, acceptAll := listenWithoutQueue(t)
	p := CheckTarget{Server: server, Addr: addr, Leaving: func() bool { return false }, Dialled: func() {}}
	v, pool := check(t, 600*time.Millisecond, p, 0)
	assert.Equal(t, v, liveness.Unknown)
	time.AfterFunc(300*time.Millisecond, acceptAll)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.Equal(t, pool.NewAliveCheck(p).Run(ctx), liveness.Alive)
}

// Once a new process may have the server's address, only an older connection is a proof.
func TestLateCheckNeedsAnOlderConnection(t *testing.T) {
	l := listen(t, keep)
	p := l.probe(0, false)
	p.Late = true
	v, _ := check(t, time.Second, p, 0)
	assert.Equal(t, v, liveness.Unknown)
	v, _ = check(t, time.Second, p, 1)
	assert.Equal(t, v, liveness.Alive)
	assert.NilError(t, l.Close())
	v, _ = check(t, time.Second, p, 0)
	assert.Equal(t, v, liveness.Gone)
}

// listenWithoutQueue returns an address whose kernel drops new connections until acceptAll is called.
func listenWithoutQueue(t *testing.T) (addr string, acceptAll func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	addr, err = loopback.ReserveAddr()
	assert.NilError(t, err)
	at := netip.MustParseAddrPort(addr)
	// As net.Listen does: connections of earlier users of the port may be waiting for their end.
	assert.NilError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}))
	assert.NilError(t, syscall.Listen(fd, 0))
	for {
		c, err := net.DialTimeout("tcp4", addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	f := os.NewFile(uintptr(fd), addr)
	ln, err := net.FileListener(f)
	assert.NilError(t, err)
	assert.NilError(t, f.Close())
	t.Cleanup(func() { _ = ln.Close() })
	return addr, func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			t.Cleanup(func() { _ = c.Close() })
		}
	}
}

// A request that is sent while the connection settles uses it, and its response is a sign of life.
func TestRequestUsesTheConnectionOfTheCheck(t *testing.T) {
	l := listen(t, func(c net.Conn, _ int) {
		go func() {
			if _, err := c.Read(make([]byte, 1)); err == nil {
				_, _ = c.Write([]byte("x"))
			}
		}()
	})
	pool := NewPool(time.Now)
	p := l.probe(1, false)
	p.Dialled = func() {
		c, err := pool.get(context.Background(), server, p.Addr, 1, true)
		assert.Check(t, err)
		_, err = c.Write([]byte("x"))
		assert.Check(t, err)
	}
	assert.Equal(t, pool.NewAliveCheck(p).Run(context.Background()), liveness.Alive)
	assert.Equal(t, pool.Dials(), int64(1))
}
