package upstream

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventSize bounds the size of one event of a stream.
const maxEventSize = 256 << 10

// eventBufferSize is the size of the read buffer of a stream.
const eventBufferSize = 4 << 10

// Event is one complete event of a stream, exactly as sent.
type Event struct {
	Raw []byte // with the empty line that ends it; valid until the next read
	ID  string // empty if the event has none
}

// EventReader reads complete events from the body of a response.
type EventReader struct {
	r   *bufio.Reader
	buf []byte
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBufferSize)}
}

// Next returns the next event. It returns io.EOF only between two events; for an event that is
// cut short it returns io.ErrUnexpectedEOF.
func (e *EventReader) Next() (Event, error) {
	e.buf = e.buf[:0]
	var ev Event
	lineStart := 0
	for {
		chunk, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, chunk...)
		if len(e.buf) > maxEventSize {
			return Event{}, ErrTooLarge
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
