package attempt

// Policy determines which retries and resumptions are allowed for a request.
type Policy struct {
	Repeat      bool // the request may run again after an unknown outcome
	Resume      bool // the server can resume its answer from a position
	MaxAttempts int  // maximum number of attempts, at least 1
	MaxResumes  int  // maximum number of resumptions over all attempts
}

// Kind is the type of an Event.
type Kind int

// The events of an exchange with a backend server.
const (
	DialFailed        Kind = iota + 1 // no connection was established, or no byte was written
	Wrote                             // a byte of the request may have been sent
	Refusal                           // the server refused the request before running it
	Header                            // the answer's header arrived and its identity was verified
	Token                             // the part of the answer at Position arrived
	AnswerComplete                    // the answer is complete
	Interrupted                       // the connection broke, or the answer was malformed
	Mismatch                          // the answer belongs to another request or attempt
	ResumeUnavailable                 // the server no longer has the answer to resume
	RetryDenied                       // the requested retry or resumption was not allowed
	Expired                           // the deadline passed, or the caller disconnected
)

// Event is an event on one leg of an attempt. Legs number the connections of an attempt: 0 for the
// first, one more for each resumption.
type Event struct {
	Kind     Kind
	Attempt  int
	Leg      int
	Position int64 // position of a Token
}

// Action is what the caller of Step has to do next.
type Action int

// The actions.
const (
	Continue Action = iota + 1 // wait for the next event
	Deliver                    // pass the token to the caller
	Drop                       // ignore the event: it is late or a duplicate
	Resume                     // resume the answer at the same server from Next
	Retry                      // start another attempt, at another server
	Finish                     // the caller has, or may now have, the complete response
	Fail                       // report Outcome to the caller; no part of the answer was delivered
	Abort                      // close the caller's connection: part of the answer was delivered
)

// Exchange is the state machine of one request over all its attempts. Use [NewExchange] to create
// one; the zero value is not usable. It must be used from a single goroutine.
type Exchange struct {
	policy   Policy
	attempt  int   // number of the current attempt, from 1; 0 before the first
	leg      int   // number of the current leg of the attempt
	resumes  int   // resumptions used so far
	next     int64 // position of the first token not yet delivered
	wrote    bool  // a byte may have been sent in this attempt
	header   bool  // the header arrived in this leg
	unknown  bool  // an earlier attempt may have run
	refused  bool  // some attempt was refused
	last     Outcome
	finished bool // the answer is complete
	over     bool // finished, failed or aborted: all further events are ignored
}

// NewExchange returns an exchange without attempts.
func NewExchange(r Policy) *Exchange { return &Exchange{policy: r} }

// BeginAttempt starts the next attempt and returns its number.
func (x *Exchange) BeginAttempt() int {
	x.attempt++
	x.leg = 0
	x.wrote = false
	x.header = false
	return x.attempt
}

// BeginLeg starts the next leg of the current attempt and returns its number.
func (x *Exchange) BeginLeg() int {
	x.leg++
	x.resumes++
	x.header = false
	return x.leg
}

// Next returns the position of the first token not yet delivered.
func (x *Exchange) Next() int64 { return x.next }

// Leg returns the number of the current attempt's leg.
func (x *Exchange) Leg() int { return x.leg }

// Attempts returns how many attempts have begun.
func (x *Exchange) Attempts() int { return x.attempt }

// Last returns the outcome of the latest completed attempt, or 0 if there is none.
func (x *Exchange) Last() Outcome { return x.last }

// Outcome returns the known outcome of the request over all its attempts. It is NotSent until the
// first attempt has written a byte.
func (x *Exchange) Outcome() Outcome {
	switch {
	case x.finished:
		return Completed
	case x.unknown || x.wrote:
		return Unknown
	case x.refused:
		return Refused
	default:
		return NotSent
	}
}

// Step processes an event and returns the next action. After Finish, Fail or Abort it returns Drop
// for every event.
func (x *Exchange) Step(e Event) Action {
	if x.over || e.Attempt != x.attempt || e.Leg != x.leg {
		return Drop
	}
	switch e.Kind {
	case Wrote:
		x.wrote = true
		return Continue
	case Header:
		x.wrote = true
		x.header = true
		return Continue
	case Token:
		return x.token(e.Position)
	case AnswerComplete:
		return x.answerComplete()
	case DialFailed:
		return x.dialFailed()
	case Refusal:
		return x.refusal()
	case Interrupted:
		return x.interrupted()
	case Mismatch, ResumeUnavailable:
		return x.lost()
	case Expired:
		return x.expired()
	default: // Denied
		return x.giveUp()
	}
}

// expired ends the current attempt, if there is one.
func (x *Exchange) expired() Action {
	x.last = NotSent
	if x.wrote {
		x.last = Unknown
	}
	return x.giveUp()
}

// token delivers only the token at the next position. An earlier one was already delivered; a later
// one leaves a gap, which counts as an interruption.
func (x *Exchange) token(pos int64) Action {
	switch {
	case !x.header:
		return x.lost()
	case pos < x.next:
		return Drop
	case pos > x.next:
		return x.interrupted()
	}
	x.next++
	return Deliver
}

// answerComplete finishes the exchange if the header has arrived.
func (x *Exchange) answerComplete() Action {
	if !x.header {
		return x.lost()
	}
	x.finished = true
	x.over = true
	x.last = Completed
	return Finish
}

// dialFailed handles a failed dial. On the first leg nothing was sent, so that another server may be
// tried. On a later leg the request has already run, and the same server is asked again.
func (x *Exchange) dialFailed() Action {
	if x.leg > 0 {
		return x.interrupted()
	}
	if x.wrote {
		return x.lost()
	}
	x.last = NotSent
	return x.retry()
}

// refusal handles a refusal. On the first leg another server may be tried.
func (x *Exchange) refusal() Action {
	if x.leg > 0 {
		return x.lost()
	}
	x.refused = true
	x.wrote = false
	x.last = Refused
	return x.retry()
}

// interrupted resumes the answer if part of it was delivered and the server supports it.
func (x *Exchange) interrupted() Action {
	if x.policy.Resume && x.next > 0 && x.resumes < x.policy.MaxResumes {
		x.last = Unknown
		return Resume
	}
	return x.lost()
}

// lost ends the attempt with an unknown outcome, or as not sent if nothing was written.
func (x *Exchange) lost() Action {
	if !x.wrote && x.leg == 0 {
		x.last = NotSent
		return x.retry()
	}
	x.unknown = true
	x.last = Unknown
	if x.policy.Repeat && x.next == 0 {
		return x.retry()
	}
	return x.giveUp()
}

// retry requests another attempt if any are left.
func (x *Exchange) retry() Action {
	if x.attempt < x.policy.MaxAttempts {
		return Retry
	}
	return x.giveUp()
}

// giveUp ends the exchange without a complete response.
func (x *Exchange) giveUp() Action {
	x.over = true
	if x.next > 0 {
		return Abort
	}
	return Fail
}
