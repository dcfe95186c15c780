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
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Slots = (r.Slots + s.split - 1) / s.split
	s.reports[r.Server] = r
	s.locked(func(n *share.Node, now time.Duration) { n.Load(now, r) })
}

// SetSplit divides the slots of every server among n routers that share alone.
// It is the naive baseline that measurements compare with.
func (s *Sharer) SetSplit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.split = max(n, 1)
}

// SetQueueLimits bounds the waiting requests of this router, in bytes and
// number.
func (s *Sharer) SetQueueLimits(bytes int64, requests int) {
	s.do(func(n *share.Node, _ time.Duration) { n.SetQueueLimits(bytes, requests) })
}

// Counts returns the numbers of waiting and of running requests.
func (s *Sharer) Counts() (waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Counts()
}

// Report returns the last load report that this router had of a server.
func (s *Sharer) Report(id msg.ServerID) (share.LoadReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.reports[id]
	return r, ok
}
