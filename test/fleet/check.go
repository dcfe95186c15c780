package fleet

import (
	"fmt"
	"slices"
)

// Request is what a caller saw of one request: a line of windscale-load's
// request log.
type Request struct {
	Customer string  `json:"customer"`
	Kind     string  `json:"kind"`
	ID       string  `json:"id"`  // Windscale-Request of the answer, if it came
	Key      string  `json:"key"` // Idempotency-Key, if any
	Outcome  Outcome `json:"outcome"`
	Run      string  `json:"run"`  // Windscale-Run of a refusal
	Type     string  `json:"type"` // problem type of a refusal
	Router   string  `json:"router"`
	StartMs  float64 `json:"startMs"` // since the load began
	FirstMs  float64 `json:"firstMs"` // the answer's first token or byte
	EndMs    float64 `json:"endMs"`
	Tokens   int     `json:"tokens"` // prompt and answer
}

// Outcome is what became of a request, as its caller saw it.
type Outcome string

// The outcomes. A request without an answer is unknown to its caller.
const (
	Whole   Outcome = "whole"
	Refused Outcome = "refused" // with "Windscale-Run: no"
	Unknown Outcome = "unknown" // with "Windscale-Run: unknown", or no or half an answer
	Wrong   Outcome = "wrong"   // passed as whole and not the request's own whole answer
)

// Execution is one entry of a backend server's record: an attempt that began
// to run.
type Execution struct {
	ID      string `json:"id"`
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	Ended   bool   `json:"ended"`
	Server  string `json:"-"`
}

// Verdict counts what became of the requests and what broke a promise.
type Verdict struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`

	Doubled     int      `json:"doubled"`     // executions per key above one
	Wrong       int      `json:"wrong"`       // wrong or cut answers passed as whole
	FalseNotRun int      `json:"falseNotRun"` // refused as not run, and had run
	NoRecord    int      `json:"noRecord"`    // whole answers that no server remembers
	Examples    []string `json:"examples,omitempty"`
}

// maxExamples bounds the breaches that are described one by one.
const maxExamples = 10

// Breaches is the number of broken promises.
func (v Verdict) Breaches() int { return v.Doubled + v.Wrong + v.FalseNotRun + v.NoRecord }

// Check holds what callers saw against what the servers ran. A call that may
// not be repeated counts as doubled by its key or, without one, by its request
// ID.
func Check(requests []Request, ran []Execution) Verdict {
	v := Verdict{Requests: len(requests)}
	byID := make(map[string][]Execution)
	byKey := make(map[string][]Execution)
	for _, e := range ran {
		byID[e.ID] = append(byID[e.ID], e)
		if e.Key != "" {
			byKey[e.Key] = append(byKey[e.Key], e)
		}
	}
	for _, r := range requests {
		v.count(r, byID[r.ID])
	}
	for key, all := range byKey {
		v.doubled("key "+key, all)
	}
	for _, r := range requests {
		if r.Key == "" && r.once() {
			v.doubled("request "+r.ID, byID[r.ID])
		}
	}
	slices.Sort(v.Examples)
	return v
}

// once says whether the request may not be repeated.
func (r Request) once() bool { return kindOf(r.Kind) == "booking" }

func (v *Verdict) count(r Request, ran []Execution) {
	switch r.Outcome {
	case Whole:
		v.Whole++
		if len(ran) == 0 && r.Key == "" { // with a key the answer may be a stored one
			v.NoRecord++
			v.example("whole, but in no server's record: %+v", r)
		}
	case Refused:
		v.Refused++
		if len(ran) > 0 {
			v.FalseNotRun++
			v.example("said not run, but ran: %+v: %+v", r, ran)
		}
	case Unknown:
		v.Unknown++
	default:
		v.Wrong++
		v.example("wrong: %+v", r)
	}
}

func (v *Verdict) doubled(what string, ran []Execution) {
	if len(ran) > 1 {
		v.Doubled += len(ran) - 1
		v.example("executed %d times: %s: %+v", len(ran), what, ran)
	}
}

func (v *Verdict) example(format string, args ...any) {
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}
