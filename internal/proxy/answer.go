package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/problem"
)

const (
	// maxBuffered is how much of a plain answer is held until it is known to be
	// whole. A longer one goes out as it comes.
	maxBuffered = 4 << 20
	// callerWriteTime bounds each write to a caller.
	callerWriteTime = 10 * time.Second
	// writeChunk is the most that one such write carries.
	writeChunk = 64 << 10
)

// wholeAnswer is an answer that is known to be whole.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	length int64 // what the server told; -1: nothing. It differs for HEAD.
}

// send writes a complete response to the caller.
func (u *run) send(a wholeAnswer) {
	copyHeader(u.w.Header(), a.header)
	u.w.Header().Set(problem.HeaderRequest, string(u.want.ID))
	if u.r.Method != http.MethodHead {
		a.length = int64(len(a.body))
	}
	if a.length >= 0 && mayHaveLength(a.status) {
		u.w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	u.limitWrite()
	u.w.WriteHeader(a.status)
	_, _ = u.w.Write(a.body) // a caller that went gets nothing more
	u.unlimitWrite()
}

// mayHaveLength reports whether an answer of the status has a Content-Length.
func mayHaveLength(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// sendLong writes an answer of which only the beginning is there. If the rest
// doesn't come whole, the caller's connection is broken.
func (u *run) sendLong(answer *backend.Answer, start []byte) {
	copyHeader(u.w.Header(), answer.Header)
	u.w.Header().Set(problem.HeaderRequest, string(u.want.ID))
	if answer.Length >= 0 {
		u.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	u.w.WriteHeader(answer.Status)
	rest := io.MultiReader(bytes.NewReader(start), answer)
	if _, err := io.CopyBuffer(limitedWriter{u}, rest, make([]byte, writeChunk)); err != nil {
		answer.Close()
		u.breakCaller()
	}
	u.unlimitWrite()
}

// limitedWriter writes to the caller, each write within its time.
type limitedWriter struct{ u *run }

// Write implements io.Writer.
func (l limitedWriter) Write(p []byte) (int, error) {
	l.u.limitWrite()
	return l.u.w.Write(p)
}

// limitWrite gives the next write to the caller its time. Writers that know no
// deadline, as in tests, have none.
func (u *run) limitWrite() {
	_ = http.NewResponseController(u.w).SetWriteDeadline(time.Now().Add(callerWriteTime))
}

// unlimitWrite frees the connection for its next request.
func (u *run) unlimitWrite() {
	_ = http.NewResponseController(u.w).SetWriteDeadline(time.Time{})
}

// copyHeader sets the headers of from in to.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
