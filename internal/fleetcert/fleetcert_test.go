package fleetcert

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(time.Now())
	assert.NilError(t, err)
	return a
}

func credentials(t *testing.T, a *Authority, pair Pair, err error) Credentials {
	t.Helper()
	assert.NilError(t, err)
	c, err := NewCredentials(pair, a.Pool())
	assert.NilError(t, err)
	return c
}

func stateOf(t *testing.T, c Credentials) tls.ConnectionState {
	t.Helper()
	leaf, err := x509.ParseCertificate(c.Cert.Certificate[0])
	assert.NilError(t, err)
	return tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}
}

func TestDialerAcceptsOnlyTheExpectedRouter(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	now := time.Now()
	issue := func(from *Authority, id string, when time.Time) tls.ConnectionState {
		pair, err := from.Router("r1", []net.IP{net.IPv4(127, 0, 0, 1)}, when)
		if id != "r1" {
			pair, err = from.Operator(id, when)
		}
		return stateOf(t, credentials(t, from, pair, err))
	}
	pair, err := a.Router("r2", nil, now)
	r2 := credentials(t, a, pair, err)
	own, err := r2.Router()
	assert.NilError(t, err)
	assert.Equal(t, string(own), "r2")

	cases := []struct {
		name   string
		state  tls.ConnectionState
		dial   Kind
		accept Kind
	}{
		{"expected router", issue(a, "r1", now), "", ""},
		{"another router", stateOf(t, r2), KindPeer, ""},
		{"another CA", issue(other, "r1", now), KindChain, KindChain},
		{"expired", issue(a, "r1", now.Add(-2*leafLifetime)), KindChain, KindChain},
		{"operator", issue(a, "ana", now), KindChain, KindRole},
		{"no certificate", tls.ConnectionState{}, KindChain, KindChain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, KindOf(r2.Dialer("r1", "p").VerifyConnection(c.state)), c.dial)
			assert.Equal(t, KindOf(r2.Listener("p").VerifyConnection(c.state)), c.accept)
		})
	}
}

func TestIdentityOfRefusesAllButOneExactURI(t *testing.T) {
	parse := func(text string) *url.URL {
		u, err := url.Parse(text)
		assert.NilError(t, err)
		return u
	}
	id, err := IdentityOf(&x509.Certificate{URIs: []*url.URL{parse("windscale://router/r1")}})
	assert.NilError(t, err)
	assert.Equal(t, id, Identity{RoleRouter, "r1"})
	bad := []string{
		"windscale://router/", "windscale://router", "windscale://router/a/b", "windscale://server/r1",
		"spiffe://router/r1", "windscale://x@router/r1", "windscale://router/r1?x=1", "windscale://router/r1#x",
		"windscale://router/r%31", "windscale://router:1/r1", "windscale://router/.r1", "windscale://Router/r1",
	}
	for _, text := range bad {
		_, err := IdentityOf(&x509.Certificate{URIs: []*url.URL{parse(text)}})
		assert.Equal(t, KindOf(err), KindIdentity, text)
	}
	two := []*url.URL{parse("windscale://router/r1"), parse("windscale://router/r2")}
	_, err = IdentityOf(&x509.Certificate{URIs: two})
	assert.Equal(t, KindOf(err), KindIdentity)
}

func TestIssueRefusesNames(t *testing.T) {
	a := newAuthority(t)
	for _, name := range []string{"", "a/b", "../x", "a b", ".x"} {
		_, err := a.Operator(name, time.Now())
		assert.Equal(t, KindOf(err), KindName, name)
	}
}

func TestParseAuthorityRefusesMixedPairs(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	_, err := ParseAuthority(Pair{Cert: a.Pair().Cert, Key: b.Pair().Key})
	assert.Equal(t, KindOf(err), KindPEM)
	_, err = ParseAuthority(Pair{Cert: []byte("x"), Key: nil})
	assert.Equal(t, KindOf(err), KindPEM)
}
