package share

import (
	"sort"

	"github.com/windscale/windscale/internal/core/msg"
)

// Standing is a customer's place in one pool, as this router knows it.
type Standing struct {
	Pool       msg.PoolID
	Waiting    int     // requests waiting at this entry
	Registered int     // requests that entries have registered with this admitter
	Backlogged bool    // anywhere in the fleet, at the last merge
	Service    float64 // by the fleet, estimated: cost over weight
	Floor      float64 // the least of the backlogged customers', at the last merge
	Share      float64 // part of the customer's service that this admitter answers for
}

// Explain returns the customer's standing in each pool that it has used, by
// the pools' names.
func (n *Node) Explain(customer msg.CustomerID) []Standing {
	at := map[msg.PoolID]*Standing{}
	standing := func(id msg.PoolID) *Standing {
		s, ok := at[id]
		if !ok {
			s = &Standing{Pool: id}
			at[id] = s
		}
		return s
	}
	if c := n.entry.customers[customer]; c != nil {
		for _, q := range c.queues {
			standing(q.pool.id).Waiting += q.size
		}
	}
	for _, p := range n.admit.order {
		if a := p.accounts[customer]; a != nil {
			s := standing(p.id)
			s.Registered, s.Backlogged = a.waiting, a.active
			s.Service, s.Floor, s.Share = a.level(), p.floor, a.share()
		}
	}
	list := make([]Standing, 0, len(at))
	for _, s := range at {
		list = append(list, *s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Pool < list[j].Pool })
	return list
}

// ServerStatus is a backend server that this router admits to.
type ServerStatus struct {
	ID       msg.ServerID
	Pools    []msg.PoolID
	Slots    int     // as it reports
	Limit    float64 // requests it may run at a time
	Held     int     // granted and not ended
	Foreign  int     // running there without a grant of this router
	Leaving  bool
	Reported bool // there was a load report
}

// Servers returns the backend servers that this router admits to, by ID.
func (n *Node) Servers() []ServerStatus {
	list := make([]ServerStatus, 0, len(n.admit.mine))
	for _, s := range n.admit.mine {
		list = append(list, ServerStatus{
			ID: s.id, Pools: s.pools, Slots: s.limit.slots, Limit: s.limit.value,
			Held: s.held, Foreign: s.foreign, Leaving: s.leaving, Reported: s.reported,
		})
	}
	return list
}

// Admitter returns the router that admits to the server, as this one sees it.
func (n *Node) Admitter(id msg.ServerID) msg.RouterID {
	return n.members.owner(ownServer, string(id))
}

// Stats counts what the node has done since it began.
type Stats struct {
	Granted  uint64 // slots handed out
	Returned uint64 // of them given back unused
	Expired  uint64 // of them over because their entry did not keep them alive
	Resent   uint64 // grants sent again, as they were not confirmed
	Merges   uint64 // of the fleet's totals
}

// Stats returns the counts so far.
func (n *Node) Stats() Stats {
	s := n.admit.stats
	s.Merges = n.tree.merge
	return s
}
