package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/windscale/windscale/internal/core/offload"
)

const (
	// maxInboundTunnels limits the tunnels of other hosts, each of which takes about 150 KB. An
	// overloaded host opens tunnels to few others.
	maxInboundTunnels = 64
	// acceptBacklog is how many streams may wait to be accepted by the server of callers' connections.
	acceptBacklog = 256
	// flushTimeout limits the time for which a tunnel that is closed writes its last frames.
	flushTimeout = 200 * time.Millisecond
)

// ReceiverConfig holds the dependencies and limits of a Receiver.
type ReceiverConfig struct {
	// Accepting reports whether new tunnels are accepted.
	Accepting func() bool
	// Capacity returns this host's capacity for streams.
	Capacity func() offload.Capacity
	// MaxUnread returns how many bytes of a stream may be unread: the size of the longest request.
	// MaxUnreadTotal is the limit for all streams.
	MaxUnread      func() int
	MaxUnreadTotal int64
	Log            *slog.Logger
}

// Receiver accepts the tunnels of overloaded hosts. Their streams are accepted like connections by
// the server of callers' connections. It is safe for concurrent use.
type Receiver struct {
	config   ReceiverConfig
	stats    receiverStats
	unread   atomic.Int64
	accepted chan *Conn
	wake     chan struct{} // a tunnel is in use again
	tunnelWG sync.WaitGroup

	closeListener  sync.Once
	listenerClosed chan struct{}

	mu       sync.Mutex
	credits  offload.Credits
	tunnels  map[*offload.InboundTunnel]*inboundTunnel
	draining bool
	stopped  bool
}

// NewReceiver returns a receiver. It grants credit while Run runs.
func NewReceiver(c ReceiverConfig) *Receiver {
	return &Receiver{
		config:         c,
		accepted:       make(chan *Conn, acceptBacklog),
		wake:           make(chan struct{}, 1),
		listenerClosed: make(chan struct{}),
		tunnels:        map[*offload.InboundTunnel]*inboundTunnel{},
	}
}

// AcceptConn returns the next stream.
func (r *Receiver) AcceptConn() (*Conn, error) {
	select {
	case <-r.listenerClosed:
		return nil, net.ErrClosed
	case c := <-r.accepted:
		return c, nil
	}
}

// Accept implements net.Listener.
func (r *Receiver) Accept() (net.Conn, error) {
	c, err := r.AcceptConn()
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Close implements net.Listener. New streams are reset; tunnels and open streams continue.
func (r *Receiver) Close() error {
	r.closeListener.Do(func() { close(r.listenerClosed) })
	r.refuseQueued()
	return nil
}

// enqueue adds a stream to those that wait to be accepted, or resets it.
func (r *Receiver) enqueue(c *Conn) {
	select {
	case r.accepted <- c:
	default:
		c.refuse()
	}
	select {
	case <-r.listenerClosed:
		r.refuseQueued()
	default:
	}
}

// refuseQueued resets the streams that wait to be accepted.
func (r *Receiver) refuseQueued() {
	for {
		select {
		case c := <-r.accepted:
			c.refuse()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (r *Receiver) Addr() net.Addr { return receiverAddr{} }

// receiverAddr is the address of the listener of streams, which has no socket.
type receiverAddr struct{}

func (receiverAddr) Network() string { return "relay" }
func (receiverAddr) String() string  { return "relay" }

// ServeHTTP accepts a tunnel. It returns when the tunnel is closed.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !isTunnelRequest(req) {
		w.Header().Set("Connection", "Upgrade")
		w.Header().Set("Upgrade", Protocol)
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	if !r.hasRoom() || !r.config.Accepting() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	sender := req.Header.Get(HeaderSender)
	if sender == "" {
		sender = req.RemoteAddr
	}
	newInboundTunnel(r, conn, buffered.Reader, sender).serve()
}

// isTunnelRequest reports whether the request is to be upgraded to a tunnel.
func isTunnelRequest(req *http.Request) bool {
	return req.Method == http.MethodGet && req.Header.Get("Upgrade") == Protocol &&
		httpguts.HeaderValuesContainsToken(req.Header["Connection"], "upgrade")
}

// hasRoom reports whether another tunnel is accepted.
func (r *Receiver) hasRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.draining && !r.stopped && len(r.tunnels) < maxInboundTunnels
}

// Run grants credit until ctx ends, and then closes the tunnels.
func (r *Receiver) Run(ctx context.Context) error {
	defer r.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-timer.C:
		}
		if r.grant(time.Now()) {
			timer.Reset(offload.RoundInterval)
		}
	}
}

// grant sends the grants of one round. It reports whether another round is due.
func (r *Receiver) grant(now time.Time) bool {
	streams := r.config.Capacity().Streams()
	r.mu.Lock()
	defer r.mu.Unlock()
	grants, again := r.credits.Round(now, streams)
	for _, g := range grants {
		r.tunnels[g.Tunnel].grant(g.Total)
	}
	return again
}

// wakeUp makes Run begin a round.
func (r *Receiver) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // a round is due already
	}
}

// Drain tells the senders to open no more streams, and refuses new tunnels.
func (r *Receiver) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for _, t := range r.tunnels {
		t.out.add(FrameGoAway, 0, nil)
	}
}

// stop closes the tunnels after their pending frames have been written.
func (r *Receiver) stop() {
	r.mu.Lock()
	r.stopped = true
	for _, t := range r.tunnels {
		_ = t.conn.SetWriteDeadline(time.Now().Add(flushTimeout)) // fails only if it is closed
		t.out.close()
	}
	r.mu.Unlock()
	r.tunnelWG.Wait()
}

// add adds a tunnel. It reports whether the receiver still accepts tunnels.
func (r *Receiver) add(t *inboundTunnel) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining || r.stopped {
		return false
	}
	t.credit = r.credits.Add(time.Now())
	r.tunnels[t.credit] = t
	r.tunnelWG.Add(1)
	r.wakeUp()
	return true
}

// remove removes a tunnel.
func (r *Receiver) remove(t *inboundTunnel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credits.Remove(t.credit)
	delete(r.tunnels, t.credit)
	r.tunnelWG.Done()
}

// streamOpened counts a stream of a tunnel.
func (r *Receiver) streamOpened(t *inboundTunnel) {
	r.stats.streams.Add(1)
	r.stats.open.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.credit.StreamOpened(time.Now()) {
		r.wakeUp()
	}
}

// streamClosed counts the end of a stream.
func (r *Receiver) streamClosed(t *inboundTunnel) {
	r.stats.open.Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	t.credit.StreamClosed()
}
