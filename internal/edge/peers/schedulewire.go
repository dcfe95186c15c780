package peers

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/state"
)

// scheduleMessage is the content of a heartbeat of kindSchedule. Earlier releases ignore it, since the
// heartbeat has no ControlAddr.
type scheduleMessage struct {
	_         struct{}       `cbor:",toarray"`
	From      string         // control address of the sender
	Asks      []wireAsk      // to a scheduler
	Decisions []wireDecision // on asks of the receiver
	Withdrawn []uint64       // IDs of asks on which the sender no longer waits for a decision
	Queued    []uint64       // IDs of asks of the receiver that are queued at the sender
}

// wireAsk is a state.Ask. Its router is the sender of the message.
type wireAsk struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Service   string
	Customer  string
	Priority  int
	Prompt    []wirePart
	TokensOut int
	BodyBytes int
	Regions   []string // nil: any
	Tried     []string
	TargetMs  int64
	AgeMs     int64
	Admitted  bool
}

// wirePart is a part of a prompt.
type wirePart struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tokens int
}

// wireDecision is a state.Decision. The numbers of verdicts and reasons stay the same over releases.
type wireDecision struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64
	Verdict        state.Verdict
	Server         routing.ServerKey
	WaitUs         int64
	ProcessingUs   int64
	UncachedTokens int
	TokensAhead    float32
	FetchFrom      string
	Reason         state.RefusalReason
	RetryAfterMs   int64
	Shortage       bool
}

func askToWire(a state.Ask) wireAsk {
	w := wireAsk{
		ID:        a.ID,
		Service:   a.Service,
		Customer:  a.Customer,
		Priority:  a.Priority,
		TokensOut: a.TokensOut,
		BodyBytes: a.BodyBytes,
		Regions:   a.AllowedRegions,
		Tried:     a.Tried,
		TargetMs:  a.Target.Milliseconds(),
		AgeMs:     a.Age.Milliseconds(),
		Admitted:  a.Admitted,
	}
	for _, part := range a.Prompt {
		w.Prompt = append(w.Prompt, wirePart{ID: part.ID, Tokens: part.Tokens})
	}
	return w
}

// ask decodes an ask of a router that has waited on this host for the given time.
func (w wireAsk) ask(from string, waited time.Duration) state.Ask {
	a := state.Ask{
		From:           from,
		ID:             w.ID,
		Service:        w.Service,
		Customer:       w.Customer,
		Priority:       w.Priority,
		TokensOut:      w.TokensOut,
		BodyBytes:      w.BodyBytes,
		AllowedRegions: w.Regions,
		Tried:          w.Tried,
		Target:         time.Duration(w.TargetMs) * time.Millisecond,
		Age:            time.Duration(w.AgeMs)*time.Millisecond + waited,
		Admitted:       w.Admitted,
	}
	for _, part := range w.Prompt {
		a.Prompt = append(a.Prompt, routing.PromptPart{ID: part.ID, Tokens: part.Tokens})
	}
	return a
}

func decisionToWire(d state.Decision) wireDecision {
	return wireDecision{
		ID:             d.ID,
		Verdict:        d.Verdict,
		Server:         d.Server,
		WaitUs:         d.Wait.Microseconds(),
		ProcessingUs:   d.Processing.Microseconds(),
		UncachedTokens: d.UncachedTokens,
		TokensAhead:    float32(d.TokensAhead),
		FetchFrom:      d.FetchFrom,
		Reason:         d.Reason,
		RetryAfterMs:   d.RetryAfter.Milliseconds(),
		Shortage:       d.Shortage,
	}
}

// decision decodes a decision on an ask of the router to. One of a later release that this router
// doesn't understand counts as declined.
func (w wireDecision) decision(to string) state.Decision {
	if !w.Verdict.Known() || !w.Reason.Known() {
		return state.Decision{From: to, ID: w.ID}
	}
	return state.Decision{
		From:           to,
		ID:             w.ID,
		Verdict:        w.Verdict,
		Server:         w.Server,
		Wait:           time.Duration(w.WaitUs) * time.Microsecond,
		Processing:     time.Duration(w.ProcessingUs) * time.Microsecond,
		UncachedTokens: w.UncachedTokens,
		TokensAhead:    float64(w.TokensAhead),
		FetchFrom:      w.FetchFrom,
		Reason:         w.Reason,
		RetryAfter:     time.Duration(w.RetryAfterMs) * time.Millisecond,
		Shortage:       w.Shortage,
	}
}
