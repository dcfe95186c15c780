package link

import (
	"fmt"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/fleetcert"
)

// held is credentials that a test replaces.
type held struct {
	atomic.Pointer[fleetcert.Credentials]
}

func (h *held) Current() fleetcert.Credentials { return *h.Load() }

// reconnect closes what is open between two links.
func reconnect(t *testing.T, l, other *Link) {
	l.Block(other.config.ID)
	until(t, "the connections closed", func() bool { return l.Stats().Connections+other.Stats().Connections == 0 })
	l.Unblock(other.config.ID)
}

// A CA that is taken out is trusted no more, on open connections too.
func TestOpenConnectionsEndWithTheirCA(t *testing.T) {
	f, next := newFleet(t), newFleet(t)
	var a held
	c := f.credentials("a")
	a.Store(&c)
	la, _ := f.startSource("a", &a, "127.0.0.1:0")
	lb := f.link("b")
	f.deliver(la, "b", "x")
	before := la.Stats().Refused
	c = next.credentials("a")
	a.Store(&c)
	until(t, "the connections closed", func() bool { return la.Stats().Connections+lb.Stats().Connections == 0 })
	assert.Equal(t, la.Stats().Refused, before+1)
}

// The CA and both certificates are replaced step by step, as operators do.
// Messages arrive after each step, on the connection that was open and on one
// that begins after the step.
func TestLinkWorksWhileCertificatesAreReplaced(t *testing.T) {
	f, next := newFleet(t), newFleet(t)
	both := f.authority.Pool()
	assert.Assert(t, both.AppendCertsFromPEM(next.authority.Pair().Cert))
	var a, b held
	put := func(h *held, c fleetcert.Credentials) { h.Store(&c) }
	put(&a, f.credentials("a"))
	put(&b, f.credentials("b"))
	la, _ := f.startSource("a", &a, "127.0.0.1:0")
	lb, _ := f.startSource("b", &b, "127.0.0.1:0")
	trusting := func(c fleetcert.Credentials) fleetcert.Credentials {
		return fleetcert.Credentials{Cert: c.Cert, CA: both}
	}
	for i, step := range []func(){
		func() {},
		func() { put(&a, trusting(a.Current())) },
		func() { put(&b, trusting(b.Current())) },
		func() { put(&a, trusting(next.credentials("a"))) },
		func() { put(&b, trusting(next.credentials("b"))) },
		func() { put(&a, next.credentials("a")) },
		func() { put(&b, next.credentials("b")) },
	} {
		step()
		f.deliver(la, "b", fmt.Sprint("open", i))
		f.deliver(lb, "a", fmt.Sprint("open", i))
		reconnect(t, la, lb)
		f.deliver(la, "b", fmt.Sprint("new", i))
		reconnect(t, lb, la)
		f.deliver(lb, "a", fmt.Sprint("new", i))
	}
	// What is in force now is not what the link began with.
	put(&b, f.credentials("b"))
	reconnect(t, lb, la)
	_, err := la.Fetch(fetchContext(t), "b", kindPlain, nil)
	assert.Equal(t, fleetcert.KindOf(err), fleetcert.KindChain)
}
