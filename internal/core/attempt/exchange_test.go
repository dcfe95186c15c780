package attempt

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// tokens is how long the server's answer is in these tests.
const tokens = 3

// point is where one leg of an exchange breaks.
type point int

const (
	atDial point = iota
	withinRequest
	afterRequest
	atRefusal
	foreignAnswer
	afterHeader
	afterToken
	beforeClosing
	gapInTokens
	resumeAbsent
	deadline
	nowhere // the leg is whole
	points
)

// world is the oracle: what a server really did, and what the caller got.
type world struct {
	mayHaveRun int // attempts of which a byte left and that were not refused
	delivered  int64
	closed     bool
}

// leg plays one leg of an exchange and returns the last action.
func (w *world) leg(x *Exchange, p point) Action {
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
		return step(Cut, 0)
	case foreignAnswer:
		return step(Foreign, 0)
	case resumeAbsent:
		return step(CantResume, 0)
	}
	step(Header, 0)
	if p == afterHeader {
		return step(Cut, 0)
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
			return 0 // a token twice
		}
		if p == afterToken {
			return step(Cut, 0)
		}
	}
	if p == nowhere {
		w.closed = true
		return step(Closing, 0)
	}
	return step(Cut, 0)
}

// play runs a whole exchange whose legs break at the given points. It returns
// what was wrong, if anything.
func (w *world) play(r Rule, at []point, allowed int) string {
	x := NewExchange(r)
	x.BeginAttempt()
	for i := 0; ; i++ {
		action := w.leg(x, at[min(i, len(at)-1)])
		if (action == Retry || action == Resume) && i >= allowed {
			action = x.Step(Event{Kind: Denied, Attempt: x.Attempts(), Leg: x.Leg()})
		}
		if wrong := w.judge(r, x, action); wrong != "" {
			return fmt.Sprintf("leg %d: %s", i, wrong)
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

// judge returns what is wrong with an action in view of what really happened.
func (w *world) judge(r Rule, x *Exchange, action Action) string {
	if x.Last() == 0 {
		return "the attempt has no outcome"
	}
	switch action {
	case Retry:
		if !r.Repeat && w.mayHaveRun > 0 {
			return "repeated what may have run"
		}
		if w.delivered > 0 || x.Attempts() >= r.MaxAttempts {
			return "begun anew within an answer, or too often"
		}
	case Resume:
		if !r.Resume || w.delivered == 0 || x.Next() != w.delivered {
			return "resumed from a wrong position"
		}
	case Finish:
		if !w.closed || w.delivered != tokens || x.Outcome() != Ended {
			return "a cut answer taken for a whole one"
		}
		return deaf(x)
	case Fail:
		if w.delivered > 0 || (x.Outcome().Ran() == "no") != (w.mayHaveRun == 0) {
			return "untrue refusal"
		}
		return deaf(x)
	case Break:
		if w.delivered == 0 || x.Outcome() != Unknown {
			return "broken without need"
		}
		return deaf(x)
	default:
		return fmt.Sprint("no end: action ", action)
	}
	return ""
}

// deaf checks that an exchange that is over takes nothing more.
func deaf(x *Exchange) string {
	for k := DialFailed; k <= Expired; k++ {
		if x.Step(Event{Kind: k, Attempt: x.Attempts(), Leg: x.Leg(), Position: x.Next()}) != Drop {
			return "took an event after its end"
		}
	}
	return ""
}

// Every combination of points at which up to four legs break, under every rule.
func TestEveryPointOfBreaking(t *testing.T) {
	rules := []Rule{
		{MaxAttempts: 1},
		{MaxAttempts: 3},
		{MaxAttempts: 3, Repeat: true},
		{MaxAttempts: 3, Repeat: true, Resume: true, MaxResumes: 2},
		{MaxAttempts: 2, Resume: true, MaxResumes: 1},
	}
	for _, r := range rules {
		for n := 0; n < int(points*points*points*points); n++ {
			at := make([]point, 4)
			for i, rest := 0, n; i < len(at); i++ {
				at[i] = point(rest % int(points))
				rest /= int(points)
			}
			for allowed := range 4 {
				if wrong := new(world).play(r, at, allowed); wrong != "" {
					t.Fatalf("%+v broken at %v, %d retries allowed: %s", r, at, allowed, wrong)
				}
			}
		}
	}
}

// A late event of an earlier attempt or leg changes nothing.
func TestLateEventsAreDropped(t *testing.T) {
	x := NewExchange(Rule{Repeat: true, Resume: true, MaxAttempts: 3, MaxResumes: 2})
	x.BeginAttempt()
	assert.Equal(t, x.Step(Event{Kind: Wrote, Attempt: 1}), Continue)
	assert.Equal(t, x.Step(Event{Kind: Cut, Attempt: 1}), Retry)
	x.BeginAttempt()
	for k := DialFailed; k <= Expired; k++ {
		assert.Equal(t, x.Step(Event{Kind: k, Attempt: 1}), Drop)
	}
	x.Step(Event{Kind: Header, Attempt: 2})
	assert.Equal(t, x.Step(Event{Kind: Token, Attempt: 2}), Deliver)
	assert.Equal(t, x.Step(Event{Kind: Cut, Attempt: 2}), Resume)
	leg := x.BeginLeg()
	assert.Equal(t, x.Step(Event{Kind: Token, Attempt: 2, Leg: 0, Position: 1}), Drop)
	x.Step(Event{Kind: Header, Attempt: 2, Leg: leg})
	assert.Equal(t, x.Step(Event{Kind: Token, Attempt: 2, Leg: leg, Position: 0}), Drop)
	assert.Equal(t, x.Step(Event{Kind: Token, Attempt: 2, Leg: leg, Position: 1}), Deliver)
	assert.Equal(t, x.Step(Event{Kind: Closing, Attempt: 2, Leg: leg}), Finish)
}

// An answer without a header that names the request is never whole.
func TestNoAnswerWithoutItsHeader(t *testing.T) {
	x := NewExchange(Rule{MaxAttempts: 1})
	x.BeginAttempt()
	x.Step(Event{Kind: Wrote, Attempt: 1})
	assert.Equal(t, x.Step(Event{Kind: Closing, Attempt: 1}), Fail)
	assert.Equal(t, x.Outcome(), Unknown)
}

// A stream that is cut again and again is resumed a bounded number of times.
func TestResumptionsAreBounded(t *testing.T) {
	x := NewExchange(Rule{Repeat: true, Resume: true, MaxAttempts: 3, MaxResumes: 5})
	x.BeginAttempt()
	action, resumes := Resume, 0
	for ; action == Resume && resumes < 100; resumes++ {
		leg := x.Leg()
		x.Step(Event{Kind: Header, Attempt: 1, Leg: leg})
		x.Step(Event{Kind: Token, Attempt: 1, Leg: leg, Position: x.Next()})
		if action = x.Step(Event{Kind: Cut, Attempt: 1, Leg: leg}); action == Resume {
			x.BeginLeg()
		}
	}
	assert.Equal(t, action, Break)
	assert.Equal(t, resumes, 6) // the first leg and five resumptions
}
