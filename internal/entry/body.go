package entry

import (
	"io"
	"sync/atomic"

	"github.com/windscale/windscale/internal/problem"
)

// bodies bounds the memory of all bodies that are arriving. Once one is whole,
// the sharing counts it among the waiting requests.
type bodies struct {
	bytes atomic.Int64 // read so far, of all
}

// body is one body that is arriving. It belongs to the request's goroutine.
type body struct {
	io.ReadCloser
	all   *bodies
	limit int64 // of all bodies together, in bytes
	bytes int64 // read so far, of this one
}

// newBody counts r among all bodies, which may have limit bytes together.
// release must follow.
func (b *bodies) newBody(r io.ReadCloser, limit int64) *body {
	return &body{ReadCloser: r, all: b, limit: limit}
}

// Read implements io.Reader. When the router holds too much its error is a
// *problem.Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if b.all.bytes.Add(int64(n)) > b.limit {
		b.release()
		return 0, &problem.Error{Type: problem.RouterFull}
	}
	if err != nil {
		b.release()
	}
	return n, err
}

// release gives the memory back, once.
func (b *body) release() {
	b.all.bytes.Add(-b.bytes)
	b.bytes = 0
}
