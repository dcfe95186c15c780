package sharing

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/share"
)

// Step takes a peer's message.
func (s *Sharer) Step(from msg.RouterID, m *share.Message) {
	s.do(func(n *share.Node, now time.Duration) { n.HandleMessage(now, from, m) })
}

// SetMembers replaces the live routers. Their incarnations are their starts in
// nanoseconds.
func (s *Sharer) SetMembers(list []share.Member) {
	list = slices.Clone(list)
	for i := range list {
		list[i].Incarnation = incarnation(list[i].Incarnation)
	}
	s.do(func(n *share.Node, now time.Duration) { n.SetMembers(now, list) })
}

// SetServers replaces the backend servers that may be given new work, with
// their addresses, IP:port. The map must not be changed afterwards. The same
// servers again cost the core nothing: each reading of the host list gives them.
func (s *Sharer) SetServers(addrs map[msg.ServerID]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(addrs, s.addrs) {
		return
	}
	s.addrs = addrs
	list := slices.Sorted(maps.Keys(addrs))
	packed := make(map[msg.ServerID]share.Addr, len(addrs))
	for id, addr := range addrs {
		packed[id] = pack(addr)
	}
	s.locked(func(n *share.Node, now time.Duration) {
		n.SetAddrs(packed)
		n.SetServers(now, list)
	})
}

// pack returns the binary form of IP:port, nil if it is none.
func pack(addr string) share.Addr {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil
	}
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

// unpack reads the binary form of IP:port.
func unpack(b share.Addr) (addr string, ok bool) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() {
		return "", false
	}
	return a.String(), true
}

// Reconnected says that the link to a peer works anew.
func (s *Sharer) Reconnected(peer msg.RouterID) {
	s.do(func(n *share.Node, now time.Duration) { n.HandleReconnect(now, peer) })
}

// SetSettings says which version of the settings is in force here.
func (s *Sharer) SetSettings(version uint64) {
	s.do(func(n *share.Node, now time.Duration) { n.SetSettingsVersion(now, version) })
}

// Load takes a server's load report.
func (s *Sharer) Load(r share.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Slots = (r.Slots + s.split - 1) / s.split
	s.locked(func(n *share.Node, now time.Duration) { n.HandleLoadReport(now, r) })
}

// SetSplit divides the slots of every server among n routers that know nothing
// of each other. It is the naive baseline that measurements compare with, and
// for nothing else: see config.SharingAlone.
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

// Stats counts what this router did as an admitter.
func (s *Sharer) Stats() share.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Stats()
}

// Views returns what the core holds of waiting and served customers.
func (s *Sharer) Views() []share.CustomerView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.CustomerViews()
}

// ServerViews returns the backend servers that this router admits to.
func (s *Sharer) ServerViews() []share.ServerView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.ServerViews()
}

// Explanation says what a customer's requests wait for at this router.
type Explanation struct {
	Customer msg.CustomerID       `json:"customer"`
	Pools    []share.CustomerView `json:"pools"`
}

// Explain returns why the customer's requests wait now.
func (s *Sharer) Explain(c msg.CustomerID) Explanation {
	e := Explanation{Customer: c}
	for _, v := range s.Views() {
		if v.Customer == c {
			e.Pools = append(e.Pools, v)
		}
	}
	return e
}
