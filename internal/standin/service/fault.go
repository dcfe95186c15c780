package service

import "github.com/windscale/windscale/internal/standin/backend"

// Mode is how the service behaves.
type Mode string

// The modes of the service.
const (
	OK        Mode = "ok"
	CutBefore Mode = "cut-before" // runs, then breaks the connection without an answer
	CutWithin Mode = "cut-within" // runs, then breaks the connection within the answer
	Refuse    Mode = "refuse"     // answers 503 before running
	Busy      Mode = "busy"       // answers 429 before running
	Die       Mode = "die"        // breaks every connection, runs nothing
	Leaving   Mode = "leaving"    // refuses new work and says that it leaves
)

// Fault is the body of POST /_fault.
type Fault struct {
	Mode  Mode `json:"mode"`
	Count int  `json:"count"` // requests it holds for; 0: until the next change
}

func (f Fault) valid() bool {
	switch f.Mode {
	case OK, CutBefore, CutWithin, Refuse, Busy, Die, Leaving:
		return f.Count >= 0
	}
	return false
}

func newFaults() *backend.Faults[Fault] {
	return backend.NewFaults(Fault{Mode: OK}, func(f *Fault) *int { return &f.Count })
}
