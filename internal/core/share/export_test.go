package share

import (
	"fmt"

	"github.com/windscale/windscale/internal/core/msg"
)

// Check returns a description of the first inconsistency in the node's state,
// or "".
func (n *Node) Check() string {
	held := map[*poolServer]int{}
	for _, g := range n.admit.grants {
		held[g.server]++
	}
	for id, s := range n.admit.servers {
		if s.outstanding != held[s] {
			return fmt.Sprintf("server %s: %d held, %d grants", id, s.outstanding, held[s])
		}
		if s.outstanding > s.limit.slots {
			return fmt.Sprintf("server %s: %d held of %d slots", id, s.outstanding, s.limit.slots)
		}
	}
	for _, p := range n.admit.pools {
		if s := p.check(); s != "" {
			return s
		}
	}
	return n.entry.check()
}

func (p *admitPool) check() string {
	for _, a := range p.accounts {
		sum := 0
		for _, r := range a.regs {
			sum += r.count
		}
		if sum != a.waiting || (a.waiting > 0) != (a.index >= 0) {
			return fmt.Sprintf("account %s: %d registered, %d waiting, index %d", a.id, sum, a.waiting, a.index)
		}
	}
	for i, a := range p.heap {
		if a.index != i || (i > 0 && a.key < p.heap[(i-1)/2].key) {
			return fmt.Sprintf("pool %s: heap broken at %d", p.id, i)
		}
	}
	return ""
}

func (e *entry) check() string {
	sum, running := 0, 0
	for _, q := range e.queues {
		sum += q.size
	}
	for _, c := range e.customers {
		running += c.running
	}
	if sum != len(e.waiting) || running != len(e.running) {
		return fmt.Sprintf("entry: %d of %d waiting, %d of %d running", sum, len(e.waiting), running, len(e.running))
	}
	return ""
}

// Held returns the number of the server's grants that have not ended.
func (n *Node) Held(id msg.ServerID) int {
	if s := n.admit.servers[id]; s != nil {
		return s.outstanding
	}
	return 0
}
