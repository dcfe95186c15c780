package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/windscale/windscale/internal/core/settings"
)

// limits are the settings that net/http takes per server, not per request.
type limits struct {
	maxHeader     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// limitsOf picks them out of the settings.
func limitsOf(f settings.Fleet) limits {
	return limits{f.MaxHeader, f.HeaderTimeout, f.IdleTimeout}
}

// Server accepts callers' connections on one listener. When the settings
// change a limit that net/http fixes per server, new connections go to a new
// http.Server. Those of the old one are asked to end with their next answer:
// http.Server.Shutdown would drop the requests that come meanwhile.
type Server struct {
	handler http.Handler
	ln      net.Listener
	log     *slog.Logger

	mu      sync.Mutex // guards what follows
	cur     *generation
	old     []*generation // that may have connections
	closing bool          // Shutdown was called
}

// generation is one http.Server and the connections handed to it.
type generation struct {
	limits  limits
	srv     *http.Server
	conns   *handoff
	open    atomic.Int64 // connections
	retired atomic.Bool
}

// NewServer serves handler on ln, over TLS when conf is not nil.
func NewServer(ln net.Listener, conf *tls.Config, handler http.Handler, f settings.Fleet, log *slog.Logger) *Server {
	if conf != nil {
		conf = conf.Clone()
		conf.NextProtos = []string{"h2", "http/1.1"}
		ln = tls.NewListener(ln, conf)
	}
	s := &Server{handler: handler, ln: ln, log: log}
	s.cur = s.start(limitsOf(f))
	return s
}

// start returns a generation that serves connections handed to it.
func (s *Server) start(l limits) *generation {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	g := &generation{limits: l, conns: newHandoff(s.ln.Addr())}
	g.srv = &http.Server{
		Handler:           g.handler(s.handler),
		MaxHeaderBytes:    l.maxHeader,
		ReadHeaderTimeout: l.headerTimeout,
		IdleTimeout:       l.idleTimeout,
		Protocols:         protocols,
		ConnState:         g.count,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	go func() { _ = g.srv.Serve(g.conns) }() // ends when the handoff is closed
	return g
}

// handler asks the connections of a retired generation to end.
func (g *generation) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.retired.Load() {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&closing{ResponseWriter: w}, r)
	})
}

// closing is a ResponseWriter whose answer says that the connection ends.
type closing struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (c *closing) WriteHeader(status int) {
	c.Header().Set("Connection", "close") // HTTP/2 sends GOAWAY instead
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *closing) Write(p []byte) (int, error) {
	c.Header().Set("Connection", "close")
	return c.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the writer below.
func (c *closing) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// count is told of each connection's states.
func (g *generation) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		g.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		g.open.Add(-1)
	}
}

// Apply takes the settings' limits over for connections to come. Any goroutine
// may call it.
func (s *Server) Apply(f settings.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.cur.limits == limitsOf(f) {
		return
	}
	last := s.cur
	s.cur = s.start(limitsOf(f))
	s.cur.retired.Store(last.retired.Load())
	last.retired.Store(true)
	_ = last.conns.Close()
	s.old = append(s.old, last)
	s.old = slices.DeleteFunc(s.old, func(g *generation) bool { return g != last && g.open.Load() == 0 })
}

// Retire asks callers to leave: every connection ends with its next answer.
// New ones are still accepted.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cur.retired.Store(true)
}

// Run accepts connections until the listener is closed.
func (s *Server) Run() error {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause) // out of file descriptors, most often
			continue
		}
		s.hand(c)
	}
}

// hand gives c to the generation in force. One that has just been replaced
// takes no more, so that c goes to its successor.
func (s *Server) hand(c net.Conn) {
	for {
		s.mu.Lock()
		conns, closing := s.cur.conns, s.closing
		s.mu.Unlock()
		if conns.give(c) {
			return
		}
		if closing {
			_ = c.Close()
			return
		}
	}
}

// acceptPause is the wait after a failed accept.
const acceptPause = 5 * time.Millisecond

// Shutdown stops accepting and waits for every request in progress. When ctx
// ends first the rest is cut, and ctx's error returned.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.ln.Close()
	s.mu.Lock()
	s.closing = true
	all := append(slices.Clone(s.old), s.cur)
	s.mu.Unlock()
	var g errgroup.Group
	for _, gen := range all {
		g.Go(func() error { return gen.shutdown(ctx) })
	}
	return errors.Annotate(g.Wait(), "shutdown of the entry")
}

// shutdown waits for the requests in progress, and cuts them when ctx ends.
func (g *generation) shutdown(ctx context.Context) error {
	err := g.srv.Shutdown(ctx)
	if err != nil {
		_ = g.srv.Close()
	}
	return err
}

// handoff is a net.Listener whose connections come from Server.hand.
type handoff struct {
	addr net.Addr
	ch   chan net.Conn
	done chan struct{}
	once sync.Once
}

// newHandoff returns an open one that calls itself addr.
func newHandoff(addr net.Addr) *handoff {
	return &handoff{addr: addr, ch: make(chan net.Conn), done: make(chan struct{})}
}

// give hands c over; a closed handoff does not take it.
func (h *handoff) give(c net.Conn) bool {
	select {
	case h.ch <- c:
		return true
	case <-h.done:
		return false
	}
}

// Accept implements net.Listener.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case c := <-h.ch:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handoff) Addr() net.Addr { return h.addr }
