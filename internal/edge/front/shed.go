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
	// shedReadTimeout limits the time for the header of a refused request to arrive, and
	// shedDrainTimeout the time for which the rest of its body is read after the response: closing a
	// connection with unread bytes resets it, and the caller loses the response.
	shedReadTimeout  = 500 * time.Millisecond
	shedDrainTimeout = 300 * time.Millisecond
	// shedBufferSize is large enough for a request header.
	shedBufferSize = 4 << 10
	// maxShedHeader limits the header, like that of a request that is served.
	maxShedHeader = 64 << 10
	// maxShedBody limits the body bytes that are read and discarded.
	maxShedBody = 256 << 10
)

// Shed refuses the first request of a connection over the connection limit, without reading its
// body first, and closes the connection. This costs a tenth of refusing it through net/http.
func (h *Handler) Shed(c net.Conn) {
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(shedReadTimeout)); err != nil {
		return // the connection is gone
	}
	limited := &io.LimitedReader{R: c, N: maxShedHeader}
	in := bufio.NewReaderSize(limited, shedBufferSize)
	r, err := http.ReadRequest(in)
	if err != nil {
		return // there is no request to respond to
	}
	q := &request{h: h, r: r, meta: h.Headers.ParseRequest(r.Header), received: h.Now()}
	if relayed, ok := c.(RelayedConn); ok {
		q.via = relayed.Via()
	}
	refusal := q.noRoomRefusal()
	q.recordRefusal(refusal)
	if err := q.writeRawRefusal(bufio.NewWriterSize(c, shedBufferSize), refusal); err != nil {
		return // the caller disconnected
	}
	limited.N = maxShedBody
	drainConn(c, in)
}

// noRoomRefusal returns the refusal of a request whose connection exceeds the connection limit.
// The request counts towards its customer's demand.
func (q *request) noRoomRefusal() *Refusal {
	if q.resolve() == nil {
		q.h.State.RecordHostOverload(q.placementNeed())
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "too many connections here", RetryAfter: retryElsewhereAfter}
}

// writeRawRefusal writes a refusal that closes its connection, without net/http.
func (q *request) writeRawRefusal(out *bufio.Writer, f *Refusal) error {
	header := http.Header{}
	q.setRefusalHeaders(header, f)
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

// drainConn discards what in has left of the connection until the caller closes it.
func drainConn(c net.Conn, in io.Reader) {
	closer, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	err := errors.Join(closer.CloseWrite(), c.SetDeadline(time.Now().Add(shedDrainTimeout)))
	if err != nil {
		return // the caller disconnected
	}
	// An error does not matter here: the refusal has been sent.
	_, _ = io.Copy(io.Discard, in)
}
