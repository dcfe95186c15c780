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

// event is one event of a stream.
type event struct {
	Raw  []byte // as received, with the empty line that ends it
	Data []byte // the data fields, joined by LF; nil: there was none
	ID   int64  // token position; -1: none
}

// decoder reads events. Memory is bounded by the longest event allowed.
type decoder struct {
	r *bufio.Reader
}

// newDecoder returns a decoder that reads from r.
func newDecoder(r io.Reader) *decoder {
	return &decoder{r: bufio.NewReaderSize(r, maxLine)}
}

// Next returns the next event that has data; comments and events without data
// are skipped. The error is io.EOF only between events; an event that is cut
// short is io.ErrUnexpectedEOF and is never returned.
func (d *decoder) Next() (event, error) {
	for {
		e, err := d.read()
		if err != nil {
			return event{}, err
		}
		if e.Data != nil {
			return e, nil
		}
	}
}

// read reads up to and including the next empty line.
func (d *decoder) read() (event, error) {
	e := event{ID: -1}
	for {
		line, err := d.line(len(e.Raw) > 0)
		if err != nil {
			return event{}, err
		}
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEvent {
			return event{}, ErrEvent
		}
		text := trimEnd(line)
		if len(text) == 0 {
			return e, nil
		}
		if err := e.field(text); err != nil {
			return event{}, err
		}
	}
}

// line returns the next line with its end. It is valid until the next call.
func (d *decoder) line(within bool) ([]byte, error) {
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
func (e *event) field(text []byte) error {
	if bytes.ContainsAny(text, "\r\x00") {
		return ErrLine
	}
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
func (e *event) position(value []byte) error {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || n < 0 || e.ID >= 0 || strconv.FormatInt(n, 10) != string(value) {
		return ErrEvent
	}
	e.ID = n
	return nil
}
