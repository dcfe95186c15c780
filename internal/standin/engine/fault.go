package engine

import (
	"time"

	"github.com/windscale/windscale/internal/standin/backend"
)

// Mode is how the engine behaves.
type Mode string

// The modes of the engine.
const (
	OK               Mode = "ok"
	CutAfter         Mode = "cut-after"          // breaks the connection after a number of tokens
	Die              Mode = "die"                // stops all that runs and breaks every connection
	Refuse           Mode = "refuse"             // answers 503 before running
	Busy             Mode = "busy"               // answers 429 before running
	SlowFirst        Mode = "slow-first"         // holds the first token back
	EchoWrongID      Mode = "echo-wrong-id"      // answers another request, with its id
	CloseWithoutDone Mode = "close-without-done" // ends the body in good order, without the last events
	Leaving          Mode = "leaving"            // refuses new work and says that it leaves
)

// Fault is the body of POST /_fault.
type Fault struct {
	Mode    Mode `json:"mode"`
	Count   int  `json:"count"`   // requests it holds for; 0: until the next change
	After   int  `json:"after"`   // cut-after, close-without-done: tokens sent before
	DelayMs int  `json:"delayMs"` // slow-first: how long
}

func (f Fault) valid() bool {
	switch f.Mode {
	case OK, CutAfter, Die, Refuse, Busy, SlowFirst, EchoWrongID, CloseWithoutDone, Leaving:
		return f.Count >= 0 && f.After >= 0 && f.DelayMs >= 0
	}
	return false
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

func newFaults() *backend.Faults[Fault] {
	return backend.NewFaults(Fault{Mode: OK}, func(f *Fault) *int { return &f.Count })
}
