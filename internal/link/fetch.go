package link

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/wire"
)

// Fetch asks a peer and returns its answer, dialling if need be. It never
// repeats the question. It may be called from any goroutine. Errors are
// *Error: KindTooLarge, KindRefused, KindBroken, KindTimeout and those of
// dialling.
func (l *Link) Fetch(ctx context.Context, to msg.RouterID, kind uint8, req []byte) ([]byte, error) {
	if to == l.config.ID {
		return nil, &Error{Kind: KindNoAddr, Peer: to}
	}
	if len(req) > MaxMessage {
		return nil, &Error{Kind: KindTooLarge, Peer: to}
	}
	frame, err := wire.AppendEnvelope(nil, kind, req)
	if err != nil {
		return nil, err
	}
	conn, err := l.peer(to).connect(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := conn.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, fetchError(ctx, to, err)
	}
	l.counters.streams.Add(1)
	l.counters.kinds[kind].sent(len(req))
	conn.await()
	// The stream's blocking calls end with ctx.
	release := context.AfterFunc(ctx, func() { cancelStream(stream, streamGivenUp) })
	defer release()
	answer, err := exchange(stream, frame)
	if err != nil {
		cancelStream(stream, streamGivenUp)
		return nil, fetchError(ctx, to, err)
	}
	l.counters.kinds[kind].received(len(answer))
	return answer, nil
}

// exchange writes the question and reads the complete response.
func exchange(stream *quic.Stream, frame []byte) ([]byte, error) {
	if _, err := stream.Write(frame); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	const limit = MaxAnswer + wire.EnvelopeOverhead
	data, err := io.ReadAll(io.LimitReader(stream, limit+1))
	if err != nil {
		return nil, err
	}
	envelope, rest, err := wire.NextEnvelope(data, limit)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, &wire.Error{Kind: wire.KindMalformed, Size: len(data)}
	}
	return envelope.Body, nil
}

// cancelStream resets both directions.
func cancelStream(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

// fetchError classes a failure within a conversation.
func fetchError(ctx context.Context, to msg.RouterID, err error) error {
	var reset *quic.StreamError
	switch {
	case ctx.Err() != nil:
		return &Error{Kind: KindTimeout, Peer: to, Err: context.Cause(ctx)}
	case wire.KindOf(err) == wire.KindTooLarge:
		return &Error{Kind: KindTooLarge, Peer: to, Err: err}
	case errors.As(err, &reset) || wire.KindOf(err) != "":
		return &Error{Kind: KindRefused, Peer: to, Err: err}
	default:
		return &Error{Kind: KindBroken, Peer: to, Err: err}
	}
}

// answer serves one conversation that the peer began.
func (c *connection) answer(stream *quic.Stream) {
	code, err := c.serve(stream)
	if err == nil {
		return
	}
	cancelStream(stream, code)
	l := c.peer.link
	events.LinkStreamRefused.Log(l.ctx, l.log, slog.LevelInfo, "peer", c.peer.id, "err", err)
}

// serve reads the question, asks the handler and writes its answer. After an
// error the stream is to be reset with the code.
func (c *connection) serve(stream *quic.Stream) (quic.StreamErrorCode, error) {
	data, err := c.readFrame(stream)
	if KindOf(err) == KindTooLarge {
		return streamTooLarge, err
	}
	if err != nil {
		return streamFailed, err
	}
	envelope, _, err := wire.NextEnvelope(data, maxFrame)
	if err != nil {
		c.malformed(err)
		return streamFailed, err
	}
	l := c.peer.link
	l.counters.kinds[envelope.Kind].received(len(envelope.Body))
	answer, err := l.config.FetchHandler(c.quic.Context(), c.peer.id, envelope.Kind, envelope.Body)
	if err != nil {
		return streamFailed, err
	}
	if len(answer) > MaxAnswer {
		return streamTooLarge, &Error{Kind: KindTooLarge, Peer: c.peer.id}
	}
	return streamFailed, c.writeAnswer(stream, envelope.Kind, answer)
}

// writeAnswer writes a handler's answer, within answerTimeout, and ends the
// stream.
func (c *connection) writeAnswer(stream *quic.Stream, kind uint8, answer []byte) error {
	frame, err := wire.AppendEnvelope(nil, kind, answer)
	if err != nil {
		return err
	}
	if err := stream.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	if _, err := stream.Write(frame); err != nil {
		return err
	}
	c.peer.link.counters.kinds[kind].sent(len(answer))
	return stream.Close()
}
