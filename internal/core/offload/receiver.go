package offload

import "time"

const (
	// RoundInterval is the time between two rounds of Credits while tunnels are in use.
	RoundInterval = 10 * time.Millisecond
	// repeatInterval is the time after which a grant to a tunnel in use is repeated in the next round.
	// Grants also show the sender that this host is alive.
	repeatInterval = 40 * time.Millisecond
	// usePeriod is how long a tunnel without streams counts as in use after its last one was opened.
	usePeriod = time.Second
)

// Capacity is the capacity of a host for streams of other hosts.
type Capacity struct {
	Unavailable  bool          // the host accepts no streams, whatever its load
	WaitLimit    time.Duration // wait for the processor up to which the host accepts streams
	ExpectedWait time.Duration // wait for the processor, including that for work admitted lately
	RequestCost  time.Duration // processor time that a request takes on this host
	FreeConns    int           // number of connections for which there is memory
}

// Streams returns the number of streams that the host can accept now.
func (c Capacity) Streams() int {
	if c.Unavailable || c.RequestCost <= 0 {
		return 0
	}
	return max(0, min(int((c.WaitLimit-c.ExpectedWait)/c.RequestCost), c.FreeConns))
}

// Credits divides the capacity of a host among the tunnels by which other hosts relay connections to
// it. It is not safe for concurrent use.
type Credits struct {
	tunnels []*InboundTunnel
	first   int // modulo the number of tunnels: index of the tunnel that is first in a round
}

// InboundTunnel is the credit of one tunnel.
type InboundTunnel struct {
	opened    uint32 // streams opened since the tunnel began
	open      int    // of these, those not closed yet
	granted   uint32 // total of the last grant
	lastUsed  time.Time
	lastGrant time.Time // zero: none yet
}

// Grant is the total number of streams that the sender of a tunnel may have opened.
type Grant struct {
	Tunnel *InboundTunnel
	Total  uint32
}

// Add adds a tunnel. It gets its first grant in the next round.
func (c *Credits) Add(now time.Time) *InboundTunnel {
	t := &InboundTunnel{lastUsed: now}
	c.tunnels = append(c.tunnels, t)
	return t
}

// Remove removes a tunnel.
func (c *Credits) Remove(t *InboundTunnel) {
	for i, other := range c.tunnels {
		if other == t {
			c.tunnels = append(c.tunnels[:i], c.tunnels[i+1:]...)
			return
		}
	}
}

// StreamOpened records that the sender opened a stream. It returns true if the tunnel was not in use,
// so that a round is due.
func (t *InboundTunnel) StreamOpened(now time.Time) (wasIdle bool) {
	wasIdle = !t.inUse(now)
	t.opened++
	t.open++
	t.lastUsed = now
	return wasIdle
}

// StreamClosed records that a stream ended.
func (t *InboundTunnel) StreamClosed() { t.open-- }

// Unused returns how many streams the sender may still open.
func (t *InboundTunnel) Unused() int { return max(0, int(int32(t.granted-t.opened))) }

// hasEnough reports whether the unused credit needs no message: it doesn't exceed the share, and is not
// half used up.
func (t *InboundTunnel) hasEnough(share int) bool {
	unused := t.Unused()
	return unused == share || unused < share && 2*unused > share
}

// inUse reports whether the sender has streams or opened one lately.
func (t *InboundTunnel) inUse(now time.Time) bool {
	return t.open > 0 || now.Sub(t.lastUsed) < usePeriod
}

// Round divides capacity for the given number of streams. It returns the grants to send and whether
// another round is due after RoundInterval. The unused credit of all tunnels doesn't exceed streams.
func (c *Credits) Round(now time.Time, streams int) (grants []Grant, again bool) {
	shares := c.divide(now, streams)
	for i, t := range c.tunnels {
		inUse := t.inUse(now)
		again = again || inUse
		repeat := t.lastGrant.IsZero() || inUse && now.Sub(t.lastGrant) >= repeatInterval
		if t.hasEnough(shares[i]) && !repeat {
			continue
		}
		t.granted = t.opened + uint32(shares[i])
		t.lastGrant = now
		grants = append(grants, Grant{Tunnel: t, Total: t.granted})
	}
	return grants, again
}

// divide returns the number of streams for each tunnel: one for each, of which those that aren't in
// use get no more, and equal parts of the rest for the others. The tunnels take turns in being first.
func (c *Credits) divide(now time.Time, streams int) []int {
	shares := make([]int, len(c.tunnels))
	c.first++
	var inUse []int // indices
	for k := range c.tunnels {
		i := (c.first + k) % len(c.tunnels)
		if streams == 0 {
			return shares
		}
		shares[i]++
		streams--
		if c.tunnels[i].inUse(now) {
			inUse = append(inUse, i)
		}
	}
	for _, i := range inUse {
		shares[i] += streams / len(inUse)
	}
	return shares
}
