package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/routing"
)

// A connection to a server's life before carries nothing of the one that has its ID and
// address now, and is closed once that is known.
func TestConnectionsAreThoseOfOneLife(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	p := NewPool(time.Now)
	old, now := routing.Identity{ID: "i", Born: 1}, routing.Identity{ID: "i", Born: 2}
	c, err := p.get(context.Background(), old, ln.Addr().String(), 1, false)
	assert.NilError(t, err)
	p.put(old, c, 0)
	fresh, err := p.get(context.Background(), now, ln.Addr().String(), 1, false)
	assert.NilError(t, err)
	assert.Assert(t, fresh != c)
	p.put(now, fresh, 0)
	p.Retire(func(id routing.Identity) bool { return id == now })
	_, kept := p.by[old]
	assert.Assert(t, !kept)
	again, err := p.get(context.Background(), now, ln.Addr().String(), 1, false)
	assert.NilError(t, err)
	assert.Equal(t, again, fresh)
}
