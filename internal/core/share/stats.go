package share

import "github.com/windscale/windscale/internal/core/msg"

// Stats counts a Node's actions as an admitter since it was created.
type Stats struct {
	Granted           uint64
	Returned          uint64   // granted slots that were returned, used or not
	Expired           uint64   // grants released for lack of a keep-alive
	Resent            uint64   // grants sent again because they were not confirmed
	EstimatedRequests uint64   // finished requests that are included in the next three sums
	EstimatedCost     msg.Cost // sum of the estimates
	ActualCost        msg.Cost // sum of the actual costs
	AbsoluteError     msg.Cost // sum of the absolute differences
}

// Stats returns the Node's counters.
func (n *Node) Stats() Stats { return n.admit.stats }

// recordEnd compares the actual cost of a finished request with its estimate.
func (s *Stats) recordEnd(expected, actual msg.Cost) {
	s.EstimatedRequests++
	s.EstimatedCost += expected
	s.ActualCost += actual
	s.AbsoluteError += max(expected-actual, actual-expected)
}
