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
func (s *EarlyRejecter) Reject(c Arrival, noRoom bool) (read []byte, verdict Verdict) {
	n, err := c.ReadArrived(s.buf)
	if err != nil {
		return nil, Rejected
	}
	r := s.parseComplete(n)
	if r == nil {
		return bytes.Clone(s.buf[:n]), Undecided
	}
	q := &request{h: s.h, r: r, meta: s.h.Headers.Ask(r.Header), received: s.h.Now()}
	if refusal := q.admitOrRefuse(noRoom); refusal != nil {
		q.recordRefusal(refusal)
		s.out.Reset(c)
		_ = q.writeRawRefusal(s.out, refusal) // fails only if the caller has disconnected
		return nil, Rejected
	}
	return bytes.Clone(s.buf[:n]), Admitted
}

// parseComplete parses the request from the n bytes that have arrived. It returns nil if the
// request is incomplete or invalid.
func (s *EarlyRejecter) parseComplete(n int) *http.Request {
	if n == 0 {
		return nil
	}
	s.data.Reset(s.buf[:n])
	s.in.Reset(&s.data)
	r, err := http.ReadRequest(s.in)
	if err != nil || r.ContentLength != int64(s.in.Buffered()+s.data.Len()) {
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
