package front

import (
	"io"
	"net/http"
	"time"
)

const (
	// readChunk is the number of bytes by which the body buffer grows.
	readChunk = 32 << 10
	// defaultBodyIdleTimeout limits the pause within a body if the configuration has no limit.
	defaultBodyIdleTimeout = 15 * time.Second
)

// readBody reads the complete request body into memory, so that the request can be retried.
func (q *request) readBody() *Refusal {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return nil
	}
	limits := q.limits
	idleTimeout := defaultBodyIdleTimeout
	if limits.IdleTimeout > 0 {
		idleTimeout = limits.IdleTimeout
	}
	control := http.NewResponseController(q.w)
	size := max(q.r.ContentLength, 0)
	body := make([]byte, 0, size+1)
	for {
		if len(body) == cap(body) {
			body = append(body, make([]byte, readChunk)...)[:len(body)]
		}
		if err := control.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return &Refusal{Status: http.StatusBadRequest, Reason: "read deadline: " + err.Error()}
		}
		n, err := q.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		q.h.bufferedBytes.Add(int64(n))
		q.body = body
		if err == io.EOF {
			return clearReadDeadline(control)
		}
		if err != nil {
			return &Refusal{Status: http.StatusRequestTimeout, Reason: "body not read: " + err.Error()}
		}
		if limits.MaxBodyBytes > 0 && int64(len(body)) > limits.MaxBodyBytes {
			return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
		}
		if q.h.bufferedBytes.Load() > q.h.MaxBufferedBytes {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no memory for the body", RetryAfter: retryElsewhereAfter}
		}
	}
}

// clearReadDeadline removes the read deadline. Were it to expire, net/http would stop detecting
// that the caller disconnects.
func clearReadDeadline(control *http.ResponseController) *Refusal {
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: "read deadline: " + err.Error()}
	}
	return nil
}
