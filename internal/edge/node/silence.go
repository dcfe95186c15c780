package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
)

// silence closes connections of callers that are silent for longer than the
// configuration in force allows: before their first request's header is whole,
// and between two requests. The listener's own limits are fixed at its start and
// bound it from above.
type silence struct {
	limits func() routing.Limits

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// newSilence returns a watch over no connection yet.
func newSilence(limits func() routing.Limits) *silence {
	return &silence{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// changed takes a connection's new state; it is the http.Server's ConnState.
func (s *silence) changed(c net.Conn, to http.ConnState) {
	switch to {
	case http.StateNew:
		s.await(c, s.limits().HeaderTimeout)
	case http.StateIdle:
		s.await(c, s.limits().IdleTimeout)
	case http.StateActive:
		s.await(c, 0)
	case http.StateHijacked, http.StateClosed:
		s.forget(c)
	}
}

// await closes the connection after d without another state; 0: never.
func (s *silence) await(c net.Conn, d time.Duration) {
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
		// The server that reads from the connection learns of the close and logs it.
		s.timers[c] = time.AfterFunc(d, func() { _ = c.Close() })
	}
}

// forget ends the watch over the connection.
func (s *silence) forget(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.timers[c]; t != nil {
		t.Stop()
		delete(s.timers, c)
	}
}
