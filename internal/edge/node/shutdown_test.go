package node

import "testing"

// Guards against a shutdown that waits for a datagram: a router that hears no other router
// ends when it is told to.
func TestLoneRouterShutsDown(t *testing.T) {
	f := newFleet(t, 40)
	f.start("127.0.40.1").kill()
}
