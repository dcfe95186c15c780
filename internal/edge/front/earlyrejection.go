package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/windscale/windscale/internal/peek"
)

// arrivalBuffer holds a request whole, header and body, of some 10 KB where prompts are sent.
const arrivalBuffer = 32 << 10

// EarlyRejecter looks at what new connections ask for while this host has little time, and
// refuses what the host would refuse anyway before anything is spent on it: refusing through
// net/http can take all of a small host. It is not safe for concurrent use.
type EarlyRejecter struct {
	h    *Handler
	buf  []byte
	text bytes.Reader
	in   *bufio.Reader
	out  *bufio.Writer
}

// NewEarlyRejecter returns one for the handler's host.
func (h *Handler) NewEarlyRejecter() *EarlyRejecter {
	return &EarlyRejecter{
		h:   h,
		buf: make([]byte, arrivalBuffer),
		in:  bufio.NewReaderSize(nil, arrivalBuffer),
		out: bufio.NewWriterSize(nil, shedBuffer),
	}
}

// Arrival is a connection on which a request may have arrived.
type Arrival interface {
	peek.Reader
	io.Writer
}

// Verdict is what was decided on the first request of a new connection.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // it has not arrived whole
	Admitted
	Rejected // it was answered, or its caller has left
)

// Reject answers the connection's request, if it has arrived whole and this host has no
// time, or no room, for it. Otherwise it returns what it has read, for who serves the
// connection. full says that there is no room for the connection.
func (s *EarlyRejecter) Reject(c Arrival, full bool) (read []byte, verdict Verdict) {
	n, err := c.ReadAvailable(s.buf)
	if err != nil {
		return nil, Rejected
	}
	r := s.whole(n)
	if r == nil {
		return bytes.Clone(s.buf[:n]), Undecided
	}
	q := &request{h: s.h, r: r, ask: s.h.Headers.ParseRequest(r.Header), begin: s.h.Now()}
	if refusal := q.decide(full); refusal != nil {
		q.note(refusal)
		s.out.Reset(c)
		_ = q.writeRefusal(s.out, refusal) // a caller that has left reads no answer
		return nil, Rejected
	}
	return bytes.Clone(s.buf[:n]), Admitted
}

// whole returns the request of which n bytes have arrived; nil: there is more to come, or
// it is none.
func (s *EarlyRejecter) whole(n int) *http.Request {
	if n == 0 {
		return nil
	}
	s.text.Reset(s.buf[:n])
	s.in.Reset(&s.text)
	r, err := http.ReadRequest(s.in)
	if err != nil || r.ContentLength != int64(s.in.Buffered()+s.text.Len()) {
		return nil
	}
	return r
}

// decide refuses what this host has no time or no room for.
func (q *request) decide(full bool) *Refusal {
	if full {
		return q.withoutRoom()
	}
	return q.admit()
}
