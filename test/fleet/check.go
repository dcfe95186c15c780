package fleet

import (
	"fmt"
	"strings"

	"github.com/windscale/windscale/internal/load"
	"github.com/windscale/windscale/internal/standin/backend"
)

// Verdict counts what became of requests, and the promises that were broken.
type Verdict struct {
	Requests int `json:"requests"` // attempts of callers that reached a router
	Whole    int `json:"whole"`
	Refused  int `json:"refused"` // with "Windscale-Run: no"
	Held     int `json:"held"`    // the first request with the key was running
	Unknown  int `json:"unknown"` // no answer, half an answer, late, or "Windscale-Run: unknown"

	Doubled     int      `json:"doubled"`     // executions per key above one
	Wrong       int      `json:"wrong"`       // wrong or cut answers passed as whole
	FalseNotRun int      `json:"falseNotRun"` // said not run, and had run by the servers' record
	Unchecked   int      `json:"unchecked"`   // records that were not whole
	Examples    []string `json:"examples,omitempty"`
}

// Breaches is the number of broken promises; what could not be checked counts.
func (v Verdict) Breaches() int { return v.Doubled + v.Wrong + v.FalseNotRun + v.Unchecked }

// heldType is the problem type of a request whose key another one holds.
const heldType = "urn:windscale:problem:claim-running"

// AddBreaches adds the broken promises of other load, without its counts.
func (v *Verdict) AddBreaches(o Verdict) {
	v.Doubled += o.Doubled
	v.Wrong += o.Wrong
	v.FalseNotRun += o.FalseNotRun
	v.Unchecked += o.Unchecked
	v.Examples = append(v.Examples, o.Examples...)
}

// Judge sums up a report, which must hold the comparison with the records.
func Judge(r *load.Report) Verdict {
	var v Verdict
	for _, s := range r.Sections {
		v.Requests += s.Sent - s.NotSent
		v.Whole += s.Answered
		v.Refused += s.RefusedByRun["no"]
		held := s.RefusedByType[heldType]
		v.Held += held
		v.Unknown += s.Late + s.Unknown + s.Unfinished + s.Refused - s.RefusedByRun["no"] - held
		v.Wrong += s.Wrong
		if s.Wrong > 0 {
			v.example("%s: %v", s.Name, s.Reasons)
		}
	}
	if r.Records == nil {
		v.Unchecked++
		return v
	}
	v.Unchecked += len(r.Records.Unreadable) + r.Records.Dropped + r.Records.Unkept
	v.Doubled += len(r.Records.RunTwice)
	v.Wrong += len(r.Records.AnsweredNotRun)
	v.FalseNotRun += len(r.Records.FalseNotRun)
	v.examples("ran twice, key", r.Records.RunTwice)
	v.examples("answered without running, key", r.Records.AnsweredNotRun)
	v.examples("said not run, but ran, request", r.Records.FalseNotRun)
	return v
}

// maxExamples bounds the breaches of each kind that are named.
const maxExamples = 3

func (v *Verdict) examples(what string, ids []string) {
	for _, id := range ids[:min(len(ids), maxExamples)] {
		v.example("%s %s", what, id)
	}
}

func (v *Verdict) example(format string, args ...any) {
	v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
}

// Doubled returns what executed more than once though it may not be repeated,
// by key or, of bookings without one, by request ID.
func Doubled(ran []backend.Run) []string {
	times := make(map[string]int)
	var twice []string
	for _, r := range ran {
		if !strings.HasPrefix(r.Path, "POST /bookings") {
			continue
		}
		name := "request " + r.ID
		if r.Key != "" {
			name = "key " + r.Key
		}
		times[name]++
		if times[name] > 1 {
			twice = append(twice, name)
		}
	}
	return twice
}
