package link

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/fleetcert"
	"github.com/windscale/windscale/internal/wire"
)

// dialRaw connects to a link as an attacker may: it checks nothing itself.
func dialRaw(t *testing.T, to *Link, config *tls.Config) (*quic.Conn, error) {
	config.InsecureSkipVerify = true
	config.VerifyConnection = nil
	conn, err := quic.DialAddr(fetchContext(t), to.Addr().String(), config, &quic.Config{EnableDatagrams: true})
	if err == nil {
		t.Cleanup(func() { conn.CloseWithError(0, "") })
	}
	return conn, err
}

func TestAcceptsOnlyRoutersOfTheFleet(t *testing.T) {
	f, stranger := newFleet(t), newFleet(t)
	b := f.link("b")
	operator, err := f.authority.Operator("ana", time.Now())
	assert.NilError(t, err)
	ana, err := fleetcert.NewCredentials(operator, f.authority.Pool())
	assert.NilError(t, err)
	expired, err := f.authority.Router("a", nil, time.Now().AddDate(-5, 0, 0))
	assert.NilError(t, err)
	old, err := fleetcert.NewCredentials(expired, f.authority.Pool())
	assert.NilError(t, err)

	cases := map[string]*tls.Config{
		"another CA":       stranger.credentials("a").Dialer("b", protocol),
		"an operator":      ana.Dialer("b", protocol),
		"expired":          old.Dialer("b", protocol),
		"no certificate":   {NextProtos: []string{protocol}},
		"another protocol": f.credentials("a").Dialer("b", "h3"),
		"its own ID":       f.credentials("b").Dialer("b", protocol),
	}
	for name, config := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := dialRaw(t, b, config)
			if err != nil {
				return // refused within the handshake
			}
			// TLS 1.3 lets a client finish first; the refusal follows.
			frame, err := wire.AppendEnvelope(nil, kindPlain, []byte("forged"))
			assert.NilError(t, err)
			until(t, "the connection closed or the message taken", func() bool {
				taken := b.Stats().Kinds[kindPlain].ReceivedMessages > 0
				return taken || conn.SendDatagram(frame) != nil
			})
		})
	}
	assert.Equal(t, b.Stats().Kinds[kindPlain].ReceivedMessages, uint64(0))
	assert.Equal(t, b.Stats().Connections, 0)
}

func TestDialsOnlyTheExpectedRouter(t *testing.T) {
	f, stranger := newFleet(t), newFleet(t)
	a, c := f.link("a"), f.link("c")
	f.setAddr("b", c.Addr().String()) // a valid router, but not b
	_, err := a.Fetch(fetchContext(t), "b", kindPlain, nil)
	assert.Equal(t, KindOf(err), KindDial)
	assert.Equal(t, fleetcert.KindOf(err), fleetcert.KindPeer)

	impostor := stranger.link("b") // the expected ID by another CA
	f.setAddr("b", impostor.Addr().String())
	_, err = a.Fetch(fetchContext(t), "b", kindPlain, nil)
	assert.Equal(t, KindOf(err), KindDial)
	assert.Equal(t, fleetcert.KindOf(err), fleetcert.KindChain)
	assert.Equal(t, a.Stats().Connections, 0)
}

// sendRaw sends one unidirectional stream, as far as the peer takes it.
func sendRaw(t *testing.T, conn *quic.Conn, data []byte) {
	stream, err := conn.OpenUniStreamSync(fetchContext(t))
	assert.NilError(t, err)
	if _, err := stream.Write(data); err == nil {
		stream.Close()
	}
}

func TestGarbageAndOversizeFramesAreDropped(t *testing.T) {
	f := newFleet(t)
	b := f.link("b")
	conn, err := dialRaw(t, b, f.credentials("a").Dialer("b", protocol))
	assert.NilError(t, err)

	garbage := [][]byte{
		{0xff},
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		{0x83, 0x02, 0x07, 0x40}, // another version
		{0x83, 0x01, 0x07, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // 2^64-1 bytes promised
		bytes.Repeat([]byte{0x81}, 1000),                                         // nested
	}
	for i, data := range garbage {
		until(t, "garbage counted", func() bool {
			assert.NilError(t, conn.SendDatagram(data))
			return b.Stats().Malformed > uint64(i)
		})
	}
	before := b.Stats().Malformed
	sendRaw(t, conn, garbage[0])
	until(t, "garbage on a stream counted", func() bool { return b.Stats().Malformed > before })

	huge := make([]byte, 2*MaxMessage)
	sendRaw(t, conn, huge)
	until(t, "oversize message counted", func() bool { return b.Stats().Oversize == 1 })
	stream, err := conn.OpenStreamSync(fetchContext(t))
	assert.NilError(t, err)
	stream.Write(huge)
	until(t, "oversize question counted", func() bool { return b.Stats().Oversize == 2 })

	// Nothing of it was delivered, and what is well formed still is.
	assert.Equal(t, b.Stats().Kinds[kindPlain].ReceivedMessages, uint64(0))
	frame, err := wire.AppendEnvelope(nil, kindPlain, []byte("fine"))
	assert.NilError(t, err)
	sendRaw(t, conn, frame)
	until(t, "the good frame", func() bool { return f.count("b<a:fine") == 1 })
}

func TestCertificateBindsTheSender(t *testing.T) {
	f := newFleet(t)
	b := f.link("b")
	conn, err := dialRaw(t, b, f.credentials("mallory").Dialer("b", protocol))
	assert.NilError(t, err)
	frame, err := wire.AppendEnvelope(nil, kindPlain, []byte("x"))
	assert.NilError(t, err)
	sendRaw(t, conn, frame)
	until(t, "the message under its sender's name", func() bool { return f.count("b<mallory:x") == 1 })
	assert.Equal(t, f.count("b<a:x"), 0)
	leaf := conn.ConnectionState().TLS.PeerCertificates[0]
	id, err := f.credentials("a").VerifyRouter(conn.ConnectionState().TLS, x509.ExtKeyUsageServerAuth)
	assert.NilError(t, err)
	assert.Equal(t, id, msg.RouterID(leaf.Subject.CommonName))
}
