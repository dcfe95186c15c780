package backend

import (
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"

	"github.com/windscale/windscale/internal/core/attempt"
)

// drainLimit is how much of a refusal's body is read so that its connection
// can be kept.
const drainLimit = 16 << 10

// Answer is the answer of a backend server. Reading it ends with io.EOF only
// if it is whole by its length or its last chunk.
type Answer struct {
	Status int
	Header http.Header // end-to-end headers only
	Length int64       // -1: not told
	body   io.ReadCloser
	framed bool
	stop   func(error) // frees the exchange's context
}

// newAnswer wraps a response whose header has been checked.
func newAnswer(resp *http.Response, method string, stop func(error)) *Answer {
	framed := resp.ContentLength >= 0 ||
		slices.Contains(resp.TransferEncoding, "chunked") ||
		!mayHaveBody(method, resp.StatusCode)
	return &Answer{
		Status: resp.StatusCode,
		Header: cleanAnswer(resp.Header),
		Length: resp.ContentLength,
		body:   resp.Body,
		framed: framed,
		stop:   stop,
	}
}

// mayHaveBody reports whether an answer of the status can have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

// Read implements io.Reader.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF && !a.framed {
		return n, ErrUnframed
	}
	return n, err
}

// Close frees the connection; it is closed if the answer was not read whole.
func (a *Answer) Close() {
	_ = a.body.Close()
	a.stop(nil)
}

// ReadUpTo reads the body whole if it has at most limit bytes. whole is false
// if there is more, which is then still to be read.
func (a *Answer) ReadUpTo(limit int64) (body []byte, whole bool, _ *Error) {
	body, err := io.ReadAll(io.LimitReader(a, limit))
	if err != nil {
		return nil, false, bodyError(err)
	}
	if int64(len(body)) < limit {
		return body, true, nil
	}
	var next [1]byte
	n, err := io.ReadFull(a, next[:])
	if n == 1 {
		return append(body, next[0]), false, nil
	}
	if err != io.EOF {
		return nil, false, bodyError(err)
	}
	return body, true, nil
}

// bodyError is a failure within the answer: the request has run, wholly or not.
func bodyError(err error) *Error {
	return &Error{Stage: StageBody, Outcome: attempt.Unknown, Err: err}
}

// closeBody reads a little of the body so that the connection can be kept.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, drainLimit)
	_ = resp.Body.Close()
}

// unreachable reports whether the server did not take a connection. What fails
// within this host (no file descriptor, no port, no address to dial) says nothing
// of the server.
func unreachable(err error) bool {
	var op *net.OpError
	if !stderrors.As(err, &op) || op.Op != "dial" {
		return false
	}
	var call *os.SyscallError
	refused := stderrors.As(op.Err, &call) && call.Syscall == "connect"
	return op.Timeout() || refused && !stderrors.Is(call, syscall.EADDRNOTAVAIL)
}
