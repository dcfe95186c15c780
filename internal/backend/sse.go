package backend

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// The bounds of an event stream.
const (
	maxLine  = 64 << 10
	maxEvent = 256 << 10
)

// Event is one event of a stream.
type Event struct {
	Raw   []byte // as received, with the empty line that ends it
	Data  []byte
	ID    int64 // token position; -1: none
	Lines int
}

// Decoder reads events. Memory is bounded by the longest event allowed.
type Decoder struct {
	r *bufio.Reader
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, maxLine)}
}

// Next returns the next event that has data; comments and events without data
// are skipped. The error is io.EOF only between events; an event that is cut
// short is io.ErrUnexpectedEOF and is never returned.
func (d *Decoder) Next() (Event, error) {
	for {
		e, err := d.event()
		if err != nil {
			return Event{}, err
		}
		if e.Data != nil {
			return e, nil
		}
	}
}

// event reads up to and including the next empty line.
func (d *Decoder) event() (Event, error) {
	e := Event{ID: -1}
	for {
		line, err := d.line(len(e.Raw) > 0)
		if err != nil {
			return Event{}, err
		}
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEvent {
			return Event{}, ErrEvent
		}
		text := trimEnd(line)
		if len(text) == 0 {
			return e, nil
		}
		if err := e.field(text); err != nil {
			return Event{}, err
		}
	}
}

// line returns the next line with its end. It is valid until the next call.
func (d *Decoder) line(within bool) ([]byte, error) {
	line, err := d.r.ReadSlice('\n')
	switch {
	case err == nil:
		return line, nil
	case err == bufio.ErrBufferFull:
		return nil, ErrLine
	case err == io.EOF && (within || len(line) > 0):
		return nil, io.ErrUnexpectedEOF
	default:
		return nil, err
	}
}

// trimEnd removes LF or CRLF.
func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// field takes one line of an event. A carriage return within a line would be
// a line's end to other readers of the stream, so it is malformed.
func (e *Event) field(text []byte) error {
	if bytes.ContainsAny(text, "\r\x00") {
		return ErrLine
	}
	e.Lines++
	name, value, _ := bytes.Cut(text, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		if e.Data == nil {
			e.Data = []byte{}
		}
	case "id":
		return e.position(value)
	}
	return nil
}

// position takes an event ID, which must be a token position in its shortest
// form and come once.
func (e *Event) position(value []byte) error {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || n < 0 || e.ID >= 0 || strconv.FormatInt(n, 10) != string(value) {
		return ErrEvent
	}
	e.ID = n
	return nil
}
