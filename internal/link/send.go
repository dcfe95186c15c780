package link

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/wire"
)

// message is one message waiting for a peer.
type message struct {
	kind   uint8
	body   []byte
	queued time.Time
}

// Send gives a message to a peer, best effort: it may be lost or overtaken by
// later ones, but arrives at most once. It never blocks and may be called from
// any goroutine; the caller must not change body afterwards. Messages for a
// peer that cannot be reached are dropped after queueTime; when too many wait,
// the oldest are dropped first. All drops are counted.
func (l *Link) Send(to msg.RouterID, kind uint8, body []byte) {
	if len(body) > MaxMessage || to == l.config.ID {
		l.drop(kind)
		return
	}
	l.peer(to).push(message{kind: kind, body: body, queued: time.Now()})
}

func (l *Link) drop(kind uint8) { l.counters.kinds[kind].dropped.Add(1) }

// push queues a message and starts the writer if it rests.
func (p *peer) push(m message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked {
		p.link.counters.blockedFrames.Add(1)
		p.link.drop(m.kind)
		return
	}
	if p.link.ctx.Err() != nil {
		p.link.drop(m.kind)
		return
	}
	p.queue = append(p.queue, m)
	p.queued += len(m.body)
	for len(p.queue) > queueMessages || p.queued > queueBytes {
		p.dropOldest()
	}
	if !p.writing {
		p.writing = true
		p.link.work.Go(p.write)
	}
}

// dropOldest drops the head of the queue. p.mu is held.
func (p *peer) dropOldest() {
	p.link.drop(p.queue[0].kind)
	p.queued -= len(p.queue[0].body)
	p.queue = p.queue[1:]
}

// write sends until the queue is empty. One runs for a peer at a time. A
// message after a quiet time goes at once; those that follow within
// coalesceTime, or while a dial or an earlier message is under way, share
// datagrams.
func (p *peer) write() {
	for p.pending() {
		ctx, cancel := context.WithTimeout(p.link.ctx, queueTime)
		conn, err := p.connect(ctx)
		cancel()
		if err != nil {
			p.dropStale(err)
			continue
		}
		pause.For(p.link.ctx, p.untilFlush())
		p.flush(conn, p.take())
	}
}

// pending says whether anything waits; if not, the writer is to end.
func (p *peer) pending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = len(p.queue) > 0
	return p.writing
}

// dropStale drops what has waited too long, and all of it when waiting
// cannot help.
func (p *peer) dropStale(err error) {
	kind := KindOf(err)
	all := kind != KindDial && kind != KindTimeout || p.link.ctx.Err() != nil
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) > 0 && (all || now.Sub(p.queue[0].queued) >= queueTime) {
		p.dropOldest()
	}
}

// untilFlush is how long the next batch still waits for more messages.
func (p *peer) untilFlush() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.lastFlush.Add(coalesceTime))
}

// take empties the queue.
func (p *peer) take() []message {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := p.queue
	p.queue = nil
	p.queued = 0
	p.lastFlush = time.Now()
	return batch
}

// flush sends a batch, as many messages to a datagram as fit.
func (p *peer) flush(conn *connection, batch []message) {
	var frame []byte
	var within []message
	for _, m := range batch {
		next, err := wire.AppendEnvelope(nil, m.kind, m.body)
		if err != nil {
			p.link.drop(m.kind)
			continue
		}
		if len(frame)+len(next) > datagramSize && len(frame) > 0 {
			p.sendFrame(conn, frame, within)
			frame, within = nil, nil
		}
		frame = append(frame, next...)
		within = append(within, m)
	}
	if len(frame) > 0 {
		p.sendFrame(conn, frame, within)
	}
}

// sendFrame sends one frame of whole messages, as a datagram if it fits.
func (p *peer) sendFrame(conn *connection, frame []byte, within []message) {
	err := p.sendDatagram(conn, frame)
	var tooLarge *quic.DatagramTooLargeError
	if errors.As(err, &tooLarge) {
		err = p.sendStream(conn, frame)
	}
	for _, m := range within {
		if err != nil {
			p.link.drop(m.kind)
			continue
		}
		p.link.counters.kinds[m.kind].sent(len(m.body))
	}
	if err == nil {
		conn.await()
	}
}

// sendDatagram returns a *quic.DatagramTooLargeError if the frame is too long
// for the smallest path.
func (p *peer) sendDatagram(conn *connection, frame []byte) error {
	if len(frame) > datagramSize {
		return &quic.DatagramTooLargeError{MaxDatagramPayloadSize: datagramSize}
	}
	if err := conn.quic.SendDatagram(frame); err != nil {
		return err
	}
	p.link.counters.datagrams.Add(1)
	return nil
}

// sendStream sends one frame on a stream of its own, within writeTimeout.
func (p *peer) sendStream(conn *connection, frame []byte) error {
	ctx, cancel := context.WithTimeout(conn.quic.Context(), writeTimeout)
	defer cancel()
	stream, err := conn.quic.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	p.link.counters.streams.Add(1)
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := stream.Write(frame); err != nil {
		stream.CancelWrite(streamGivenUp)
		return err
	}
	return stream.Close()
}
