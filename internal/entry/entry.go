// Package entry is where callers come in: it names the customer of each
// request, holds it to the customer's rate and size limits, and hands it to the
// proxy. What it turns away has not run.
package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/metrics"
	"github.com/windscale/windscale/internal/problem"
)

// Proxy runs an authenticated request at a backend server and writes the
// answer, or the refusal, to w. Handlers call it from their own goroutine.
type Proxy interface {
	Model(w http.ResponseWriter, r *http.Request, c *settings.Customer)
	Service(w http.ResponseWriter, r *http.Request, c *settings.Customer, service, path string)
}

// Entry is the callers' HTTP handler.
type Entry struct {
	snapshot func() *settings.Snapshot // nil until there is one
	proxy    Proxy
	counts   *metrics.Entry
	rates    *rates
	bodies   bodies
	bodyTime time.Duration // for what is left of a refused request's body
}

// New returns an entry. snapshot returns the settings in force, nil before there
// are any; each request calls it once, from its own goroutine.
func New(snapshot func() *settings.Snapshot, proxy Proxy, counts *metrics.Entry) *Entry {
	return &Entry{
		snapshot: snapshot,
		proxy:    proxy,
		counts:   counts,
		rates:    newRates(time.Now),
		bodyTime: refusedBodyTime,
	}
}

// Handler returns the routes.
func (e *Entry) Handler() http.Handler {
	r := echo.New()
	r.POST("/v1/chat/completions", func(c *echo.Context) error {
		e.serve(c.Response(), c.Request(), e.proxy.Model)
		return nil
	})
	r.Any("/services/:name", e.service)
	r.Any("/services/:name/*", e.service)
	r.HTTPErrorHandler = func(c *echo.Context, err error) {
		t := routeProblem(err)
		e.counts.Denied(t.Name)
		problem.Refuse(c.Response(), t, "", 0)
	}
	return r
}

// routeProblem is the answer to what no route takes.
func routeProblem(err error) problem.Type {
	if echo.StatusCode(err) == http.StatusMethodNotAllowed {
		return problem.MethodNotAllowed
	}
	return problem.NotFound
}

// service serves a call to a plain service.
func (e *Entry) service(c *echo.Context) error {
	name, path, ok := serviceCall(c.Request())
	if !ok {
		e.counts.Denied(problem.BadRequest.Name)
		problem.Refuse(c.Response(), problem.BadRequest, "the service's name is malformed", 0)
		return nil
	}
	run := func(w http.ResponseWriter, r *http.Request, cust *settings.Customer) {
		e.proxy.Service(w, r, cust, name, path)
	}
	e.serve(c.Response(), c.Request(), run)
	return nil
}

// serviceCall splits /services/NAME/PATH. The path keeps the caller's escapes.
// Both are read from the escaped form, so that an escaped slash or dot in the
// name is never taken for a part of the path.
func serviceCall(r *http.Request) (name, path string, ok bool) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	escaped, path, _ := strings.Cut(rest, "/")
	name, err := url.PathUnescape(escaped)
	if err != nil || name == "" || strings.Contains(name, "/") {
		return "", "", false
	}
	return name, "/" + path, true
}

// serve names the customer, applies its limits and runs the request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, run func(http.ResponseWriter, *http.Request, *settings.Customer)) {
	if r.ContentLength != 0 {
		e.limitBody(w)
	}
	s := e.snapshot()
	if s == nil {
		e.counts.Denied(problem.NotReady.Name)
		problem.Refuse(w, problem.NotReady, "", notReadyRetry)
		return
	}
	c, ok := authenticate(s, r)
	if !ok {
		e.counts.Denied(problem.Unauthorized.Name)
		problem.Refuse(w, problem.Unauthorized, "", 0)
		return
	}
	count := e.counts.Customer(c.Path)
	count.Request()
	if wait, ok := e.rates.take(c); !ok {
		count.Refused(problem.RateLimited.Name)
		problem.Refuse(w, problem.RateLimited, "", wait)
		return
	}
	if r.ContentLength > s.Fleet.MaxBody {
		count.Refused(problem.BodyTooLarge.Name)
		problem.Refuse(w, problem.BodyTooLarge, "", 0)
		return
	}
	body := e.bodies.newBody(http.MaxBytesReader(w, r.Body, s.Fleet.MaxBody), s.Fleet.QueueBytes)
	defer body.release()
	r.Body = body
	r.Header.Del("Authorization") // the key is windscale's; servers never see it
	run(w, r, c)
}

// refusedBodyTime is how long net/http waits for what is left of the body of a
// request that was refused, before it takes the connection's next one.
const refusedBodyTime = 10 * time.Second

// limitBody bounds the time that the body takes. The proxy replaces it by the
// request's own time.
func (e *Entry) limitBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.bodyTime)) // writers in tests have none
}

// notReadyRetry is when to come back to a router without settings.
const notReadyRetry = 2 * time.Second

// authenticate finds the customer of the bearer key. The look-up is by the
// key's digest and the digests are compared in constant time, so that the time
// taken tells nothing of the keys that exist.
func authenticate(s *settings.Snapshot, r *http.Request) (*settings.Customer, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, false
	}
	digest := settings.KeyHash(sha256.Sum256([]byte(key)))
	c, ok := s.ByKey(digest)
	if !ok {
		return nil, false
	}
	return c, holds(c, digest)
}

// holds says whether digest is one of the customer's keys.
func holds(c *settings.Customer, digest settings.KeyHash) bool {
	found := 0
	for _, k := range c.Keys {
		found |= subtle.ConstantTimeCompare(k[:], digest[:])
	}
	return found == 1
}
