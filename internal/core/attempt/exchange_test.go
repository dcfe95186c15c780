package attempt

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// tokens is the length of the server's answer in these tests.
const tokens = 3

// failurePoint is the point at which one leg of an exchange fails.
type failurePoint int

const (
	atDial failurePoint = iota
	withinRequest
	afterRequest
	atRefusal
	mismatchedAnswer
	afterHeader
	afterToken
	beforeComplete
	gapInTokens
	resumeUnavailable
	deadline
	noFailure // the leg succeeds
	pointCount
)

// oracle records what the server really did and what the caller received.
type oracle struct {
	mayHaveRun int // attempts that sent at least a byte and were not refused
	delivered  int64
	closed     bool
}

// leg simulates one leg of an exchange and returns the last action.
func (w *oracle) leg(x *Exchange, p failurePoint) Action {
	step := func(k Kind, pos int64) Action {
		return x.Step(Event{Kind: k, Attempt: x.Attempts(), Leg: x.Leg(), Position: pos})
	}
	first := x.Leg() == 0
	if p == atDial {
		return step(DialFailed, 0)
	}
	if p == deadline {
		return step(Expired, 0)
	}
	step(Wrote, 0)
	if p == atRefusal {
		if !first {
			w.mayHaveRun++
		}
		return step(Refusal, 0)
	}
	if first {
		w.mayHaveRun++
	}
	switch p {
	case withinRequest, afterRequest:
		return step(Interrupted, 0)
	case mismatchedAnswer:
		return step(Mismatch, 0)
	case resumeUnavailable:
		return step(ResumeUnavailable, 0)
	}
	step(Header, 0)
	if p == afterHeader {
		return step(Interrupted, 0)
	}
	for pos := x.Next(); pos < tokens; pos++ {
		if p == gapInTokens {
			return step(Token, pos+1)
		}
		if a := step(Token, pos); a != Deliver {
			return a
		}
		w.delivered++
		if step(Token, pos) != Drop {
			return 0 // a duplicate token was delivered
		}
		if p == afterToken {
			return step(Interrupted, 0)
		}
	}
	if p == noFailure {
		w.closed = true
		return step(AnswerComplete, 0)
	}
	return step(Interrupted, 0)
}

// run simulates an exchange whose legs fail at the given points. It returns a description of the
// first violation, if any.
func (w *oracle) run(r Policy, at []failurePoint, allowed int) string {
	x := NewExchange(r)
	x.BeginAttempt()
	for i := 0; ; i++ {
		action := w.leg(x, at[min(i, len(at)-1)])
		if (action == Retry || action == Resume) && i >= allowed {
			action = x.Step(Event{Kind: RetryDenied, Attempt: x.Attempts(), Leg: x.Leg()})
		}
		if violation := w.check(r, x, action); violation != "" {
			return fmt.Sprintf("leg %d: %s", i, violation)
		}
		switch action {
		case Retry:
			x.BeginAttempt()
		case Resume:
			x.BeginLeg()
		default:
			return ""
		}
	}
}

// check returns a description of what is wrong with an action, given what really happened.
func (w *oracle) check(r Policy, x *Exchange, action Action) string {
	if x.Last() == 0 {
		return "the attempt has no outcome"
	}
	switch action {
	case Retry:
		if !r.Repeat && w.mayHaveRun > 0 {
			return "retried a request that may have run"
		}
		if w.delivered > 0 || x.Attempts() >= r.MaxAttempts {
			return "retried after part of the answer was delivered, or too often"
		}
	case Resume:
		if !r.Resume || w.delivered == 0 || x.Next() != w.delivered {
			return "resumed from a wrong position"
		}
	case Finish:
		if !w.closed || w.delivered != tokens || x.Outcome() != Completed {
			return "an incomplete answer was treated as complete"
		}
		return ignoresEvents(x)
	case Fail:
		if w.delivered > 0 || (x.Outcome().RunHeader() == "no") != (w.mayHaveRun == 0) {
			return "the refusal misstates whether the request has run"
		}
		return ignoresEvents(x)
	case Abort:
		if w.delivered == 0 || x.Outcome() != Unknown {
			return "aborted without need"
		}
		return ignoresEvents(x)
	default:
		return fmt.Sprint("unexpected action ", action)
	}
	return ""
}

// ignoresEvents checks that an exchange that is over drops all further events.
func ignoresEvents(x *Exchange) string {
	for k := DialFailed; k <= Expired; k++ {
		if x.Step(Event{Kind: k, Attempt: x.Attempts(), Leg: x.Leg(), Position: x.Next()}) != Drop {
			return "processed an event after the exchange was over"
		}
	}
	return ""
}

// Every combination of failure points on up to four legs, under every policy.
func TestAllFailurePoints(t *testing.T) {
	policies := []Policy{
		{MaxAttempts: 1},
		{MaxAttempts: 3},
		{MaxAttempts: 3, Repeat: true},
		{MaxAttempts: 3, Repeat: true, Resume: true, MaxResumes: 2},
		{MaxAttempts: 2, Resume: true, MaxResumes: 1},
	}
	for _, r := range policies {
		for n := 0; n < int(pointCount*pointCount*pointCount*pointCount); n++ {
			at := make([]failurePoint, 4)
			for i, rest := 0, n; i < len(at); i++ {
				at[i] = failurePoint(rest % int(pointCount))
				rest /= int(pointCount)
			}
			for allowed := range 4 {
				if violation := new(oracle).run(r, at, allowed); violation != "" {
					t.Fatalf("%+v with failures at %v, %d retries allowed: %s", r, at, allowed, violation)
				}
			}
		}
	}
}

// Late events of an earlier attempt or leg have no effect.
func TestLateEventsAreDropped(t *testing.T) {
	x := NewExchange(Policy{Repeat: true, Resume: true, MaxAttempts: 3, MaxResumes: 2})
	x.BeginAttempt()
	assert.Equal(t, x.Step(Event{Kind: Wrote, Attempt: 1}), Continue)
	assert.Equal(t, x.Step(Event{Kind: Interrupted, Attempt: 1}), Retry)
	x.BeginAttempt()
	for k := DialFailed; k <= Expired; k++ {
		assert.Equal(t, x.Step(Event{Kind: k, Attempt: 1}), Drop)
	}
	x.Step(Event{Kind: Header, Attempt: 2})
	assert.Equal(t, x.Step(Event{Kind: Token, Attempt: 2}), Deliver)
	assert.Equal(t, x.Step(Event{Kind: Interrupted, Attempt: 2}), Resume)
	leg := x.BeginLeg()
	assert.Equal(t, x.Step(Event{Kind: Token, Attempt: 2, Leg: 0, Position: 1}), Drop)
	x.Step(Event{Kind: Header, Attempt: 2, Leg: leg})
	assert.Equal(t, x.Step(Event{Kind: Token, Attempt: 2, Leg: leg, Position: 0}), Drop)
	assert.Equal(t, x.Step(Event{Kind: Token, Attempt: 2, Leg: leg, Position: 1}), Deliver)
	assert.Equal(t, x.Step(Event{Kind: AnswerComplete, Attempt: 2, Leg: leg}), Finish)
}

// An answer without a header that identifies the request is never complete.
func TestAnswerWithoutHeaderIsNotComplete(t *testing.T) {
	x := NewExchange(Policy{MaxAttempts: 1})
	x.BeginAttempt()
	x.Step(Event{Kind: Wrote, Attempt: 1})
	assert.Equal(t, x.Step(Event{Kind: AnswerComplete, Attempt: 1}), Fail)
	assert.Equal(t, x.Outcome(), Unknown)
}

// A stream that is interrupted repeatedly is resumed a bounded number of times.
func TestResumptionsAreBounded(t *testing.T) {
	x := NewExchange(Policy{Repeat: true, Resume: true, MaxAttempts: 3, MaxResumes: 5})
	x.BeginAttempt()
	action, resumes := Resume, 0
	for ; action == Resume && resumes < 100; resumes++ {
		leg := x.Leg()
		x.Step(Event{Kind: Header, Attempt: 1, Leg: leg})
		x.Step(Event{Kind: Token, Attempt: 1, Leg: leg, Position: x.Next()})
		if action = x.Step(Event{Kind: Interrupted, Attempt: 1, Leg: leg}); action == Resume {
			x.BeginLeg()
		}
	}
	assert.Equal(t, action, Abort)
	assert.Equal(t, resumes, 6) // the first leg and five resumptions
}
