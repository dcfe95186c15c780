package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/fleetcert"
)

// Auth says who may use the API.
type Auth struct {
	Token string           // the operators' token; empty: none is accepted
	TLS   fleetcert.Source // whose CA operators' certificates are of; nil: none is accepted
	Log   *slog.Logger     // of what operators change; nil: nowhere
}

// The ways in which an operator proves to be one.
const (
	byCertificate = "certificate"
	byToken       = "token"
)

// operator is who sends a request. The token names nobody.
type operator struct {
	name string
	by   string
}

// operatorKey is where a request's operator is kept in its context.
const operatorKey = "operator"

// authenticate passes on requests of operators only.
func (a Auth) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		who, ok := a.operator(c.Request())
		if !ok {
			return c.String(http.StatusUnauthorized, "an operators' token or certificate is needed\n")
		}
		c.Set(operatorKey, who)
		return next(c)
	}
}

// operator checks the certificate at each request, not once a connection, so
// that one that has expired, or whose CA is no longer trusted, ends at once.
func (a Auth) operator(r *http.Request) (operator, bool) {
	if r.TLS != nil && a.TLS != nil {
		if name, err := a.TLS.Current().VerifyOperator(*r.TLS); err == nil {
			return operator{name: name, by: byCertificate}, true
		}
	}
	return operator{by: byToken}, a.hasToken(r)
}

// hasToken says whether the request has the operators' token. It compares
// digests, so that the time taken tells nothing of the token, its length
// included.
func (a Auth) hasToken(r *http.Request) bool {
	want := sha256.Sum256([]byte(a.Token))
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	got := sha256.Sum256([]byte(given))
	return ok && a.Token != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// logChange logs what an operator has ordered.
func (a Auth) logChange(c *echo.Context, e events.Event, args ...any) {
	if a.Log == nil {
		return
	}
	who, _ := c.Get(operatorKey).(operator)
	args = append(args, "operator", who.name, "by", who.by, "addr", c.Request().RemoteAddr)
	e.Log(c.Request().Context(), a.Log, slog.LevelInfo, args...)
}
