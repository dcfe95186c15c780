package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/liveness"
)

// idle returns how many idle connections to the server a pool has.
func (p *Pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byServer[server]; s != nil {
		return len(s.idle)
	}
	return 0
}

// Guards against a request that must not run twice and is lost although it was never read: a server that
// has all its connections resets a new one. The request is sent to another server if it was not sent yet.
func TestRejectedConnectionIsNoticedBeforeTheRequestIsSent(t *testing.T) {
	connected, rejected := make(chan struct{}), make(chan struct{})
	l := listen(t, func(c net.Conn, _ int) {
		<-connected
		reset(c)
		rejected <- struct{}{}
	})
	pool := NewPool(time.Now)
	target := call(l.Addr().String())
	target.AtMostOnce = true
	target.Accepts = func() bool { connected <- struct{}{}; <-rejected; return true }
	_, err := pool.Do(context.Background(), target)
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Stage, StageDial)
	assert.Equal(t, err.Err, ErrRejected)
	assert.Assert(t, !err.Sent)
	assert.Assert(t, pool.rejects(server))
}

// A connection that the server closes ends the wait at once, one that stays open is used. Bytes that come
// before the request belong to none.
func TestWaitForRejection(t *testing.T) {
	const forever = time.Minute
	for _, c := range []struct {
		name     string
		serve    func(net.Conn)
		wait     time.Duration
		rejected bool
	}{
		{"reset", func(c net.Conn) { time.Sleep(10 * time.Millisecond); reset(c) }, forever, true},
		{"closed", func(c net.Conn) { _ = c.Close() }, forever, true},
		{"bytes", func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK") }, forever, true},
		{"open", func(net.Conn) {}, time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t, func(conn net.Conn, _ int) { c.serve(conn) })
			opened, err := NewPool(time.Now).open(context.Background(), server, l.Addr().String(), 0)
			assert.NilError(t, err)
			assert.Equal(t, opened.rejected(c.wait), c.rejected)
		})
	}
}

// A request that may be repeated waits only at a server that has rejected a connection lately, and none
// waits on a connection that was used before.
func TestWhenARequestAwaitsRejection(t *testing.T) {
	l := listen(t, keep)
	pool := NewPool(time.Now)
	c, err := pool.open(context.Background(), server, l.Addr().String(), 0)
	assert.NilError(t, err)
	once, often := Call{Server: server, AtMostOnce: true}, Call{Server: server}
	assert.Assert(t, pool.acceptWaitOf(once, c) > 0 && pool.acceptWaitOf(once, c) <= acceptWait)
	assert.Equal(t, pool.acceptWaitOf(often, c), time.Duration(0))
	pool.noteRejection(server)
	assert.Equal(t, pool.acceptWaitOf(once, c), acceptWait)
	assert.Equal(t, pool.acceptWaitOf(often, c), acceptWait)
	c.reused = true
	assert.Equal(t, pool.acceptWaitOf(once, c), time.Duration(0))
}

// Guards against idle connections of one router that keep the others from a server that accepts few.
func TestIdleConnectionsAreGivenUp(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(pool *Pool, c *conn)
		limit time.Duration
	}{
		{"of a probe", func(pool *Pool, c *conn) { pool.beginProbe(server, c); pool.endProbe(server, c) }, probeIdleLimit},
		{"of a probe, at a server that rejects", func(pool *Pool, c *conn) {
			pool.beginProbe(server, c)
			pool.noteRejection(server)
			pool.endProbe(server, c)
		}, 0},
		{"when the server rejects", func(pool *Pool, c *conn) { pool.putIdle(server, c, 0); pool.noteRejection(server) }, rejectedIdleLimit},
		{"at a server that rejects", func(pool *Pool, c *conn) { pool.noteRejection(server); pool.putIdle(server, c, 0) }, rejectedIdleLimit},
		{"at a server that has not rejected for long", func(pool *Pool, c *conn) {
			pool.noteRejection(server)
			pool.byServer[server].rejectedAt = time.Now().Add(-rejectionMemory)
			pool.putIdle(server, c, 0)
		}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t, keep)
			pool := NewPool(time.Now)
			opened, err := pool.open(context.Background(), server, l.Addr().String(), 0)
			assert.NilError(t, err)
			c.after(pool, opened)
			if c.limit < 0 {
				time.Sleep(2 * probeIdleLimit)
				assert.Equal(t, pool.idleCount(), 1)
				return
			}
			begin := time.Now()
			for pool.idleCount() > 0 {
				assert.Assert(t, time.Since(begin) < 10*time.Second, "kept")
				time.Sleep(time.Millisecond)
			}
			assert.Assert(t, time.Since(begin) >= c.limit-rejectedIdleLimit/2)
		})
	}
}

// A probe that is rejected tells that the server rejects. One whose connection a request uses, with a
// response that ends it at once, doesn't.
func TestProbeTellsOfRejections(t *testing.T) {
	l := listen(t, func(c net.Conn, _ int) { reset(c) })
	_, pool := check(t, time.Second, l.probe(0, false), 0)
	assert.Assert(t, pool.rejects(server))

	l = listen(t, func(c net.Conn, _ int) {
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nends with its connection")
				_ = c.Close()
			}
		}()
	})
	pool = NewPool(time.Now)
	checked := make(chan liveness.Verdict)
	target := l.probe(0, false)
	dialled := make(chan struct{})
	target.Dialled = func() { close(dialled) }
	go func() { checked <- pool.NewAliveCheck(target).Run(context.Background()) }()
	<-dialled
	resp, err := pool.Do(context.Background(), call(l.Addr().String()))
	assert.Assert(t, err == nil, "%v", err)
	_, readErr := io.ReadAll(resp.Body)
	assert.NilError(t, readErr)
	resp.Finish()
	assert.Equal(t, <-checked, liveness.Alive)
	assert.Assert(t, !pool.rejects(server))
}
