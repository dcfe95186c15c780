package link

import "sync/atomic"

// KindStats counts the messages of one kind. Bytes are those of the bodies.
type KindStats struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
	Dropped          uint64 // given to Send, not sent
}

// Stats counts what a link has done since it was made.
type Stats struct {
	Kinds         map[uint8]KindStats // only kinds that occurred
	Datagrams     uint64              // sent
	Streams       uint64              // opened, for long messages and Fetch
	Dials         uint64
	DialFailures  uint64
	Refused       uint64 // peers refused after their certificate was accepted
	Malformed     uint64 // frames dropped: undecodable, or of another version
	Oversize      uint64 // frames dropped: longer than allowed
	Connections   int    // open now
	WireSent      uint64 // bytes with all of QUIC's own, without UDP and IP headers
	WireReceived  uint64
	PacketsSent   uint64
	PacketsLost   uint64
	SilentClosed  uint64 // connections closed because nothing came back
	BlockedFrames uint64 // messages dropped by Block
}

type kindCounters struct {
	sentMessages     atomic.Uint64
	sentBytes        atomic.Uint64
	receivedMessages atomic.Uint64
	receivedBytes    atomic.Uint64
	dropped          atomic.Uint64
}

func (k *kindCounters) sent(bytes int) {
	k.sentMessages.Add(1)
	k.sentBytes.Add(uint64(bytes))
}

func (k *kindCounters) received(bytes int) {
	k.receivedMessages.Add(1)
	k.receivedBytes.Add(uint64(bytes))
}

func (k *kindCounters) snapshot() KindStats {
	return KindStats{
		SentMessages:     k.sentMessages.Load(),
		SentBytes:        k.sentBytes.Load(),
		ReceivedMessages: k.receivedMessages.Load(),
		ReceivedBytes:    k.receivedBytes.Load(),
		Dropped:          k.dropped.Load(),
	}
}

// counters is the mutable form of Stats. The wire counters are of closed
// connections; those of open ones are added when read.
type counters struct {
	kinds         [256]kindCounters
	datagrams     atomic.Uint64
	streams       atomic.Uint64
	dials         atomic.Uint64
	dialFailures  atomic.Uint64
	refused       atomic.Uint64
	malformed     atomic.Uint64
	oversize      atomic.Uint64
	silentClosed  atomic.Uint64
	blockedFrames atomic.Uint64
	wireSent      atomic.Uint64
	wireReceived  atomic.Uint64
	packetsSent   atomic.Uint64
	packetsLost   atomic.Uint64
}

// Stats returns the counters. It may be called from any goroutine.
func (l *Link) Stats() Stats {
	c := &l.counters
	s := Stats{
		Kinds:         map[uint8]KindStats{},
		Datagrams:     c.datagrams.Load(),
		Streams:       c.streams.Load(),
		Dials:         c.dials.Load(),
		DialFailures:  c.dialFailures.Load(),
		Refused:       c.refused.Load(),
		Malformed:     c.malformed.Load(),
		Oversize:      c.oversize.Load(),
		SilentClosed:  c.silentClosed.Load(),
		BlockedFrames: c.blockedFrames.Load(),
		WireSent:      c.wireSent.Load(),
		WireReceived:  c.wireReceived.Load(),
		PacketsSent:   c.packetsSent.Load(),
		PacketsLost:   c.packetsLost.Load(),
	}
	for kind := range c.kinds {
		k := c.kinds[kind].snapshot()
		if k != (KindStats{}) {
			s.Kinds[uint8(kind)] = k
		}
	}
	for _, p := range l.allPeers() {
		for _, conn := range p.open() {
			w := conn.quic.ConnectionStats()
			s.Connections++
			s.WireSent += w.BytesSent
			s.WireReceived += w.BytesReceived
			s.PacketsSent += w.PacketsSent
			s.PacketsLost += w.PacketsLost
		}
	}
	return s
}

// retire adds the wire counters of a connection that has ended.
func (c *counters) retire(conn *connection) {
	w := conn.quic.ConnectionStats()
	c.wireSent.Add(w.BytesSent)
	c.wireReceived.Add(w.BytesReceived)
	c.packetsSent.Add(w.PacketsSent)
	c.packetsLost.Add(w.PacketsLost)
}
