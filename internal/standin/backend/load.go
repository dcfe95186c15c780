package backend

import (
	"sync"
	"time"
)

// Load is the body of GET /v1/load.
type Load struct {
	Slots   int      `json:"slots"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	AgeMs   int64    `json:"ageMs"` // how old the figures are
	Leaving bool     `json:"leaving"`
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
}

type sample struct {
	at      time.Time
	running int
	queued  int
}

// LoadHistory remembers how loaded a server was, to report it late. Its
// methods may be called from any goroutine.
type LoadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	samples []sample // oldest first; the first is the newest that is old enough
}

// NewLoadHistory returns a history that reports figures at least lag old.
func NewLoadHistory(lag time.Duration) *LoadHistory {
	return &LoadHistory{lag: lag, samples: []sample{{at: time.Now()}}}
}

// Note remembers the load of now.
func (h *LoadHistory) Note(running, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.prune(now)
	h.samples = append(h.samples, sample{at: now, running: running, queued: queued})
}

// Report returns what is known of the load a lag ago.
func (h *LoadHistory) Report() (running, queued int, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(time.Now())
	first := h.samples[0]
	return first.running, first.queued, h.lag
}

// prune drops the samples that a newer one, old enough, replaces.
func (h *LoadHistory) prune(now time.Time) {
	for len(h.samples) > 1 && !h.samples[1].at.Add(h.lag).After(now) {
		h.samples = h.samples[1:]
	}
}
