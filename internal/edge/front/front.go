// Package front is the router's HTTP request path. It resolves a request's route and customer,
// has the state place it at a backend server, forwards it and returns the response. Each request
// ends with the server's complete response, with a response that is detectably truncated, or
// with a refusal that correctly says whether the request may have run.
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

	"github.com/windscale/windscale/internal/core/affinity"
	"github.com/windscale/windscale/internal/core/ask"
	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/meter"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/state"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/upstream"
)

// Headers translates between the HTTP headers of callers and servers and the router's types. It
// is implemented by the platform package.
type Headers interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) routing.RequestMeta
	// SetForwardHeaders sets the headers that the router adds to a request for a server.
	SetForwardHeaders(h http.Header, o routing.ForwardMeta)
	// ParseResponse parses the status and headers of a server's response. notRun means that the request
	// has not run and never will, other that another server now has the address; attempt is the
	// caller's ID of the attempt to which the response belongs.
	ParseResponse(status int, h http.Header) (notRun, other bool, attempt string)
	// ParseNotice parses the headers of a response that describe the server itself. Values that can't
	// be parsed are left zero, and an error is returned.
	ParseNotice(status int, h http.Header) (routing.ServerNotice, error)
	// SetAttempt sets the attempt ID in a response that the router itself produces.
	SetAttempt(h http.Header, attempt string)
}

// StreamDirectory remembers where streams began, so that they can be resumed at any router. It is
// implemented by peers.Peers.
type StreamDirectory interface {
	// RecordStream is called before the first event of a stream is sent to its caller. It must not block.
	RecordStream(k affinity.Key, o affinity.Origin, ttl time.Duration)
	// FindStream returns where a stream began, or why that can't be found out.
	FindStream(ctx context.Context, k affinity.Key) (affinity.Origin, *affinity.UnknownError)
}

// Scheduler decides at which servers requests are placed. It is implemented by peers.Peers.
type Scheduler interface {
	// Decide asks for a decision and calls apply with it, unless there is none. It returns when apply
	// has returned, or says why there is no decision.
	Decide(ctx context.Context, a state.Ask, apply func(state.Decision)) ask.Outcome
}

// Config holds the dependencies and limits of a Handler.
type Config struct {
	State     *state.State
	Pool      *upstream.Pool
	Headers   Headers
	Streams   StreamDirectory // nil: no caller can resume a stream
	Scheduler Scheduler       // nil: this router decides on all requests
	// ServersCurrent reports whether the list of servers holds all changes up to its call; nil: that is
	// never known.
	ServersCurrent   func(context.Context) bool
	Log              *slog.Logger
	LogSampling      int   // routine log lines are written for one request in this many
	MaxBufferedBytes int64 // limit on the bytes of request bodies in memory
	// MaxInFlight limits the number of requests in flight.
	MaxInFlight int64
	// NearConnLimit reports whether so many caller connections are open that each response should
	// close its connection.
	NearConnLimit func() bool
	// ProcessorWait returns the latest measurement of the time for which runnable work waits for the
	// processor. ExpectedWait adds the work admitted since that measurement; if nil, ProcessorWait is
	// used. From pressure.Overloaded on the host refuses new requests.
	ProcessorWait func() time.Duration
	ExpectedWait  func() time.Duration
	// Relaying reports whether this host relays new connections to other hosts; nil: it never does.
	Relaying func() bool
	Meter    *meter.Meter
	// Now is the clock for request deadlines; nil: time.Now. It may jump ahead after the host was
	// suspended: see CancelExpired.
	Now func() time.Time
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	Config
	refusalLogLimiter  *rate.Limiter // limits the log lines of refusals
	suppressedRefusals atomic.Int64  // refusals not logged since the last one that was
	bufferedBytes      atomic.Int64
	inFlight           atomic.Int64
	customerLoad       customerLoad
	cancels            cancelRegistry
	draining           atomic.Bool // responses close their connections
	refuseNew          atomic.Bool // new requests are refused
}

// New returns a handler.
func New(c Config) *Handler {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Streams == nil {
		c.Streams = noStreams{}
	}
	if c.ServersCurrent == nil {
		c.ServersCurrent = func(context.Context) bool { return false }
	}
	if c.ExpectedWait == nil {
		c.ExpectedWait = c.ProcessorWait
	}
	if c.Relaying == nil {
		c.Relaying = func() bool { return false }
	}
	return &Handler{
		Config:            c,
		refusalLogLimiter: rate.NewLimiter(refusalLogsPerSecond, refusalLogsPerSecond),
		customerLoad:      customerLoad{counts: map[string]int{}},
	}
}

// refusalLogsPerSecond limits the log lines of refusals to half of the 200 lines a second that a
// process writes, so that health changes and failures are not lost in a flood of refusals. The
// metrics count all refusals.
const refusalLogsPerSecond = 100

// SheddingLoad reports whether this host refuses requests because it is overloaded. While other hosts
// take its new connections, it need not refuse the customer that has the majority of its requests.
func (h *Handler) SheddingLoad() bool {
	if h.ExpectedWait() >= pressure.Overloaded {
		return true
	}
	return h.ProcessorWait() >= pressure.Busy && h.customerLoad.anyMajority() && !h.Relaying()
}

// overloaded reports whether the processor wait is too long for new requests.
func (h *Handler) overloaded() bool { return h.ProcessorWait() >= pressure.Overloaded }

// Drain makes every response close its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// RefuseNew makes the handler refuse all new requests.
func (h *Handler) RefuseNew() { h.refuseNew.Store(true) }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// defaultTimeout applies if neither the caller nor the route sets a time limit.
const defaultTimeout = 30 * time.Second

// request is the state of one request.
type request struct {
	h              *Handler
	w              http.ResponseWriter
	r              *http.Request
	meta           routing.RequestMeta
	route          *routing.Route
	customer       string
	allowedRegions routing.Regions // allowed by both the route and the customer
	service        string
	configVersion  int64 // version of the configuration used to resolve the request
	limits         routing.Limits
	received       time.Time
	deadline       time.Time
	body           []byte
	header         http.Header         // header forwarded to servers
	logRoutine     bool                // routine log lines are written
	preAdmitted    bool                // the listener has already admitted the request
	via            string              // control address of the host that relays the request; empty: none
	contentHash    routing.ContentHash // 0: not computed yet
	partHashes     []routing.ContentHash

	triedServers  []string
	sentCount     int                   // number of servers that the request may have reached
	mayHaveRun    bool                  // a server may have run it
	retryReserved bool                  // the next retry has already been taken from the retry budget
	isTrial       bool                  // it is the only request with its content that may run, as a trial
	trialParts    []routing.ContentHash // parts of which it is the only request that may run, as a trial
	isolate       bool                  // it must not share a server with requests that share its prompt
	headerSent    bool                  // the response header has been sent to the caller
	lastEventID   string
	// pinned means that a server of the software version has begun the stream, which may go on at
	// servers of that version only.
	pinned  bool
	version string

	asked ask.Outcome // of the ask for the latest placement
	ruled bool        // the scheduler's decision is the latest placement
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	q := &request{h: h, w: w, r: r, meta: h.Headers.ParseRequest(r.Header), received: h.Now(), preAdmitted: wasAdmitted(r), via: via(r)}
	q.logRoutine = h.LogSampling > 0 && xxhash.Sum64String(q.meta.Attempt)%uint64(h.LogSampling) == 0
	if h.draining.Load() || h.NearConnLimit() || h.SheddingLoad() || h.Relaying() || q.via != "" {
		w.Header().Set("Connection", "close")
	}
	refusal := q.admit()
	if refusal == nil {
		h.customerLoad.add(q.customer)
		defer h.customerLoad.remove(q.customer)
		refusal = q.readBody()
		defer func() { h.bufferedBytes.Add(-int64(len(q.body))) }()
	}
	if refusal != nil {
		q.writeRefusal(refusal)
		return
	}
	q.run()
}

// log logs an event with the request's attributes.
func (q *request) log(level slog.Level, e events.Event, args ...any) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	base := []any{
		"request", q.meta.Attempt, "route", route, "customer", q.customer,
		"config", q.configVersion, "afterMs", q.age().Milliseconds(),
	}
	if q.via != "" {
		base = append(base, "via", q.via)
	}
	e.Log(context.Background(), q.h.Log, level, append(base, args...)...)
}

// hashContent returns the hash of the request's content. It is computed on first use, as most
// requests never need it and bodies are long.
func (q *request) hashContent() routing.ContentHash {
	if q.contentHash == 0 {
		q.contentHash = routing.HashContent(q.customer, q.r.Method, q.r.Host, requestTarget(q.r), q.body)
	}
	return q.contentHash
}

// sharedParts returns the hashes of the parts of the prompt that other requests may have too. They are
// computed on first use, like hashContent.
func (q *request) sharedParts() []routing.ContentHash {
	if q.partHashes == nil {
		q.partHashes = routing.SharedParts(q.meta.Prompt)
	}
	return q.partHashes
}

// age returns the time since the request was received.
func (q *request) age() time.Duration { return q.h.Now().Sub(q.received) }

// remaining returns the time until the request's deadline.
func (q *request) remaining() time.Duration { return q.deadline.Sub(q.h.Now()) }

// callerCancelled reports whether the context was cancelled because the caller disconnected.
func callerCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
