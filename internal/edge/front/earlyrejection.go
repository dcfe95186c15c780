package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/windscale/windscale/internal/peek"
)

// arrivalBufferSize is large enough for a complete request, header and body. Requests with
// prompts have about 10 KB.
const arrivalBufferSize = 32 << 10

// EarlyRejecter checks the first request of new connections while this host is overloaded, and
// rejects those that the host would refuse anyway before they reach net/http. Refusing them
// through net/http can take all of a small host's processor time. It is not safe for concurrent
// use.
type EarlyRejecter struct {
	h    *Handler
	buf  []byte
	data bytes.Reader
	in   *bufio.Reader
	out  *bufio.Writer
}

// NewEarlyRejecter returns an EarlyRejecter that applies the handler's admission rules.
func (h *Handler) NewEarlyRejecter() *EarlyRejecter {
	return &EarlyRejecter{
		h:   h,
		buf: make([]byte, arrivalBufferSize),
		in:  bufio.NewReaderSize(nil, arrivalBufferSize),
		out: bufio.NewWriterSize(nil, shedBufferSize),
	}
}

// Arrival is a connection on which a request may have arrived.
type Arrival interface {
	peek.Reader
	io.Writer
}

// Verdict is the decision on the first request of a new connection.
type Verdict int

// Verdicts.
const (
	Undecided Verdict = iota // the request has not arrived completely, or is not a valid one
	Admitted
	Rejected // the request was refused, or its caller has disconnected
)

// Reject refuses the connection's request if it has arrived completely and this host has no
// capacity for it. Otherwise it returns the bytes that it has read, which the connection's server
// must process first. noRoom means that the connection limit is reached.
func (e *EarlyRejecter) Reject(c Arrival, noRoom bool) (read []byte, verdict Verdict) {
	n, err := c.ReadAvailable(e.buf)
	if err != nil {
		return nil, Rejected
	}
	r := e.parseComplete(n)
	if r == nil {
		return bytes.Clone(e.buf[:n]), Undecided
	}
	q := &request{h: e.h, r: r, meta: e.h.Headers.ParseRequest(r.Header), received: e.h.Now()}
	if refusal := q.admitOrRefuse(noRoom); refusal != nil {
		q.recordRefusal(refusal)
		e.out.Reset(c)
		_ = q.writeRawRefusal(e.out, refusal) // fails only if the caller has disconnected
		return nil, Rejected
	}
	return bytes.Clone(e.buf[:n]), Admitted
}

// parseComplete parses the request from the n bytes that have arrived. It returns nil if the
// request is incomplete or invalid.
func (e *EarlyRejecter) parseComplete(n int) *http.Request {
	if n == 0 {
		return nil
	}
	e.data.Reset(e.buf[:n])
	e.in.Reset(&e.data)
	r, err := http.ReadRequest(e.in)
	if err != nil || r.ContentLength != int64(e.in.Buffered()+e.data.Len()) {
		return nil
	}
	return r
}

// admitOrRefuse applies the connection limit, then the rules of admit.
func (q *request) admitOrRefuse(noRoom bool) *Refusal {
	if noRoom {
		return q.noRoomRefusal()
	}
	return q.admit()
}
