package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// The headers of the protocol between routers and backend servers.
const (
	HeaderRequest      = "Windscale-Request"
	HeaderAttempt      = "Windscale-Attempt"
	HeaderKey          = "Idempotency-Key"
	HeaderFence        = "Windscale-Fence"
	HeaderFenceRefused = "Windscale-Fence-Refused"
	HeaderLeaving      = "Windscale-Leaving"
)

// MaxBody bounds the body of a request, in bytes.
const MaxBody = 16 << 20

// EchoIDs repeats the request's id and attempt in the answer's headers.
func EchoIDs(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{HeaderRequest, HeaderAttempt} {
		if v := r.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
}

// Refuse answers that the request will not run here.
func Refuse(w http.ResponseWriter, status int, leaving bool) {
	if leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	w.WriteHeader(status)
}

// WriteWhole answers body with its length.
func WriteWhole(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a caller that has gone is no fault
}

// WriteHalf promises the whole body, sends half of it and breaks the
// connection. It does not return.
func WriteHalf(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	Break()
}

// Break closes the connection without a further byte. It does not return.
func Break() { panic(http.ErrAbortHandler) }

// ReadJSON decodes the request's body into v and says whether it could. It
// reads the body to its end, so that the request's context ends when the
// caller goes.
func ReadJSON(r *http.Request, v any) bool {
	body, err := ReadBody(r)
	return err == nil && json.Unmarshal(body, v) == nil
}

// ReadBody reads the request's body to its end, up to MaxBody.
func ReadBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, MaxBody))
}
