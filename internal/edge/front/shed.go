package front

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// shedRead bounds the time in which the request of a connection that is refused has
	// to arrive, and shedDrain the time for which the rest of its body is read after
	// the answer: a connection that is closed with unread bytes is reset, and its caller
	// loses the answer.
	shedRead  = 500 * time.Millisecond
	shedDrain = 300 * time.Millisecond
	// shedBuffer holds a request's header.
	shedBuffer = 4 << 10
	// shedBody is how much of a body is read over.
	shedBody = 256 << 10
)

// Shed refuses the one request of a connection that this host has no room for, without
// reading its body, and closes the connection. It costs a tenth of a request that is
// served only to be refused.
func (h *Handler) Shed(c net.Conn) {
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(shedRead)); err != nil {
		return // the connection is gone
	}
	in := bufio.NewReaderSize(c, shedBuffer)
	r, err := http.ReadRequest(in)
	if err != nil {
		return // nothing was read that could be answered
	}
	q := &request{h: h, r: r, ask: h.Headers.ParseRequest(r.Header), begin: h.Now()}
	refusal := q.withoutRoom()
	q.note(refusal)
	if err := q.writeRefusal(bufio.NewWriterSize(c, shedBuffer), refusal); err != nil {
		return // the caller has left
	}
	drain(c, in)
}

// withoutRoom refuses a request whose connection this host has no room for. It counts as asked
// for by its customer.
func (q *request) withoutRoom() *Refusal {
	if q.find() == nil {
		q.h.State.RecordHostOverload(q.need())
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "too many connections here", Back: comeBack}
}

// writeRefusal writes a refusal that ends its connection.
func (q *request) writeRefusal(out *bufio.Writer, f *Refusal) error {
	header := http.Header{}
	q.refusalHeader(header, f)
	header.Set("Content-Length", "0")
	header.Set("Connection", "close")
	if _, err := fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", f.Status, http.StatusText(f.Status)); err != nil {
		return err
	}
	if err := header.Write(out); err != nil {
		return err
	}
	if _, err := out.WriteString("\r\n"); err != nil {
		return err
	}
	return out.Flush()
}

// drain reads what the caller still sends until it has read the answer and closes.
func drain(c net.Conn, in io.Reader) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	err := errors.Join(half.CloseWrite(), c.SetDeadline(time.Now().Add(shedDrain)))
	if err != nil {
		return // the caller has left
	}
	// How it ends says nothing: the request was answered.
	_, _ = io.Copy(io.Discard, io.LimitReader(in, shedBody))
}
