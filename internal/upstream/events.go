package upstream

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/windscale/windscale/internal/bounded"
	"github.com/windscale/windscale/internal/core/intake"
)

// maxEventSize bounds the size of one event of a stream.
const maxEventSize = 256 << 10

// initialEventSize is the size of the buffer for an event, which grows by powers of two.
const initialEventSize = 512

// eventBufferSize is the size of the read buffer of a stream.
const eventBufferSize = 4 << 10

// Event is one complete event of a stream, exactly as sent.
type Event struct {
	Raw []byte // with the empty line that ends it; valid until the next read
	ID  string // empty if the event has none
}

// EventReader reads complete events from the body of a response. The caller must call Release.
type EventReader struct {
	r        *bufio.Reader
	source   pacedReader
	buf      []byte
	reserved bounded.Reservation // for a buf of more than bounded.FreeSize
}

// Events returns a reader of the events in the body.
func (r *Response) Events() *EventReader {
	return newEventReader(r.Body, r.exchange.pool.Memory, r.exchange.pool.now)
}

// newEventReader returns an EventReader that reads from r.
func newEventReader(r io.Reader, memory *bounded.Budget, now func() time.Time) *EventReader {
	e := &EventReader{source: pacedReader{Reader: r, now: now}, reserved: bounded.Reservation{Budget: memory}}
	e.r = bufio.NewReaderSize(&e.source, eventBufferSize)
	return e
}

// Release gives the memory of a long event back. The latest event becomes invalid.
func (e *EventReader) Release() {
	e.buf = nil
	e.reserved.Release()
}

// Next returns the next event. It returns io.EOF only between two events; for an event that is
// cut short it returns io.ErrUnexpectedEOF, and a *intake.LimitError for one that is too long or takes
// too long to arrive.
func (e *EventReader) Next() (Event, error) {
	if cap(e.buf) > bounded.FreeSize {
		e.Release()
	}
	e.buf = e.buf[:0]
	e.source.restart()
	var ev Event
	lineStart := 0
	for {
		chunk, err := e.r.ReadSlice('\n')
		if err := e.append(chunk); err != nil {
			return Event{}, err
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if err == io.EOF && len(e.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(e.buf[lineStart:], "\r\n")
		if len(line) == 0 {
			ev.Raw = e.buf
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		lineStart = len(e.buf)
	}
}

// append adds a chunk to the event.
func (e *EventReader) append(chunk []byte) error {
	size := len(e.buf) + len(chunk)
	if size > maxEventSize {
		return &intake.LimitError{Bound: intake.BoundEvent, Limit: maxEventSize}
	}
	if size > cap(e.buf) {
		if err := e.grow(size); err != nil {
			return err
		}
	}
	e.buf = append(e.buf, chunk...)
	return nil
}

// grow makes room for an event of size bytes.
func (e *EventReader) grow(size int) error {
	room := max(2*cap(e.buf), initialEventSize)
	for room < size {
		room *= 2
	}
	if room > bounded.FreeSize && !e.reserved.Resize(int64(room)) {
		return &bounded.MemoryError{}
	}
	e.buf = append(make([]byte, 0, room), e.buf...)
	return nil
}

// pacedReader bounds how long a message takes to arrive.
type pacedReader struct {
	io.Reader
	now   func() time.Time
	pace  intake.Pace
	reads int // since the message began
}

// restart begins the next message.
func (p *pacedReader) restart() { p.pace, p.reads = intake.Pace{}, 0 }

// Read implements io.Reader. The time of the first read is not needed.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if p.reads++; n == 0 || p.reads == 1 {
		return n, err
	}
	if slow := p.pace.Read(p.now()); slow != nil {
		return n, slow
	}
	return n, err
}
