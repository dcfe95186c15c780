package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/state"
)

// admit resolves the request's route and customer, and refuses the request if this host or
// the fleet has no capacity for it.
func (q *request) admit() *Refusal {
	if refusal := q.resolve(); refusal != nil {
		return refusal
	}
	if refusal := q.checkLoad(); refusal != nil {
		q.h.State.RecordHostOverload(q.placementNeed())
		return refusal
	}
	if placement, refused := q.h.State.RefuseEarly(q.placementNeed()); refused {
		return q.noServerRefusal(placement)
	}
	return nil
}

// resolve determines the request's route, customer, limits, deadline and service.
func (q *request) resolve() *Refusal {
	if q.h.refuseNew.Load() {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "this router is stopping", RetryAfter: retryElsewhereAfter}
	}
	table, configAge := q.h.State.Table()
	if table == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no configuration is known yet", RetryAfter: retryElsewhereAfter}
	}
	q.configVersion = table.Config.Version
	q.route = table.Route(q.r.Host, rawPath(q.r))
	if q.route == nil {
		return refuseUnknown(http.StatusNotFound, "no route", configAge)
	}
	customer := table.Customer(q.meta.IdempotencyKey)
	if customer == nil && !q.route.Public {
		return refuseUnknown(http.StatusUnauthorized, "no customer has this key", configAge)
	}
	q.allowedRegions = q.route.Homes
	if customer != nil {
		q.customer = customer.Name
		q.allowedRegions = q.allowedRegions.Intersect(customer.Homes)
	}
	q.limits = table.Config.Limits
	if limits := q.limits; limits.MaxHeaderBytes > 0 && headerBytes(q.r) > limits.MaxHeaderBytes {
		return &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header too large"}
	}
	if limits := q.limits; limits.MaxBodyBytes > 0 && q.r.ContentLength > limits.MaxBodyBytes {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	}
	q.deadline = q.received.Add(timeBudget(q.route, q.meta))
	q.service = state.PickService(q.route)
	return nil
}

// headerLineOverhead is the number of bytes of a header line besides its name and value.
const headerLineOverhead = len(": \r\n")

// headerBytes returns the size of the request line and header as the caller sent them.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead + len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + headerLineOverhead
		}
	}
	return size
}

// admissionTTL is how long a listener's decision to admit a request stays valid. Even an
// overloaded host reads the request within that time.
const admissionTTL = 250 * time.Millisecond

// AdmittedConn is a caller's connection whose first request is admitted by the listener.
type AdmittedConn interface {
	// TakeAdmission returns the time at which the connection was admitted when it is called for
	// the first time, and the zero time afterwards.
	TakeAdmission() time.Time
}

// wasAdmitted reports whether the listener admitted the request within admissionTTL.
func wasAdmitted(r *http.Request) bool {
	c, ok := r.Context().Value(callerConnKey{}).(AdmittedConn)
	return ok && time.Since(c.TakeAdmission()) < admissionTTL
}

// checkLoad refuses a request if this host is overloaded or has too many requests in flight, so
// that the caller retries at another router. Customers that dominate this host are refused first.
func (q *request) checkLoad() *Refusal {
	inFlight := q.h.inFlight.Load()
	wait := q.h.ExpectedWait()
	reason := ""
	switch {
	case inFlight > q.h.MaxInFlight:
		reason = "too many requests are in progress here"
	case q.preAdmitted:
		// The expected wait already includes this request's work, and refusing it now would cost
		// a good part of what serving it costs.
		return nil
	case wait >= pressure.Overloaded:
		reason = "this router is behind its work"
	case q.h.ProcessorWait() >= pressure.Busy && !q.h.Relaying() && q.h.customerLoad.isMajority(q.customer):
		reason = "this customer fills this router"
	default:
		return nil
	}
	hasRoom := float64(inFlight) <= inFlightOverrun*float64(q.h.MaxInFlight) && wait < pressure.Saturated
	if hasRoom && !q.h.customerLoad.dominates(q.customer) {
		return nil
	}
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: retryElsewhereAfter,
		logArgs:    []any{"running", inFlight, "processorWaitMs", wait.Milliseconds()},
	}
}

// refuseUnknown refuses a request whose route or customer is not in the current configuration.
// If the configuration is stale, the entry may be new and known to another router, so the
// refusal is retryable.
func refuseUnknown(status int, reason string, configAge time.Duration) *Refusal {
	if state.Stale(configAge) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason + "; the view is old", RetryAfter: retryElsewhereAfter}
	}
	return &Refusal{Status: status, Reason: reason}
}

// timeBudget returns the shorter of the time limits of the caller and the route.
func timeBudget(route *routing.Route, meta routing.RequestMeta) time.Duration {
	budget := defaultTimeout
	if route.Timeout > 0 {
		budget = route.Timeout
	}
	if meta.HasTimeLeft {
		budget = min(budget, meta.TimeLeft)
	}
	return budget
}

// rawPath returns the path as the caller sent it, without decoding.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// requestTarget returns the path and query as the caller sent them, without decoding.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
