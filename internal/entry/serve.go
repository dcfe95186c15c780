package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/settings"
)

// limits are the settings that net/http takes per server, not per request.
type limits struct {
	maxHeader     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

func limitsOf(f settings.Fleet) limits {
	return limits{f.MaxHeader, f.HeaderTimeout, f.IdleTimeout}
}

// Server accepts callers' connections on one listener. When the settings
// change a limit that net/http fixes per server, new connections go to a new
// http.Server and the old one ends with its last request, so that a change is
// in force without cutting anything.
type Server struct {
	handler http.Handler
	ln      net.Listener
	log     *slog.Logger

	mu      sync.Mutex
	cur     *generation
	old     sync.WaitGroup
	closing bool
}

// generation is one http.Server and the connections handed to it.
type generation struct {
	limits limits
	srv    *http.Server
	conns  *handoff
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

func (s *Server) start(l limits) *generation {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	g := &generation{limits: l, conns: newHandoff(s.ln.Addr())}
	g.srv = &http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    l.maxHeader,
		ReadHeaderTimeout: l.headerTimeout,
		IdleTimeout:       l.idleTimeout,
		Protocols:         protocols,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	go func() { _ = g.srv.Serve(g.conns) }() // ends with ErrServerClosed at Shutdown
	return g
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
	s.old.Go(func() { _ = last.srv.Shutdown(context.Background()) })
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
		s.mu.Lock()
		conns := s.cur.conns
		s.mu.Unlock()
		conns.give(c)
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
	cur := s.cur
	s.mu.Unlock()
	err := cur.srv.Shutdown(ctx)
	if err != nil {
		_ = cur.srv.Close()
		return errors.Annotate(err, "shutdown of the entry")
	}
	s.old.Wait()
	return nil
}

// handoff is a net.Listener fed by hand.
type handoff struct {
	addr net.Addr
	ch   chan net.Conn
	done chan struct{}
	once sync.Once
}

func newHandoff(addr net.Addr) *handoff {
	return &handoff{addr: addr, ch: make(chan net.Conn), done: make(chan struct{})}
}

// give hands c over; a closed handoff closes it.
func (h *handoff) give(c net.Conn) {
	select {
	case h.ch <- c:
	case <-h.done:
		_ = c.Close()
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
