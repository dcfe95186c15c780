package relay

import (
	"io"
	"sync"
)

// maxSpareOutput is the largest buffer that an outbox keeps for later.
const maxSpareOutput = 256 << 10

// outbox collects the frames of all streams of a tunnel. What is added while a write is in progress goes
// out with the next one.
type outbox struct {
	mu      sync.Mutex
	added   sync.Cond
	pending []byte
	closed  bool
}

func newOutbox() *outbox {
	o := &outbox{}
	o.added.L = &o.mu
	return o
}

// add appends a frame. It is dropped if the outbox is closed.
func (o *outbox) add(t FrameType, stream uint32, payload []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.pending = AppendFrame(o.pending, t, stream, payload)
	o.added.Signal()
}

// close makes writeTo return after it has written what was added.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.added.Signal()
}

// next waits for frames and returns them, or nothing after close. The buffer is kept for later frames.
func (o *outbox) next(buffer []byte) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.pending) == 0 && !o.closed {
		o.added.Wait()
	}
	frames := o.pending
	if cap(buffer) > maxSpareOutput {
		buffer = nil
	}
	o.pending = buffer[:0]
	return frames
}

// writeAll writes frames as they are added until the outbox is closed or a write fails.
func (o *outbox) writeAll(w io.Writer) error {
	var frames []byte
	for {
		if frames = o.next(frames); len(frames) == 0 {
			return nil
		}
		if _, err := w.Write(frames); err != nil {
			return err
		}
	}
}
