package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// maxSpool is how many bytes of a stream wait for a slow caller before the
// engine's stream is no longer read.
const maxSpool = 256 << 10

// CallerGone is the error of a caller that no longer takes its answer.
type CallerGone struct{ Err error }

// Error implements error.
func (g CallerGone) Error() string { return "caller is gone: " + g.Err.Error() }

// Unwrap returns the cause.
func (g CallerGone) Unwrap() error { return g.Err }

// callerStream writes a streamed answer from a goroutine of its own, so that a
// slow caller does not hold up the engine's slot while its buffer has room.
type callerStream struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	gone  context.CancelFunc // called when the caller can't be written to
	data  chan struct{}      // holds one notice that there is data, or the end
	space chan struct{}      // holds one notice that there is room
	done  chan struct{}      // closed when the writer has returned

	mu     sync.Mutex
	buf    []byte
	closed bool
	err    error
}

// newCallerStream starts the writer. stop or drain must follow.
func newCallerStream(w http.ResponseWriter, gone context.CancelFunc) *callerStream {
	c := &callerStream{
		w:     w,
		rc:    http.NewResponseController(w),
		gone:  gone,
		data:  make(chan struct{}, 1),
		space: make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	go c.run()
	return c
}

// put queues p. It waits while the buffer is full.
func (c *callerStream) put(ctx context.Context, p []byte) error {
	for {
		if ok, err := c.tryPut(p); ok || err != nil {
			return err
		}
		select {
		case <-c.space:
		case <-c.done:
		case <-ctx.Done():
			return CallerGone{ctx.Err()}
		}
	}
}

// tryPut queues p if there is room.
func (c *callerStream) tryPut(p []byte) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false, c.err
	}
	if len(c.buf) >= maxSpool {
		return false, nil
	}
	c.buf = append(c.buf, p...)
	notify(c.data)
	return true, nil
}

// drain waits until all has been written.
func (c *callerStream) drain() error {
	c.close()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// stop drops what is queued and waits for the writer. A write that hangs ends
// by its deadline.
func (c *callerStream) stop() {
	c.mu.Lock()
	c.buf = nil
	c.mu.Unlock()
	c.close()
	<-c.done
}

// close says that nothing more will be put.
func (c *callerStream) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	notify(c.data)
}

// run writes until the end or the first error.
func (c *callerStream) run() {
	defer close(c.done)
	defer func() { _ = c.rc.SetWriteDeadline(time.Time{}) }()
	for {
		p, closed := c.take()
		if len(p) == 0 {
			if closed {
				return
			}
			<-c.data
			continue
		}
		notify(c.space)
		if err := c.write(p); err != nil {
			c.fail(err)
			return
		}
	}
}

// take returns all that is queued.
func (c *callerStream) take() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.buf
	c.buf = nil
	return p, c.closed
}

// write sends p and flushes it, within the time of one write.
func (c *callerStream) write(p []byte) error {
	_ = c.rc.SetWriteDeadline(time.Now().Add(callerWriteTime))
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	return c.rc.Flush()
}

// fail notes that the caller is gone.
func (c *callerStream) fail(err error) {
	c.mu.Lock()
	c.err = CallerGone{err}
	c.buf = nil
	c.mu.Unlock()
	c.gone()
}

// notify leaves a notice unless one is there.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
