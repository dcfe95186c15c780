package front

import (
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// Metrics are the counters of the requests. Its methods may be called on nil.
type Metrics struct{}

func (m *Metrics) refused(*Refusal)                            {}
func (m *Metrics) cut()                                        {}
func (m *Metrics) left()                                       {}
func (m *Metrics) suspected()                                  {}
func (m *Metrics) answered(*routing.Route, int, time.Duration) {}
