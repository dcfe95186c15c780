package node

import (
	"net"
	"net/http"
	"time"

	"github.com/windscale/windscale/internal/core/offload"
	"github.com/windscale/windscale/internal/edge/front"
	"github.com/windscale/windscale/internal/edge/relay"
)

const (
	// relayedWaitLimit is the wait for the processor up to which a host accepts connections of other
	// hosts: from there on it relays its own.
	relayedWaitLimit = relayThreshold
	// relayedFraction is the fraction of the bounds on connections and requests in flight from which a
	// host accepts none of other hosts.
	relayedFraction = 0.5
	// overloadMemory is how long after it was overloaded a host accepts no connections of other hosts:
	// some measurements of its wait.
	overloadMemory = 100 * time.Millisecond
)

// newReceiver returns the receiver of connections that other hosts relay to this one.
func (n *Node) newReceiver() *relay.Receiver {
	return relay.NewReceiver(relay.ReceiverConfig{
		Accepting:      func() bool { return !n.draining.Load() && n.state.Ready() },
		Capacity:       n.relayCapacity,
		MaxUnread:      n.maxRequestBytes,
		MaxUnreadTotal: n.handler.MaxBufferedBytes / 2,
		Log:            n.log,
	})
}

// relayCapacity returns this host's capacity for connections of other hosts. It is called while there
// are tunnels in use.
func (n *Node) relayCapacity() offload.Capacity {
	n.probe.MeasureOften() // work counts as capacity taken until a measurement covers it
	h := n.handler
	maxOpen := int64(relayedFraction * float64(n.limiter.maxOpen))
	return offload.Capacity{
		Unavailable: !n.ready() || n.sender.NeededWithin(overloadMemory) || h.SheddingLoad() ||
			float64(h.InFlight()) >= relayedFraction*float64(h.MaxInFlight),
		WaitLimit:    relayedWaitLimit,
		ExpectedWait: h.ExpectedWait(),
		RequestCost:  n.probe.RequestCost(),
		FreeConns:    int(maxOpen - n.limiter.open.Load()),
	}
}

// maxRequestBytes returns the size of the longest request, or a bound on it if the configuration has
// none.
func (n *Node) maxRequestBytes() int {
	body := n.handler.MaxBufferedBytes
	if limits := n.state.Limits(); limits.MaxBodyBytes > 0 {
		body = limits.MaxBodyBytes
	}
	return int(body) + maxHeaderBytes
}

// controlHandler serves the other routers.
func (n *Node) controlHandler() http.Handler {
	if n.receiver == nil {
		return n.peers.Handler()
	}
	mux := http.NewServeMux()
	mux.Handle("/", n.peers.Handler())
	mux.Handle(relay.Path, n.receiver)
	return mux
}

// relayedListener is the listener of connections that other hosts relay to this one.
type relayedListener struct {
	*relay.Receiver
	limiter *connLimiter
}

// Accept implements net.Listener.
func (l relayedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptConn()
		if err != nil {
			return nil, err
		}
		if admitted := l.limiter.admitRelayed(c); admitted != nil {
			return admitted, nil
		}
	}
}

// admitRelayed returns the connection if it is to be served, and nil otherwise, like admit. Its request
// is not examined in advance.
func (l *connLimiter) admitRelayed(c *relay.Conn) *relayedConn {
	if l.open.Add(1) > l.maxOpen || l.saturated() {
		l.open.Add(-1)
		l.shedOrClose(c)
		return nil
	}
	verdict := front.Admitted
	if l.refusing() {
		verdict = front.Undecided // the handler decides
	}
	l.onAdmitted()
	return &relayedConn{trackedConn: l.track(c, verdict), RelayedConn: c}
}

// relayedConn is a tracked connection that another host relays.
type relayedConn struct {
	*trackedConn
	front.RelayedConn
}

// CloseWrite ends the response, and lets the caller read it before the connection is closed.
func (c *relayedConn) CloseWrite() error {
	return c.Conn.(*relay.Conn).CloseWrite()
}

// receiverMetrics registers the metrics of the receiver.
func (n *Node) receiverMetrics() {
	if n.receiver == nil {
		return
	}
	type stats = relay.ReceiverStats
	counter := func(name, help string, labels map[string]string, value func(stats) int64) {
		n.meter.Counter(name, help, labels, func() float64 { return float64(value(n.receiver.Stats())) })
	}
	gauge := func(name, help string, value func(stats) int) {
		n.meter.Gauge(name, help, func() float64 { return float64(value(n.receiver.Stats())) })
	}
	counter("relay_received_streams_total", "Connections that other hosts relayed to this one.", nil, func(s stats) int64 { return s.Streams })
	counter("relay_received_overruns_total", "Of these, reset since too much of them was unread.", nil, func(s stats) int64 { return s.Overruns })
	counter("relay_received_bytes_total", "Bytes of relayed connections.", map[string]string{"direction": "from callers"}, func(s stats) int64 { return s.BytesReceived })
	counter("relay_received_bytes_total", "Bytes of relayed connections.", map[string]string{"direction": "of answers"}, func(s stats) int64 { return s.BytesSent })
	gauge("relay_received_open", "Connections that other hosts relay to this one now.", func(s stats) int { return int(s.OpenStreams) })
	gauge("relay_received_tunnels", "Tunnels of other hosts.", func(s stats) int { return s.Tunnels })
	gauge("relay_received_credit", "Connections that other hosts may begin to relay to this one.", func(s stats) int { return s.UnusedCredit })
}
