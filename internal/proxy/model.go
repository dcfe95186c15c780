package proxy

import (
	"net/http"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
)

// The weights of a model answer's cost: generating a token takes the engine
// about four times the work of reading one.
const (
	promptTokenCost    = 1
	generatedTokenCost = 4
	// bytesPerToken is the rough size of a prompt's tokens, for the cost until
	// the engine has told the usage.
	bytesPerToken = 4
	// maxTokens bounds what an engine's usage is believed.
	maxTokens = 1 << 32
)

const chatPath = "/v1/chat/completions"

// engineRefused are the statuses by which an engine refuses before running: no
// room, leaving, and no such model here.
var engineRefused = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound}

// modelRun is a request to a model on its way.
type modelRun struct {
	*run
	body   []byte
	answer wholeAnswer
	caller *callerStream // of a streamed answer; nil until its first token
	held   heldParts
}

// serveWhole runs a request whose answer comes in one piece.
func (m *modelRun) serveWhole() {
	if m.attempts(m.tryWhole) {
		m.send(m.answer)
	}
}

// chat returns the call of the current attempt.
func (m *modelRun) chat(s *slot) backend.Call {
	call := m.call(s)
	call.Method = http.MethodPost
	call.Path = chatPath
	call.Header = backend.CleanRequest(m.r.Header)
	call.Body = m.body
	call.Refused = engineRefused
	call.Echo = true
	return call
}

// tryWhole runs the request at the slot's engine and takes its answer whole.
func (m *modelRun) tryWhole(s *slot) attempt.Action {
	answer, failure := m.p.Backend.Do(m.ctx, m.chat(s))
	if failure != nil {
		return m.lost(s, failure)
	}
	defer answer.Close()
	m.x.Step(m.event(attempt.Header))
	return m.takeWhole(s, answer)
}

// takeWhole reads an answer that comes in one piece.
func (m *modelRun) takeWhole(s *slot, answer *backend.Answer) attempt.Action {
	body, whole, failure := answer.ReadUpTo(maxBuffered)
	if failure != nil {
		return m.lost(s, failure)
	}
	if !whole {
		return m.lost(s, notWhole(backend.ErrTooLarge))
	}
	if failure := m.check(s, answer.Status, body); failure != nil {
		return m.lost(s, failure)
	}
	s.sawFirst()
	m.finish.First = m.p.Now().Sub(m.began)
	m.answer = wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	return m.x.Step(m.event(attempt.AnswerComplete))
}

// check accepts a whole completion, and an engine's complaint about the
// request. Other statuses say that the engine failed.
func (m *modelRun) check(s *slot, status int, body []byte) *backend.Error {
	switch {
	case status == http.StatusOK:
		usage, failure := backend.CheckCompletion(body)
		if failure == nil {
			s.progress(costOf(usage))
		}
		return failure
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusConflict:
		return nil
	default:
		return notWhole(backend.ErrServerFailed)
	}
}

// notWhole is a failure found in an answer.
func notWhole(cause error) *backend.Error {
	return &backend.Error{Stage: backend.StageBody, Outcome: attempt.Unknown, Err: cause}
}

// lost steps the exchange by a failure and, unless the attempt goes on, stops
// what may still run at the engine.
func (m *modelRun) lost(s *slot, failure *backend.Error) attempt.Action {
	action := m.failed(failure)
	if action != attempt.Resume && m.x.Last() == attempt.Unknown {
		m.cancelAt(s)
	}
	return action
}

// cancelAt stops the current attempt at its engine, without waiting for it.
func (m *modelRun) cancelAt(s *slot) {
	server, id, number := s.Server(), m.want.ID, m.x.Attempts()
	go m.p.cancelAt(m.ctx, server, id, number)
}

// costOf is the cost of a model answer. An engine that counts wrongly neither
// gives its customers service back nor lets the sums overflow.
func costOf(u backend.Usage) msg.Cost {
	prompt := min(max(u.Prompt, 0), maxTokens)
	completion := min(max(u.Completion, 0), maxTokens)
	return msg.Cost(promptTokenCost*prompt + generatedTokenCost*completion)
}

// costSoFar is a rough cost until the usage is known.
func (m *modelRun) costSoFar(tokens int64) msg.Cost {
	prompt := int64(len(m.body) / bytesPerToken)
	return costOf(backend.Usage{Prompt: prompt, Completion: tokens})
}
