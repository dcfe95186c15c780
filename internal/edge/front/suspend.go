package front

import (
	"context"
	"sync"
)

// inFlight are the requests that are being served, with what ends each.
type inFlight struct {
	mu sync.Mutex
	by map[*request]context.CancelFunc
}

func (f *inFlight) begin(q *request, cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.by == nil {
		f.by = map[*request]context.CancelFunc{}
	}
	f.by[q] = cancel
}

func (f *inFlight) end(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.by, q)
}

// Resumed ends the requests whose time was over while the host was suspended: the system's
// timers stood still, and would end them later by as much.
func (h *Handler) Resumed() {
	h.inFlight.mu.Lock()
	defer h.inFlight.mu.Unlock()
	for q, cancel := range h.inFlight.by {
		if q.remaining() <= 0 {
			cancel()
		}
	}
}
