package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// callerTimeouts closes caller connections that are silent for longer than the configuration
// in force allows: before the header of their first request is complete, and between two
// requests. The timeouts of http.Server are fixed at its start and only serve as upper bounds.
type callerTimeouts struct {
	limits func() routing.Limits

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// newCallerTimeouts returns callerTimeouts that watch no connection yet.
func newCallerTimeouts(limits func() routing.Limits) *callerTimeouts {
	return &callerTimeouts{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// connStateChanged updates the timer of a connection; it is the ConnState hook of http.Server.
func (s *callerTimeouts) connStateChanged(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.reset(c, s.limits().HeaderTimeout)
	case http.StateIdle:
		s.reset(c, s.limits().IdleTimeout)
	case http.StateActive:
		s.reset(c, 0)
	case http.StateHijacked, http.StateClosed:
		s.remove(c)
	}
}

// reset restarts the timer, which closes the connection after d; 0 stops it.
func (s *callerTimeouts) reset(c net.Conn, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.timers[c]
	switch {
	case d == 0 && t != nil:
		t.Stop()
	case d == 0:
	case t != nil:
		t.Reset(d)
	default:
		// The server that reads from the connection sees the close and logs it.
		s.timers[c] = time.AfterFunc(d, func() { _ = c.Close() })
	}
}

// remove stops watching the connection.
func (s *callerTimeouts) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.timers[c]; t != nil {
		t.Stop()
		delete(s.timers, c)
	}
}
