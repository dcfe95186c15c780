package front

import (
	"io"
	"net/http"
	"time"
)

const (
	// readChunk is how much of a body is read at a time.
	readChunk = 32 << 10
	// bodyIdle bounds the pause within a body until the configuration says it.
	bodyIdle = 15 * time.Second
)

// read reads the request's body whole, so that it can be sent again.
func (q *request) read() *Refusal {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return nil
	}
	limits := q.limits
	idle := bodyIdle
	if limits.IdleTimeout > 0 {
		idle = limits.IdleTimeout
	}
	control := http.NewResponseController(q.w)
	size := max(q.r.ContentLength, 0)
	body := make([]byte, 0, size+1)
	for {
		if len(body) == cap(body) {
			body = append(body, make([]byte, readChunk)...)[:len(body)]
		}
		if err := control.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return &Refusal{Status: http.StatusBadRequest, Reason: "read deadline: " + err.Error()}
		}
		n, err := q.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		q.h.held.Add(int64(n))
		q.body = body
		if err == io.EOF {
			return endRead(control)
		}
		if err != nil {
			return &Refusal{Status: http.StatusRequestTimeout, Reason: "body not read: " + err.Error()}
		}
		if limits.MaxBodyBytes > 0 && int64(len(body)) > limits.MaxBodyBytes {
			return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
		}
		if q.h.held.Load() > q.h.MaxHeld {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no memory for the body", Back: comeBack}
		}
	}
}

// endRead lifts the read deadline, which would end the watch for the caller's
// leaving.
func endRead(control *http.ResponseController) *Refusal {
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: "read deadline: " + err.Error()}
	}
	return nil
}
