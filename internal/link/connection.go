package link

import (
	"context"
	"crypto/x509"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/fleetcert"
	"github.com/windscale/windscale/internal/wire"
)

// connection is one QUIC connection to a peer.
type connection struct {
	peer  *peer
	quic  *quic.Conn
	since time.Time
	// checked are the CAs by which the peer was found trusted last. Only
	// sweep uses it.
	checked *x509.CertPool

	mu      sync.Mutex
	awaited time.Time // since when a packet is awaited; zero: none is
	packets uint64    // received when the wait began
}

// start reads from the connection until it ends.
func (c *connection) start() {
	work := &c.peer.link.work
	work.Go(c.readDatagrams)
	work.Go(c.acceptMessages)
	work.Go(c.acceptFetches)
}

// await notes that a packet was sent that the peer will acknowledge.
func (c *connection) await() {
	packets := c.quic.ConnectionStats().PacketsReceived
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaited.IsZero() {
		c.awaited = time.Now()
		c.packets = packets
	}
}

// trusted says whether the credentials in force still trust the peer. It looks
// only when their CAs have changed.
func (c *connection) trusted(cred fleetcert.Credentials) bool {
	if c.checked == cred.CA {
		return true
	}
	_, err := cred.VerifyRouter(c.quic.ConnectionState().TLS, x509.ExtKeyUsageServerAuth)
	if err != nil {
		return false
	}
	c.checked = cred.CA
	return true
}

// silent says whether a packet has been awaited too long.
func (c *connection) silent(now time.Time) bool {
	packets := c.quic.ConnectionStats().PacketsReceived
	c.mu.Lock()
	defer c.mu.Unlock()
	if packets != c.packets {
		c.awaited = time.Time{}
		return false
	}
	return !c.awaited.IsZero() && now.Sub(c.awaited) >= silentTime
}

// readDatagrams delivers datagrams until the connection ends, and then forgets
// it.
func (c *connection) readDatagrams() {
	defer c.peer.detach(c)
	for {
		data, err := c.quic.ReceiveDatagram(context.Background())
		if err != nil {
			return
		}
		c.deliver(data, len(data))
	}
}

// deliver gives each message of a datagram or stream to the handler.
func (c *connection) deliver(data []byte, limit int) {
	l := c.peer.link
	for len(data) > 0 {
		envelope, rest, err := wire.NextEnvelope(data, limit)
		if err != nil {
			c.malformed(err)
			return
		}
		l.counters.kinds[envelope.Kind].received(len(envelope.Body))
		l.config.Handler(c.peer.id, envelope.Kind, envelope.Body)
		data = rest
	}
}

// malformed counts and logs a frame that could not be decoded.
func (c *connection) malformed(err error) {
	l := c.peer.link
	l.counters.malformed.Add(1)
	events.LinkMalformed.Log(l.ctx, l.log, slog.LevelWarn, "peer", c.peer.id, "err", err)
}

func (c *connection) acceptMessages() {
	work := &c.peer.link.work
	for {
		stream, err := c.quic.AcceptUniStream(context.Background())
		if err != nil {
			return
		}
		work.Go(func() { c.readMessage(stream) })
	}
}

// readMessage delivers what comes on one message stream.
func (c *connection) readMessage(stream *quic.ReceiveStream) {
	data, err := c.readFrame(stream)
	if KindOf(err) == KindTooLarge {
		stream.CancelRead(streamTooLarge)
	}
	if err == nil {
		c.deliver(data, maxFrame)
	}
}

// maxFrame bounds what is read of one stream that a peer opened, in bytes.
const maxFrame = MaxMessage + wire.EnvelopeOverhead

// readFrame reads a stream to its end. After more than maxFrame bytes it
// returns KindTooLarge, which is counted and logged.
func (c *connection) readFrame(stream io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(stream, maxFrame+1))
	if err != nil || len(data) <= maxFrame {
		return data, err
	}
	l := c.peer.link
	l.counters.oversize.Add(1)
	err = &Error{Kind: KindTooLarge, Peer: c.peer.id}
	events.LinkMalformed.Log(l.ctx, l.log, slog.LevelWarn, "peer", c.peer.id, "err", err)
	return nil, err
}

func (c *connection) acceptFetches() {
	work := &c.peer.link.work
	for {
		stream, err := c.quic.AcceptStream(context.Background())
		if err != nil {
			return
		}
		work.Go(func() { c.answer(stream) })
	}
}
