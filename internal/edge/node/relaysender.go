package node

import (
	"syscall"

	"github.com/windscale/windscale/internal/core/offload"
	"github.com/windscale/windscale/internal/edge/relay"
)

const (
	// relayedPerMB is how many connections a router relays per MB of its memory. One takes less than a
	// served one: no stack and, most of the time, no buffer.
	relayedPerMB = 12
	// relayMemoryFraction is the fraction of the memory that bytes for callers of relayed connections
	// may use.
	relayMemoryFraction = 1.0 / 16
	// relayDescriptorFraction is the fraction of the descriptors that relayed connections may use.
	relayDescriptorFraction = 0.5
)

// newSender returns the sender that relays callers' connections to other hosts.
func (n *Node) newSender() *relay.Sender {
	return relay.NewSender(relay.SenderConfig{
		Self:       n.settings.ControlAddr,
		Candidates: n.relayCandidates,
		Log:        n.log,
		MaxStreams: maxRelayed(n.settings.MemoryMB),
		MaxPending: int(float64(n.settings.MemoryMB<<20) * relayMemoryFraction),
	})
}

// relayCandidates returns the routers to which connections can be relayed.
func (n *Node) relayCandidates() []offload.Candidate {
	routers := n.peers.DataCentreRouters()
	candidates := make([]offload.Candidate, len(routers))
	for i, r := range routers {
		candidates[i] = offload.Candidate{Addr: r.Addr, Cores: float64(r.Cores)}
	}
	return candidates
}

// maxRelayed returns how many connections a host with that much memory relays at a time.
func maxRelayed(memoryMB int) int {
	limit := memoryMB * relayedPerMB
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return limit // the limit is unknown: a connection that finds no descriptor is not accepted
	}
	return int(min(float64(limit), float64(descriptors.Cur)*relayDescriptorFraction))
}

// relayMetrics registers the metrics of the sender.
func (n *Node) relayMetrics() {
	if n.sender == nil {
		return
	}
	stats := &n.sender.Stats
	counter := func(name, help string, labels map[string]string, value func() int64) {
		n.meter.Counter(name, help, labels, func() float64 { return float64(value()) })
	}
	counter("relay_sent_streams_total", "Connections of callers relayed to other hosts.", nil, stats.Streams.Load)
	for why, value := range map[string]func() int64{
		"unanswered":     stats.Unanswered.Load,
		"cut":            stats.Cut.Load,
		"receiver reset": stats.ReceiverReset.Load,
		"caller left":    stats.CallerLeft.Load,
		"dropped":        stats.Dropped.Load,
	} {
		counter("relay_sent_failures_total", "Relayed connections that did not end with their answer.", map[string]string{"why": why}, value)
	}
	counter("relay_sent_no_credit_total", "Connections that were to be relayed and found no host with room.", nil, n.limiter.notRelayed.Load)
	for direction, value := range map[string]func() int64{"to hosts": stats.BytesSent.Load, "to callers": stats.BytesReceived.Load} {
		counter("relay_sent_bytes_total", "Bytes of relayed connections.", map[string]string{"direction": direction}, value)
	}
	n.meter.Gauge("relay_sent_open", "Connections of callers that are relayed to other hosts now.", func() float64 { return float64(n.sender.Open()) })
	n.meter.Gauge("relay_sent_tunnels", "Tunnels to other hosts.", func() float64 { return float64(n.sender.Tunnels()) })
}
