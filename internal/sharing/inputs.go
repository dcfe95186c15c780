package sharing

import (
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// Step takes a peer's message.
func (s *Sharer) Step(from msg.RouterID, m *share.Message) {
	s.do(func(n *share.Node, now time.Duration) { n.Step(now, from, m) })
}

// SetMembers replaces the live routers.
func (s *Sharer) SetMembers(list []share.Member) {
	s.do(func(n *share.Node, now time.Duration) { n.SetMembers(now, list) })
}

// SetServers replaces the backend servers that may be given new work.
func (s *Sharer) SetServers(list []msg.ServerID) {
	s.do(func(n *share.Node, now time.Duration) { n.SetServers(now, list) })
}

// SetSettings says which version of the settings is in force here.
func (s *Sharer) SetSettings(version uint64) {
	s.do(func(n *share.Node, now time.Duration) { n.SetSettings(now, version) })
}

// Load takes a server's load report.
func (s *Sharer) Load(r share.LoadReport) {
	r.Slots = (r.Slots + s.split - 1) / s.split
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[r.Server] = r
	s.locked(func(n *share.Node, now time.Duration) { n.Load(now, r) })
}

// Waiting is the number of requests in Acquire.
func (s *Sharer) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// Report returns the last load report that this router had of a server.
func (s *Sharer) Report(id msg.ServerID) (share.LoadReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.reports[id]
	return r, ok
}
