// Package front serves callers: it finds a request's route and customer, has
// the state give it a server, carries it there and its answer back. Each
// request ends with the server's complete response, with a visibly cut one, or with
// a refusal that is true.
package front

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

// Headers translates the headers of callers and servers. The platform's folder
// implements it.
type Headers interface {
	ParseRequest(h http.Header) routing.RequestMeta
	// SetForwardHeaders sets what the fleet itself says to a server.
	SetForwardHeaders(h http.Header, o routing.ForwardMeta)
	// ParseResponse reads a server's answer: notRun that the request has not run and
	// never will, other that another server has the address, attempt the
	// caller's id of the attempt that it belongs to.
	ParseResponse(status int, h http.Header) (notRun, other bool, attempt string)
	// ParseNotice parses the headers of an answer that describe the server itself. Values that
	// can't be parsed are left zero, and an error is returned.
	ParseNotice(status int, h http.Header) (routing.ServerNotice, error)
	// SetAttempt names the attempt in an answer of the fleet's own.
	SetAttempt(h http.Header, attempt string)
}

// Config is what a handler needs.
type Config struct {
	State   *state.State
	Pool    *upstream.Pool
	Headers Headers
	Log     *slog.Logger
	OneIn   int   // routine lines are written of one request in so many
	MaxHeld int64 // bytes of requests' bodies that are held at once
	// MaxRunning is how many requests are in progress at once.
	MaxRunning int64
	// NearConnLimit reports whether connections of callers are so many that each answer
	// is to end its own.
	NearConnLimit func() bool
	// ProcessorWait is for how long what could run on this host waits for its
	// processor, as measured lately; ExpectedWait is the same with what was admitted since (nil: the same).
	// From pressure.Overloaded on it takes no requests.
	ProcessorWait func() time.Duration
	ExpectedWait  func() time.Duration
	Meter         *meter.Meter
	// Now is the time by which requests' deadlines are judged; nil: the system's steady
	// clock. It may jump ahead: see Resumed.
	Now func() time.Time
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Config
	refusals *rate.Limiter // of their log lines
	leftOut  atomic.Int64  // lines of refusals left out since the last one
	held     atomic.Int64
	running  atomic.Int64
	progress progress
	inFlight inFlight
	draining atomic.Bool // answers end their connections
	closed   atomic.Bool // new requests are refused
}

// New returns a handler.
func New(c Config) *Handler {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.ExpectedWait == nil {
		c.ExpectedWait = c.ProcessorWait
	}
	return &Handler{
		Config:   c,
		refusals: rate.NewLimiter(refusalsPerSecond, refusalsPerSecond),
		progress: progress{by: map[string]int{}},
	}
}

// refusalsPerSecond bounds the log lines of refusals, of the 200 lines a second
// that a process writes: what changes a belief or failed must not be lost to a
// flood. The metrics count all refusals.
const refusalsPerSecond = 100

// Refusing reports whether this host has so little time that it refuses requests for its
// own load.
func (h *Handler) Refusing() bool {
	return h.ExpectedWait() >= pressure.Overloaded || h.ProcessorWait() >= pressure.Busy && h.progress.filled()
}

// overloaded reports whether this host is too far behind to take requests.
func (h *Handler) overloaded() bool { return h.ProcessorWait() >= pressure.Overloaded }

// Drain makes every answer end its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// Refuse makes every new request be refused.
func (h *Handler) Refuse() { h.closed.Store(true) }

// Running returns how many requests are in progress.
func (h *Handler) Running() int64 { return h.running.Load() }

// defaultTimeout bounds a request that says nothing of its time, on a route
// that has none.
const defaultTimeout = 30 * time.Second

// request is one request on its way.
type request struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	ask      routing.RequestMeta
	route    *routing.Route
	customer string
	homes    routing.Regions // of the route and the customer
	service  string
	version  int64 // of the configuration that decided
	limits   routing.Limits
	begin    time.Time
	deadline time.Time
	body     []byte
	header   http.Header         // what goes on to servers
	routine  bool                // its routine lines are written
	admitted bool                // its listener has admitted it
	content  routing.ContentHash // 0: not worked out yet

	tried   []string
	sent    int  // servers that the request may have reached
	mayRun  bool // a server may have run it
	paid    bool // the next repeat is taken from the retry budget already
	trial   bool // it is tried as the only one with its content
	apart   bool // it goes where what shares its prompt does not run
	started bool // the answer's header has gone to the caller
	last    string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	q := &request{h: h, w: w, r: r, ask: h.Headers.ParseRequest(r.Header), begin: h.Now(), admitted: wasAdmitted(r)}
	q.routine = h.OneIn > 0 && xxhash.Sum64String(q.ask.Attempt)%uint64(h.OneIn) == 0
	if h.draining.Load() || h.NearConnLimit() || h.Refusing() {
		w.Header().Set("Connection", "close")
	}
	refusal := q.admit()
	if refusal == nil {
		h.progress.begin(q.customer)
		defer h.progress.end(q.customer)
		refusal = q.read()
		defer func() { h.held.Add(-int64(len(q.body))) }()
	}
	if refusal != nil {
		q.refuse(refusal)
		return
	}
	q.run()
}

// log writes a line about the request.
func (q *request) log(level slog.Level, e events.Event, args ...any) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	base := []any{
		"request", q.ask.Attempt, "route", route, "customer", q.customer,
		"config", q.version, "afterMs", q.age().Milliseconds(),
	}
	e.Log(context.Background(), q.h.Log, level, append(base, args...)...)
}

// asks returns the request's content. It is worked out when it is first asked for: most
// requests never need it, and bodies are long.
func (q *request) asks() routing.ContentHash {
	if q.content == 0 {
		q.content = routing.HashContent(q.customer, q.r.Method, q.r.Host, target(q.r), q.body)
	}
	return q.content
}

// age is how long ago the request came.
func (q *request) age() time.Duration { return q.h.Now().Sub(q.begin) }

// remaining is what is left of the request's time.
func (q *request) remaining() time.Duration { return q.deadline.Sub(q.h.Now()) }

// left reports whether the request's caller has left.
func left(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
