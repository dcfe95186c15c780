package entry

import (
	"io"
	"sync/atomic"

	"github.com/windscale/windscale/internal/problem"
)

// bodies bounds the memory of all bodies that are arriving. Once one is whole,
// the sharing counts it among the waiting requests.
type bodies struct {
	held atomic.Int64 // bytes
}

// body is one body that is arriving. It belongs to the request's goroutine.
type body struct {
	io.ReadCloser
	of   *bodies
	most int64 // of all bodies
	held int64
}

func (b *bodies) body(r io.ReadCloser, most int64) *body {
	return &body{ReadCloser: r, of: b, most: most}
}

// Read implements io.Reader. When the router holds too much its error is a
// *problem.Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.held += int64(n)
	if b.of.held.Add(int64(n)) > b.most {
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
	b.of.held.Add(-b.held)
	b.held = 0
}
