package entry

import (
	"io"
	"net/http"
	"time"
)

// defaultBodyTime holds where the settings limit no request time.
const defaultBodyTime = time.Minute

// limitedBody is a request's body that is bounded in size and in the time it
// takes to arrive, so that a caller that sends a byte now and then holds no
// connection for ever.
type limitedBody struct {
	io.ReadCloser
	rc    *http.ResponseController
	ended bool
}

// limitBody bounds body. The time begins now; 0 takes the default.
func limitBody(w http.ResponseWriter, body io.ReadCloser, most int64, limit time.Duration) io.ReadCloser {
	if limit <= 0 {
		limit = defaultBodyTime
	}
	b := &limitedBody{ReadCloser: http.MaxBytesReader(w, body, most), rc: http.NewResponseController(w)}
	_ = b.rc.SetReadDeadline(time.Now().Add(limit)) // a writer without deadlines, as in tests, has none
	return b
}

// Read implements io.Reader. With the body's end the time limit goes: a
// deadline that passes later would look as if the caller had gone.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		_ = b.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}
