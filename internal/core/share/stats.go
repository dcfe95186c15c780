package share

import "github.com/windscale/windscale/internal/core/msg"

// Stats counts what a Node did as an admitter since it was made.
type Stats struct {
	Granted   uint64
	Returned  uint64   // granted slots that came back, used or not
	Expired   uint64   // granted slots that were not kept alive
	Resent    uint64   // grants sent again, as they were not confirmed
	Estimates uint64   // requests that ended and had an estimate
	Estimated msg.Cost // of those
	Actual    msg.Cost // of those
	AbsError  msg.Cost // sum of the absolute differences
}

// Stats returns the counts.
func (n *Node) Stats() Stats { return n.admit.stats }

// ended counts a grant's end against what its request was expected to cost.
func (s *Stats) ended(expected, actual msg.Cost) {
	s.Estimates++
	s.Estimated += expected
	s.Actual += actual
	s.AbsError += max(expected-actual, actual-expected)
}
