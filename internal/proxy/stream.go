package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/dispatch"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/problem"
)

// stallLimit is the longest wait for a stream's next event; after it the stream
// counts as cut.
const stallLimit = 5 * time.Second

// serveStream runs a request whose answer is streamed.
func (m *modelRun) serveStream() {
	defer m.closeCaller()
	if !m.attempts(m.tryStream) {
		return
	}
	if m.caller == nil {
		m.send(m.answer) // the engine answered in one piece, such as a 400
		return
	}
	if err := m.caller.drain(); err != nil {
		m.breakCaller()
	}
}

// closeCaller stops the writer before the handler returns, also when the
// connection is about to be broken.
func (m *modelRun) closeCaller() {
	if m.caller != nil {
		m.caller.stop()
	}
}

// tryStream runs the request at the slot's engine and relays its stream, over
// as many legs as it takes.
func (m *modelRun) tryStream(s *slot) attempt.Action {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	answer, failure := m.p.Backend.Do(ctx, m.chat(s))
	if failure != nil {
		return m.lost(s, failure)
	}
	m.x.Step(m.event(attempt.Header))
	if answer.Status != http.StatusOK {
		defer answer.Close()
		return m.takeWhole(s, answer)
	}
	for {
		action := m.relay(s, answer, cancel)
		if action != attempt.Resume {
			return action
		}
		ctx, cancel = context.WithCancel(m.ctx)
		defer cancel()
		answer, action = m.resume(ctx, s)
		if answer == nil {
			return action
		}
	}
}

// resume opens the next leg, trying again for as long as the exchange asks.
func (m *modelRun) resume(ctx context.Context, s *slot) (*backend.Answer, attempt.Action) {
	for {
		if !m.mayResume() {
			m.cancelAt(s)
			return nil, m.x.Step(m.event(attempt.RetryDenied))
		}
		from := m.x.Next()
		m.x.BeginLeg()
		call := m.call(s)
		call.Echo = true
		answer, failure := m.p.Backend.Resume(ctx, call, from)
		if failure == nil {
			m.x.Step(m.event(attempt.Header))
			events.StreamResumed.Log(m.ctx, m.p.Log, slog.LevelInfo, "request", m.want.ID,
				"pool", m.want.Pool, "server", s.Server().ID, "from", from)
			return answer, attempt.Continue
		}
		if action := m.lost(s, failure); action != attempt.Resume {
			return nil, action
		}
	}
}

// mayResume asks the retry allowance and waits with full jitter: a resumption
// is a retry to the engine, so it is paid for like one.
func (m *modelRun) mayResume() bool {
	ok := m.p.takeRetry(m.want.Pool)
	m.p.Observer.Resume(m.want.Pool, ok)
	return ok && pause.For(m.ctx, attempt.Backoff(m.x.Leg()+1, uniform()))
}

// relay passes one leg of the stream on. It closes the answer.
func (m *modelRun) relay(s *slot, answer *backend.Answer, cancel context.CancelFunc) attempt.Action {
	m.held.clear()
	stream, failure := backend.NewStream(answer)
	if failure != nil {
		answer.Close()
		return m.lost(s, failure)
	}
	defer stream.Close()
	for {
		part, failure := m.nextPart(stream, cancel)
		if failure != nil {
			return m.lost(s, failure)
		}
		action := m.part(s, stream, part)
		if action != attempt.Continue {
			return action
		}
	}
}

// parts is what nextPart reads from; *backend.Stream is one.
type parts interface {
	Next() (backend.Part, *backend.Error)
}

// nextPart waits for the engine's next event. Until the first token only the
// deadline bounds the wait, then stallLimit does too: cancel ends the read. The
// time that the caller takes to accept an event is not the engine's.
func (m *modelRun) nextPart(from parts, cancel context.CancelFunc) (backend.Part, *backend.Error) {
	if m.x.Next() > 0 {
		stall := time.AfterFunc(stallLimit, cancel)
		defer stall.Stop()
	}
	return from.Next()
}

// part takes one event of the stream. Tokens go on at once. What follows the
// last token is held until the closing event is there, so that a resumption
// can't send it twice.
func (m *modelRun) part(s *slot, stream *backend.Stream, part backend.Part) attempt.Action {
	switch {
	case part.Closing:
		return m.closing(s, stream, part)
	case part.Position < 0 || part.Finished:
		if !m.held.add(part, m.x.Next()) {
			return m.lost(s, notWhole(backend.ErrEvent))
		}
		return attempt.Continue
	case m.held.finished:
		return m.lost(s, notWhole(backend.ErrEvent)) // a token after the end
	}
	event := m.event(attempt.Token)
	event.Position = part.Position
	switch action := m.x.Step(event); action {
	case attempt.Deliver:
		return m.deliver(s, m.held.take(part.Raw))
	case attempt.Drop:
		m.held.clear()
		return attempt.Continue
	default:
		m.last = notWhole(backend.ErrEvent)
		return action
	}
}

// deliver passes a token on.
func (m *modelRun) deliver(s *slot, raw []byte) attempt.Action {
	m.sawToken(s)
	if err := m.toCaller(raw); err != nil {
		m.cancelAt(s)
		return m.x.Step(m.event(attempt.Expired))
	}
	s.progress(m.costSoFar(m.x.Next()))
	return attempt.Continue
}

// closing ends the stream. The usage is the engine's last word on the cost.
func (m *modelRun) closing(s *slot, stream *backend.Stream, part backend.Part) attempt.Action {
	s.progress(costOf(*stream.Usage()))
	m.sawToken(s)
	raw := m.held.take(part.Raw)
	if err := m.toCaller(raw); err != nil {
		return m.x.Step(m.event(attempt.Expired))
	}
	stream.Finish()
	return m.x.Step(m.event(attempt.AnswerComplete))
}

// sawToken measures the token that has come.
func (m *modelRun) sawToken(s *slot) {
	s.sawFirst()
	since := m.p.Now().Sub(m.began)
	if m.finish.First == 0 {
		m.finish.First = since
	}
	m.finish.Tokens = m.x.Next()
	if m.finish.Tokens > 1 {
		m.finish.Between = (since - m.finish.First) / time.Duration(m.finish.Tokens-1)
	}
}

// toCaller queues bytes for the caller, beginning the answer with the first.
func (m *modelRun) toCaller(raw []byte) error {
	if m.caller == nil {
		h := m.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set(problem.HeaderRequest, string(m.want.ID))
		m.w.WriteHeader(http.StatusOK)
		m.caller = newCallerStream(m.w, m.cancel)
	}
	return m.caller.put(m.ctx, raw)
}

// cancelAt stops an attempt at its engine. The engine also cancels by itself
// when nobody reads the stream for a while.
func (p *Proxy) cancelAt(ctx context.Context, server dispatch.Server, id msg.RequestID, number int) {
	if failure := p.Backend.Cancel(ctx, server, id, number); failure != nil {
		events.CancelFailed.Log(ctx, p.Log, slog.LevelInfo, "request", id, "server", server.ID, "cause", failure)
	}
}

// heldParts are events that wait for the closing event or the next token.
type heldParts struct {
	raw       []byte
	positions int64 // events held that have a position
	finished  bool
}

// maxHeld bounds what is held, in bytes.
const maxHeld = 512 << 10

// add holds an event. next is the position that is due after what was
// delivered.
func (h *heldParts) add(part backend.Part, next int64) bool {
	if part.Position >= 0 {
		if part.Position != next+h.positions {
			return false
		}
		h.positions++
	}
	h.finished = h.finished || part.Finished
	h.raw = append(h.raw, part.Raw...)
	return len(h.raw) <= maxHeld
}

// take returns what is held followed by raw, and holds nothing any more.
func (h *heldParts) take(raw []byte) []byte {
	out := append(h.raw, raw...)
	h.clear()
	return out
}

// clear forgets what is held.
func (h *heldParts) clear() { *h = heldParts{} }
