// Package front serves callers: it finds a request's route and customer, has
// the state give it a server, carries it there and its answer back. Each
// request ends with the server's whole answer, with a visibly cut one, or with
// a refusal that is true.
package front

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
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
	Ask(h http.Header) routing.Ask
	// ToServer sets what the fleet itself says to a server.
	ToServer(h http.Header, o routing.Order)
	// Answer reads a server's answer: notRun that the request has not run and
	// never will, other that another server has the address, attempt the
	// caller's id of the attempt that it belongs to.
	Answer(status int, h http.Header) (notRun, other bool, attempt string)
	// ToCaller names the attempt in an answer of the fleet's own.
	ToCaller(h http.Header, attempt string)
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
	// processor; from pressure.Overloaded on it takes no requests.
	ProcessorWait func() time.Duration
	Meter         *meter.Meter
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Config
	refusals *rate.Limiter // of their log lines
	leftOut  atomic.Int64  // lines of refusals left out since the last one
	held     atomic.Int64
	running  atomic.Int64
	progress progress
	draining atomic.Bool // answers end their connections
	closed   atomic.Bool // new requests are refused
}

// New returns a handler.
func New(c Config) *Handler {
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
	ask      routing.Ask
	route    *routing.Route
	customer string
	service  string
	version  int64 // of the configuration that decided
	limits   routing.Limits
	begin    time.Time
	deadline time.Time
	body     []byte
	header   http.Header // what goes on to servers
	routine  bool        // its routine lines are written

	tried   []string
	sent    int  // servers that the request may have reached
	mayRun  bool // a server may have run it
	paid    bool // the next repeat is taken from the retry budget already
	started bool // the answer's header has gone to the caller
	last    string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	q := &request{h: h, w: w, r: r, ask: h.Headers.Ask(r.Header), begin: time.Now()}
	q.routine = h.OneIn > 0 && xxhash.Sum64String(q.ask.Attempt)%uint64(h.OneIn) == 0
	if h.draining.Load() || h.NearConnLimit() {
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

// Refusal is an answer of the fleet's own.
type Refusal struct {
	Status int
	Reason string
	Back   time.Duration // 0: not told
	// Offered says that a server was asked.
	Offered bool
	inputs  []any // what decided it, for the log
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// reason is the metrics' label: the reason without its details.
func (r *Refusal) reason() string {
	short, _, _ := strings.Cut(r.Reason, ";")
	short, _, _ = strings.Cut(short, ": ")
	return short
}

// comeBack is when to ask again at another router, for refusals that say
// nothing of the load.
const comeBack = 50 * time.Millisecond

// admit finds the request's route and customer, and refuses it if this host or the
// fleet has no room for it.
func (q *request) admit() *Refusal {
	if refusal := q.find(); refusal != nil {
		return refusal
	}
	if refusal := q.behind(); refusal != nil {
		q.h.State.TurnedAway(q.need())
		return refusal
	}
	if placed, refused := q.h.State.Early(q.need()); refused {
		return q.unplaced(placed)
	}
	return nil
}

// find finds the request's route and customer.
func (q *request) find() *Refusal {
	if q.h.closed.Load() {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "this router is stopping", Back: comeBack}
	}
	table, age := q.h.State.Table()
	if table == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no configuration is known yet", Back: comeBack}
	}
	q.version = table.Config.Version
	q.route = table.Route(q.r.Host, rawPath(q.r))
	if q.route == nil {
		return unknown(http.StatusNotFound, "no route", age)
	}
	customer := table.Customer(q.ask.Key)
	if customer == nil && !q.route.Public {
		return unknown(http.StatusUnauthorized, "no customer has this key", age)
	}
	if customer != nil {
		q.customer = customer.Name
	}
	q.limits = table.Config.Limits
	if limits := q.limits; limits.MaxHeaderBytes > 0 && headerBytes(q.r) > limits.MaxHeaderBytes {
		return &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header too large"}
	}
	if limits := q.limits; limits.MaxBodyBytes > 0 && q.r.ContentLength > limits.MaxBodyBytes {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	}
	q.deadline = q.begin.Add(timeLeft(q.route, q.ask))
	q.service = state.Draw(q.route)
	return nil
}

// lineOverhead is what a header line has beside its name and value.
const lineOverhead = len(": \r\n")

// headerBytes is the size of a request's header as its caller sent it.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineOverhead + len("Host") + len(r.Host) + lineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + lineOverhead
		}
	}
	return size
}

// behind refuses a request that this host has no time or room for. Its caller
// comes back at another router. The customers that dominate this host go first.
func (q *request) behind() *Refusal {
	running := q.h.running.Load()
	wait := q.h.ProcessorWait()
	reason := ""
	switch {
	case running > q.h.MaxRunning:
		reason = "too many requests are in progress here"
	case wait >= pressure.Overloaded:
		reason = "this router is behind its work"
	default:
		return nil
	}
	room := float64(running) <= overRoom*float64(q.h.MaxRunning) && wait < pressure.Saturated
	if room && !q.h.progress.dominates(q.customer) {
		return nil
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: reason,
		Back:   comeBack,
		inputs: []any{"running", running, "processorWaitMs", wait.Milliseconds()},
	}
}

// unknown refuses what the configuration in force does not have. If the store
// has not been heard of for long it may be something new: another router may
// know it.
func unknown(status int, reason string, age time.Duration) *Refusal {
	if state.Stale(age) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason + "; the view is old", Back: comeBack}
	}
	return &Refusal{Status: status, Reason: reason}
}

// timeLeft is the shorter of what the caller and the route allow.
func timeLeft(route *routing.Route, ask routing.Ask) time.Duration {
	left := defaultTimeout
	if route.Timeout > 0 {
		left = route.Timeout
	}
	if ask.HasLeft {
		left = min(left, ask.Left)
	}
	return left
}

// rawPath is the path as the caller sent it.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(target(r), "?")
	return path
}

// target is the path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

const (
	// readChunk is how much of a body is read at a time.
	readChunk = 32 << 10
	// bodyIdle bounds the pause within a body until the configuration says it.
	bodyIdle = 15 * time.Second
)

// read reads the request's body whole, so that it can be sent again.
func (q *request) read() *Refusal {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return nil
	}
	limits := q.limits
	idle := bodyIdle
	if limits.IdleTimeout > 0 {
		idle = limits.IdleTimeout
	}
	control := http.NewResponseController(q.w)
	size := max(q.r.ContentLength, 0)
	body := make([]byte, 0, size+1)
	for {
		if len(body) == cap(body) {
			body = append(body, make([]byte, readChunk)...)[:len(body)]
		}
		if err := control.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return &Refusal{Status: http.StatusBadRequest, Reason: "read deadline: " + err.Error()}
		}
		n, err := q.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		q.h.held.Add(int64(n))
		q.body = body
		if err == io.EOF {
			return endRead(control)
		}
		if err != nil {
			return &Refusal{Status: http.StatusRequestTimeout, Reason: "body not read: " + err.Error()}
		}
		if limits.MaxBodyBytes > 0 && int64(len(body)) > limits.MaxBodyBytes {
			return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
		}
		if q.h.held.Load() > q.h.MaxHeld {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no memory for the body", Back: comeBack}
		}
	}
}

// endRead lifts the read deadline, which would end the watch for the caller's
// leaving.
func endRead(control *http.ResponseController) *Refusal {
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: "read deadline: " + err.Error()}
	}
	return nil
}

// refuse answers with the fleet's own refusal.
func (q *request) refuse(f *Refusal) {
	header := q.w.Header()
	q.h.Headers.ToCaller(header, q.ask.Attempt)
	if f.Back > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.Back.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := f.Reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(f.Status)
	if q.r.Method != http.MethodHead {
		if _, err := io.WriteString(q.w, body); err != nil {
			q.log(slog.LevelInfo, events.EdgeLeft, "err", err)
		}
	}
	q.h.Meter.Refused(q.customer, f.reason())
	event := events.EdgeRefused
	switch {
	case f.Offered:
		event = events.EdgeGivenUp
	case !q.h.refusals.Allow():
		q.h.leftOut.Add(1)
		return
	}
	args := []any{"status", f.Status, "reason", f.Reason, "backMs", f.Back.Milliseconds(), "tries", len(q.tried)}
	if n := q.h.leftOut.Swap(0); n > 0 {
		args = append(args, "leftOut", n)
	}
	q.log(slog.LevelInfo, event, append(args, f.inputs...)...)
}

// log writes a line about the request.
func (q *request) log(level slog.Level, e events.Event, args ...any) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	base := []any{
		"request", q.ask.Attempt, "route", route, "customer", q.customer,
		"config", q.version, "afterMs", time.Since(q.begin).Milliseconds(),
	}
	e.Log(context.Background(), q.h.Log, level, append(base, args...)...)
}

// left reports whether the request's caller has left.
func left(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
