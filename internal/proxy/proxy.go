// Package proxy carries callers' requests to backend servers and answers for
// what becomes of them. Each request gets its own complete response, or a refusal
// that says truly whether it has run; what may not be repeated is sent at most
// once. What to do after each event is decided by package attempt; this package
// does it.
package proxy

import (
	"crypto/rand"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/windscale/windscale/internal/backend"
	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/dispatch"
	"github.com/windscale/windscale/internal/problem"
)

// Finish is what the metrics learn of a request once it is over.
type Finish struct {
	Customer msg.CustomerID
	Pool     msg.PoolID
	Problem  string // name of the problem type; empty: answered, or the caller went
	Outcome  attempt.Outcome
	Attempts int
	Cost     msg.Cost
	Tokens   int64         // delivered, of streams
	Wait     time.Duration // for slots
	First    time.Duration // from arrival to the first token or byte; 0: none came
	Between  time.Duration // mean gap between tokens; 0: fewer than two
	Total    time.Duration
	Broken   bool // the caller's connection was broken within the answer
	Gone     bool // the caller went before its answer
}

// Attempt is what the metrics learn of an attempt once it is over.
type Attempt struct {
	Pool    msg.PoolID
	Server  msg.ServerID
	Outcome attempt.Outcome
	Leaving bool // the server said that it is leaving, or could not be dialled
}

// Observer learns what happens, for the metrics. Its methods are called from
// the requests' goroutines and must not block.
type Observer interface {
	Attempt(Attempt)                 // once for each attempt, when it is over
	Waiting(c msg.CustomerID, n int) // n more, or fewer, wait for a slot
	Running(c msg.CustomerID, n int) // n more, or fewer, run
	Retry(pool msg.PoolID, allowed bool)
	Resume(pool msg.PoolID, allowed bool)
	Finish(f Finish) // once for each request, as the last call for it
}

// NopObserver ignores everything.
type NopObserver struct{}

// Attempt implements Observer.
func (NopObserver) Attempt(Attempt) {}

// Waiting implements Observer.
func (NopObserver) Waiting(msg.CustomerID, int) {}

// Running implements Observer.
func (NopObserver) Running(msg.CustomerID, int) {}

// Retry implements Observer.
func (NopObserver) Retry(msg.PoolID, bool) {}

// Resume implements Observer.
func (NopObserver) Resume(msg.PoolID, bool) {}

// Finish implements Observer.
func (NopObserver) Finish(Finish) {}

// Proxy serves callers' requests after the entry has authenticated them,
// limited their rate and capped their bodies. Fill in the exported fields
// before the first request; its methods are then safe for concurrent use.
type Proxy struct {
	Picker   dispatch.Picker
	Snapshot func() *settings.Snapshot
	Backend  *backend.Client
	Claims   Claims // nil: calls with a key that may not be repeated are refused
	Now      func() time.Time
	Log      *slog.Logger
	Observer Observer

	mu         sync.Mutex
	allowances map[msg.PoolID]*attempt.Allowance
}

// Model serves POST /v1/chat/completions for a customer.
func (p *Proxy) Model(w http.ResponseWriter, r *http.Request, c *settings.Customer) {
	a, ok := p.arrived(w, r, c)
	if !ok {
		return
	}
	request, ok := parseModel(a.body)
	if !ok {
		p.refuseEarly(w, c, problem.BadRequest, "the body is no chat completion request, or has a key that is read in two spellings")
		return
	}
	if !allowed(c.Models, request.model) {
		p.refuseEarly(w, c, problem.Forbidden, "the model is not allowed to this customer")
		return
	}
	u := p.newRun(w, r, c, a, msg.ModelPool(request.model), modelRule)
	defer u.close()
	m := modelRun{run: u, body: a.body}
	if request.stream {
		m.serveStream()
		return
	}
	m.serveWhole()
}

// Service serves a call to a plain service for a customer. path is escaped, as
// the caller sent it, with its leading slash; the query is r's.
func (p *Proxy) Service(w http.ResponseWriter, r *http.Request, c *settings.Customer, service, path string) {
	decoded, ok := canonical(path)
	if !ok || !printable(r.URL.RawQuery) {
		p.refuseEarly(w, c, problem.BadRequest, "the path is not canonical")
		return
	}
	known, ok := p.serviceOf(w, c, service)
	if !ok {
		return
	}
	a, ok := p.arrived(w, r, c)
	if !ok {
		return
	}
	once := isOnce(known.AtMostOnce, r.Method, decoded)
	key, ok := idempotencyKey(r.Header.Values(headerKey))
	if once && !ok {
		p.refuseEarly(w, c, problem.BadKey, "")
		return
	}
	u := p.newRun(w, r, c, a, msg.ServicePool(service), serviceRule(r.Method, once))
	defer u.close()
	s := serviceRun{run: u, service: known, path: decoded, rawPath: path, body: a.body, once: once}
	if once && key != "" {
		u.keepRunning()
		s.serveClaimed(key)
		return
	}
	s.serve()
}

// serviceOf returns a service that the customer may call. On failure it has
// refused the request.
func (p *Proxy) serviceOf(w http.ResponseWriter, c *settings.Customer, name string) (settings.Service, bool) {
	if !allowed(c.Services, name) {
		p.refuseEarly(w, c, problem.Forbidden, "the service is not allowed to this customer")
		return settings.Service{}, false
	}
	known, ok := p.Snapshot().Services[name]
	if !ok {
		p.refuseEarly(w, c, problem.NotFound, "there is no such service")
	}
	return known, ok
}

// refuseEarly refuses a request before a run is made of it.
func (p *Proxy) refuseEarly(w http.ResponseWriter, c *settings.Customer, t problem.Type, detail string) {
	p.Observer.Finish(Finish{Customer: c.Path, Problem: t.Name, Outcome: attempt.NotSent})
	after := time.Duration(0)
	if t.Status == http.StatusServiceUnavailable {
		after = defaultRetryAfter
	}
	problem.Refuse(w, t, detail, after)
}

// Allowances returns what is left of each pool's retry allowance, in attempts.
func (p *Proxy) Allowances() map[msg.PoolID]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := map[msg.PoolID]float64{}
	for pool, a := range p.allowances {
		left[pool] = a.Tokens()
	}
	return left
}

// succeeded feeds the pool's retry allowance.
func (p *Proxy) succeeded(pool msg.PoolID, retryPercent float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allowance(pool).Succeeded(retryPercent)
}

// takeRetry asks the pool's retry allowance.
func (p *Proxy) takeRetry(pool msg.PoolID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allowance(pool).Take()
}

// allowance returns the pool's allowance. The mutex is held.
func (p *Proxy) allowance(pool msg.PoolID) *attempt.Allowance {
	a, ok := p.allowances[pool]
	if ok {
		return a
	}
	if p.allowances == nil {
		p.allowances = map[msg.PoolID]*attempt.Allowance{}
	}
	a = attempt.NewAllowance()
	p.allowances[pool] = a
	return a
}

// newID returns an ID that no other request has, at any router.
func newID() msg.RequestID { return msg.RequestID(rand.Text()) }

// uniform is the jitter's source.
func uniform() float64 { return mathrand.Float64() }
