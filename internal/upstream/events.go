package upstream

import (
	"bufio"
	"bytes"
	"io"
)

// maxEvent bounds one event of a stream.
const maxEvent = 256 << 10

// eventBuffer is the read buffer of a stream.
const eventBuffer = 4 << 10

// Event is one whole event of a stream, as it was sent.
type Event struct {
	Raw []byte // with the empty line that ends it; valid until the next read
	ID  string // empty: none
}

// Events reads whole events out of an answer's body.
type Events struct {
	r   *bufio.Reader
	buf []byte
}

// NewEvents returns a reader of the events of r.
func NewEvents(r io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next event. io.EOF comes only between two events; an event
// that is cut short is io.ErrUnexpectedEOF and is not returned.
func (e *Events) Next() (Event, error) {
	e.buf = e.buf[:0]
	var ev Event
	lineStart := 0
	for {
		piece, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, piece...)
		if len(e.buf) > maxEvent {
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
