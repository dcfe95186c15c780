package proxy

import (
	"time"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/dispatch"
)

// slot is a slot that is ended once.
type slot struct {
	dispatch.Slot
	now   func() time.Time
	began time.Time
	first time.Duration
	cost  msg.Cost
	ended bool
}

// progress reports the total cost so far.
func (s *slot) progress(c msg.Cost) {
	s.cost = c
	s.Progress(c)
}

// sawFirst notes that the first token or byte came.
func (s *slot) sawFirst() {
	if s.first == 0 {
		s.first = s.now().Sub(s.began)
	}
}

// end gives the slot back. Later calls do nothing.
func (s *slot) end(o attempt.Outcome, failure *backend.Error) {
	if s.ended {
		return
	}
	s.ended = true
	if o == attempt.NotSent || o == attempt.Refused {
		s.cost = 0
	}
	result := dispatch.Result{
		Outcome: o,
		Cost:    s.cost,
		First:   s.first,
		Total:   s.now().Sub(s.began),
	}
	if failure != nil {
		result.Leaving = failure.Leaving
		result.Busy = failure.Busy
	}
	s.End(result)
}
