// Package problem writes error responses to callers as RFC 9457 problem
// documents. The only error responses not written here are net/http's own, for
// input that is not a valid HTTP request. The problem types are stable, since
// callers may depend on them; docs/PROBLEMS.md lists them.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/windscale/windscale/internal/core/attempt"
	"github.com/windscale/windscale/internal/core/msg"
)

// Headers of a problem response.
const (
	HeaderRun     = "Windscale-Run"     // "no" or "unknown"
	HeaderRequest = "Windscale-Request" // the request's ID

	typePrefix  = "urn:windscale:problem:"
	contentType = "application/problem+json"
)

// Type is a problem type.
type Type struct {
	Name   string // the last part of the URN
	Status int    // HTTP status
	Title  string
}

// URN returns the type's stable identifier.
func (t Type) URN() string { return typePrefix + t.Name }

// Error carries a problem type up to the code that writes the response.
type Error struct{ Type Type }

// Error implements error.
func (e *Error) Error() string { return e.Type.Title }

// The problem types.
var (
	BadRequest        = Type{"bad-request", 400, "The request is malformed"}
	BadTimeout        = Type{"bad-timeout", 400, "Windscale-Timeout is not a positive duration"}
	BadKey            = Type{"bad-idempotency-key", 400, "Idempotency-Key is malformed"}
	Unauthorized      = Type{"unauthorized", 401, "No customer has this key"}
	Forbidden         = Type{"forbidden", 403, "The customer may not use this model or service"}
	NotFound          = Type{"not-found", 404, "There is nothing at this path"}
	MethodNotAllowed  = Type{"method-not-allowed", 405, "The path does not take this method"}
	RequestTimeout    = Type{"request-timeout", 408, "The request did not arrive in time"}
	ClaimRunning      = Type{"claim-running", 409, "The first request with this Idempotency-Key is running"}
	BodyTooLarge      = Type{"body-too-large", 413, "The request's body is too large"}
	ClaimMismatch     = Type{"claim-mismatch", 422, "The Idempotency-Key was used for a request of another content"}
	RateLimited       = Type{"rate-limited", 429, "The customer's request rate is used up"}
	QueueFull         = Type{"queue-full", 429, "The customer's queue is full"}
	ServerLost        = Type{"server-lost", 502, "The backend server did not answer; the request may have run"}
	AnswerCut         = Type{"answer-cut", 502, "The backend server's answer was cut"}
	AnswerLost        = Type{"answer-lost", 502, "The request ran, but its answer was not kept"}
	OutcomeUnknown    = Type{"outcome-unknown", 502, "The first request with this Idempotency-Key may have run; its answer is lost"}
	RouterFull        = Type{"router-full", 503, "The router holds as many waiting requests as it may"}
	QueueTimeout      = Type{"queue-timeout", 503, "No backend server was free in time"}
	NoServer          = Type{"no-server", 503, "No backend server is known for the model or service"}
	ServerUnreachable = Type{"server-unreachable", 503, "No backend server could be reached"}
	ServerRefused     = Type{"server-refused", 503, "The backend servers refused the request before running it"}
	ClaimsUnavailable = Type{"claims-unavailable", 503, "Idempotency-Keys can't be checked now"}
	ClaimLapsed       = Type{"claim-lapsed", 503, "The claim of the Idempotency-Key lapsed before the request was sent"}
	NotReady          = Type{"not-ready", 503, "The router has no settings yet"}
	Deadline          = Type{"deadline", 504, "The request's deadline passed"}
)

// All lists every type, in the order of docs/PROBLEMS.md.
var All = []Type{
	BadRequest, BadTimeout, BadKey, Unauthorized, Forbidden, NotFound,
	MethodNotAllowed, RequestTimeout, ClaimRunning, BodyTooLarge,
	ClaimMismatch, RateLimited, QueueFull, ServerLost, AnswerCut, AnswerLost,
	OutcomeUnknown, RouterFull, QueueTimeout, NoServer, ServerUnreachable,
	ServerRefused, ClaimsUnavailable, ClaimLapsed, NotReady, Deadline,
}

// Info holds the details of a problem response other than its type.
type Info struct {
	// Outcome is what is known about the request's execution. The zero value
	// is reported as "unknown", so that an outcome left unset never wrongly
	// claims that the request has not run.
	Outcome    attempt.Outcome
	RetryAfter time.Duration // delay before a retry; 0: header omitted
	Detail     string        // human-readable; must not contain secrets
	Request    msg.RequestID // may be empty
}

// document is the JSON body of a problem response.
type document struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Instance string `json:"instance,omitempty"`
}

// Refuse writes a problem for a request of which no byte was sent to a
// backend server.
func Refuse(w http.ResponseWriter, t Type, detail string, retryAfter time.Duration) {
	Write(w, t, Info{Outcome: attempt.NotSent, Detail: detail, RetryAfter: retryAfter})
}

// Write sends the problem as the complete response. Nothing may have been written
// to w before. Headers already set for another response are removed.
func Write(w http.ResponseWriter, t Type, info Info) {
	doc := document{Type: t.URN(), Title: t.Title, Status: t.Status, Detail: info.Detail}
	h := w.Header()
	clear(h)
	if info.Request != "" {
		doc.Instance = "urn:windscale:request:" + string(info.Request)
		h.Set(HeaderRequest, string(info.Request))
	}
	body, err := json.Marshal(doc)
	if err != nil { // strings and an int always marshal
		body = []byte("{}")
	}
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRun, info.Outcome.RunHeader())
	if info.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(info.RetryAfter)))
	}
	w.WriteHeader(t.Status)
	_, _ = w.Write(body) // the caller may have disconnected
}

// retrySeconds rounds up to whole seconds, the unit of Retry-After.
func retrySeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
