package node

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/pressure"
)

func never() bool { return false }

// admitAll rejects nothing.
func admitAll(front.Arrival, bool) ([]byte, front.Verdict) { return nil, front.Admitted }

// Guards against a flood that takes all descriptors and the memory of a host (seen with 112
// MB): a connection beyond the bound is closed without a byte, and closing another one makes
// room.
func TestConnectionBeyondLimitIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &connLimiter{Listener: ln, maxOpen: 1, shed: func(c net.Conn) { _ = c.Close() }, reject: admitAll, refusing: never, onAdmitted: func() {}, expectedWait: func() time.Duration { return 0 }}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	dial()
	first := <-accepted
	_, err = dial().Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, l.closed.Load(), int64(1))
	assert.Assert(t, l.full())
	assert.NilError(t, first.Close())
	_ = first.Close() // a second close is not counted
	dial()
	<-accepted
	assert.Equal(t, l.open.Load(), int64(1))
}

// While there is room to answer, a request on a connection beyond the bound is refused, and so
// is any request on a new connection to a saturated host.
func TestRequestBeyondLimitIsRefused(t *testing.T) {
	for name, l := range map[string]*connLimiter{
		"router is full":    {refusing: never, onAdmitted: func() {}, expectedWait: func() time.Duration { return 0 }},
		"host is saturated": {maxOpen: 10, onAdmitted: func() {}, refusing: func() bool { return true }, expectedWait: func() time.Duration { return pressure.Saturated }},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			shed := make(chan net.Conn, 1)
			l.Listener = ln
			l.reject = admitAll
			l.shed = func(c net.Conn) { shed <- c }
			l.maxShedding = 1
			accepted := make(chan struct{})
			go func() {
				defer close(accepted)
				_, _ = l.Accept() // returns when the listener is closed
			}()
			c, err := net.Dial("tcp4", ln.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			select {
			case c := <-shed:
				_ = c.Close()
			case <-accepted:
				t.Fatal("the connection was accepted")
			}
			assert.Equal(t, l.refused.Load(), int64(1))
			assert.Equal(t, l.closed.Load(), int64(0))
		})
	}
}

// unopenableConn is an accepted connection that fails to open.
type unopenableConn struct {
	acceptedConn
	err error
}

func (u unopenableConn) Open() (net.Conn, error) { return nil, u.err }

// A connection that can't be opened, since the process has no descriptor left, is reported and
// does not count as open.
func TestConnectionThatFailsToOpenIsReported(t *testing.T) {
	var reported error
	l := &connLimiter{maxOpen: 1, reject: admitAll, refusing: never, onOpenFailed: func(err error) { reported = err }}
	assert.Assert(t, l.admit(unopenableConn{err: syscall.EMFILE}) == nil)
	assert.ErrorIs(t, reported, syscall.EMFILE)
	assert.Equal(t, l.open.Load(), int64(0))
	assert.Equal(t, l.closed.Load(), int64(1))
}
