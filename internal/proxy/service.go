package proxy

import (
	stderrors "errors"
	"time"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/events"
)

// serviceRun is a call to a plain service on its way.
type serviceRun struct {
	*run
	service settings.Service
	path    string // decoded
	rawPath string // as it is sent
	body    []byte
	once    bool         // the settings list it as not to be repeated
	guard   func() error // asked before each write, see backend.Call; nil: none
	fence   string       // fencing number of the claim; empty: the server checks none
	answer  wholeAnswer
	sent    bool     // the answer was long and went out as it came
	claim   *claimed // nil: no key, or it need not be claimed
}

// serve runs the call and answers.
func (s *serviceRun) serve() {
	if !s.attempts(s.try) {
		return
	}
	if !s.sent {
		s.send(s.answer)
	}
}

// try runs the call at the slot's server.
func (s *serviceRun) try(slot *slot) attempt.Action {
	call := s.call(slot)
	call.Method = s.r.Method
	call.Path = s.path
	call.RawPath = s.rawPath
	call.Query = s.r.URL.RawQuery
	call.Header = backend.CleanRequest(s.r.Header)
	if s.fence != "" {
		call.Header.Set(backend.HeaderFence, s.fence)
	}
	call.Body = s.body
	call.NewConn = s.once
	call.Guard = s.guard
	call.ChecksFence = s.fence != ""
	call.Refused = s.service.RefusedStatus
	answer, failure := s.p.Backend.Do(s.ctx, call)
	if failure != nil {
		slot.progress(busy(slot))
		return s.notAnswered(failure)
	}
	defer answer.Close()
	s.x.Step(s.event(attempt.Header))
	slot.sawFirst()
	s.finish.First = s.p.Now().Sub(s.began)
	return s.read(slot, answer)
}

// notAnswered steps the exchange by a failure before the answer. A lapsed claim
// is over: another server would get the call too late as well.
func (s *serviceRun) notAnswered(failure *backend.Error) attempt.Action {
	var lapsed claim.LeaseExpiredError
	switch {
	case stderrors.As(failure, &lapsed):
		s.logLease(events.ClaimLapsed)
	case stderrors.Is(failure, backend.ErrFence):
		s.logLease(events.ClaimFenced)
	default:
		return s.failed(failure)
	}
	action := s.failed(failure)
	if action == attempt.Retry {
		action = s.x.Step(s.event(attempt.RetryDenied))
	}
	return action
}

// read takes the answer whole before any of it goes out, if it is not too long.
// The slot's cost is told also where the caller's connection is broken.
func (s *serviceRun) read(slot *slot, answer *backend.Answer) attempt.Action {
	defer func() { slot.progress(busy(slot)) }()
	body, whole, failure := answer.ReadUpTo(maxBuffered)
	if failure == nil && !whole {
		s.sendLong(answer, body)
		s.sent = true
	}
	if failure != nil {
		return s.failed(failure)
	}
	s.answer = wholeAnswer{status: answer.Status, header: answer.Header, body: body, length: answer.Length}
	return s.x.Step(s.event(attempt.AnswerComplete))
}

// busy is the cost of a call to a plain service: how long it held its slot, in
// microseconds.
func busy(s *slot) msg.Cost {
	return msg.Cost(s.now().Sub(s.began) / time.Microsecond)
}
