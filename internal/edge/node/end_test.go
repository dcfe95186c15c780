package node

import "testing"

// A router that hears no other ends when it is told to: it does not wait for a datagram.
func TestARouterThatHearsNoOtherEnds(t *testing.T) {
	f := newFleet(t, 40)
	f.start("127.0.40.1").kill()
}
