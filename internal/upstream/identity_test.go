package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// A connection to a previous start of a server is not used for the server that has the same ID
// and address now, and is closed once the new start is known.
func TestConnectionsBelongToOneServerStart(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	p := NewPool(time.Now)
	previous, current := routing.Identity{ID: "i", Born: 1}, routing.Identity{ID: "i", Born: 2}
	c, err := p.get(context.Background(), previous, ln.Addr().String(), 1, false)
	assert.NilError(t, err)
	p.putIdle(previous, c, 0)
	fresh, err := p.get(context.Background(), current, ln.Addr().String(), 1, false)
	assert.NilError(t, err)
	assert.Assert(t, fresh != c)
	p.putIdle(current, fresh, 0)
	p.Prune(func(id routing.Identity) bool { return id == current })
	_, found := p.byServer[previous]
	assert.Assert(t, !found)
	again, err := p.get(context.Background(), current, ln.Addr().String(), 1, false)
	assert.NilError(t, err)
	assert.Equal(t, again, fresh)
}
