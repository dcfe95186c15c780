package front

import (
	"context"
	"sync"
)

// cancelRegistry holds the cancel functions of the requests in flight.
type cancelRegistry struct {
	mu      sync.Mutex
	cancels map[*request]context.CancelFunc
}

func (r *cancelRegistry) add(q *request, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = map[*request]context.CancelFunc{}
	}
	r.cancels[q] = cancel
}

func (r *cancelRegistry) remove(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, q)
}

// CancelExpired cancels the requests whose deadline passed while the host was suspended. System
// timers stop during a suspension, and would cancel the requests late by its length.
func (h *Handler) CancelExpired() {
	h.cancels.mu.Lock()
	defer h.cancels.mu.Unlock()
	for q, cancel := range h.cancels.cancels {
		if q.remaining() <= 0 {
			cancel()
		}
	}
}
