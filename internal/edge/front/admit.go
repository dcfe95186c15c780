package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/core/routing"
	"github.com/windscale/windscale/internal/edge/pressure"
	"github.com/windscale/windscale/internal/edge/state"
)

// admit finds the request's route and customer, and refuses it if this host or the
// fleet has no room for it.
func (q *request) admit() *Refusal {
	if refusal := q.find(); refusal != nil {
		return refusal
	}
	if refusal := q.behind(); refusal != nil {
		q.h.State.RecordHostOverload(q.need())
		return refusal
	}
	if placed, refused := q.h.State.RefuseEarly(q.need()); refused {
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
	customer := table.Customer(q.ask.IdempotencyKey)
	if customer == nil && !q.route.Public {
		return unknown(http.StatusUnauthorized, "no customer has this key", age)
	}
	q.homes = q.route.Homes
	if customer != nil {
		q.customer = customer.Name
		q.homes = q.homes.Intersect(customer.Homes)
	}
	q.limits = table.Config.Limits
	if limits := q.limits; limits.MaxHeaderBytes > 0 && headerBytes(q.r) > limits.MaxHeaderBytes {
		return &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header too large"}
	}
	if limits := q.limits; limits.MaxBodyBytes > 0 && q.r.ContentLength > limits.MaxBodyBytes {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	}
	q.deadline = q.begin.Add(timeLeft(q.route, q.ask))
	q.service = state.PickService(q.route)
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

// admissionLasts is for how long a listener's decision to let a request in stands: by then its
// bytes are read, also on a host that is behind.
const admissionLasts = 250 * time.Millisecond

// AdmittedConn is a caller's connection whose listener decides on its first request.
type AdmittedConn interface {
	// TakeAdmission returns when the connection was admitted, the first time it is called; zero
	// from then on.
	TakeAdmission() time.Time
}

// wasAdmitted reports whether a request's listener has admitted it just now.
func wasAdmitted(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(AdmittedConn)
	return ok && time.Since(c.TakeAdmission()) < admissionLasts
}

// behind refuses a request that this host has no time or room for. Its caller
// comes back at another router. The customers that dominate this host go first.
func (q *request) behind() *Refusal {
	running := q.h.running.Load()
	wait := q.h.ExpectedWait()
	reason := ""
	switch {
	case running > q.h.MaxRunning:
		reason = "too many requests are in progress here"
	case q.admitted:
		// The expected wait has its own work in it, and refusing it here would cost a good part of
		// serving it.
		return nil
	case wait >= pressure.Overloaded:
		reason = "this router is behind its work"
	case q.h.ProcessorWait() >= pressure.Busy && q.h.progress.fills(q.customer):
		reason = "this customer fills this router"
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
func timeLeft(route *routing.Route, ask routing.RequestMeta) time.Duration {
	left := defaultTimeout
	if route.Timeout > 0 {
		left = route.Timeout
	}
	if ask.HasTimeLeft {
		left = min(left, ask.TimeLeft)
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
