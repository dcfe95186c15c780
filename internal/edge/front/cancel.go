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

func (f *cancelRegistry) add(q *request, cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancels == nil {
		f.cancels = map[*request]context.CancelFunc{}
	}
	f.cancels[q] = cancel
}

func (f *cancelRegistry) remove(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancels, q)
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
