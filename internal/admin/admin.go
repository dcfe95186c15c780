// Package admin is the operators' HTTP API of a router, on a listener of its
// own: health, status, drain, backend servers and expvar. All but the health
// checks want the operators' token or, over TLS, an operator's certificate.
package admin

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v5"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/sharing"
)

// Member is one router as this router sees it.
type Member struct {
	ID          msg.RouterID `json:"id"`
	DataCentre  string       `json:"dataCentre"`
	State       string       `json:"state"`
	Incarnation uint64       `json:"incarnation"`
}

// Status is what GET /v1/status answers. Running and Waiting are requests of
// callers of this router.
type Status struct {
	Router          msg.RouterID `json:"router"`
	Incarnation     uint64       `json:"incarnation"`
	DataCentre      string       `json:"dataCentre"`
	Ready           bool         `json:"ready"`
	Draining        bool         `json:"draining"`
	SettingsVersion uint64       `json:"settingsVersion"`
	SettingsDigest  string       `json:"settingsDigest"`
	Running         int          `json:"running"`
	Waiting         int          `json:"waiting"`
	Members         []Member     `json:"members"`
}

// Backend is one backend server as this router sees it. What follows State is
// known at the router that admits to the server only.
type Backend struct {
	ID         msg.ServerID `json:"id"`
	Addr       string       `json:"addr"`
	DataCentre string       `json:"dataCentre"`
	State      string       `json:"state"` // live, silent or leaving
	Pools      []msg.PoolID `json:"pools"`
	AdmittedBy msg.RouterID `json:"admittedBy,omitempty"` // this router, or empty
	Slots      int          `json:"slots"`                // as the server reports
	Limit      int          `json:"limit"`                // of requests at once, adapted
	Running    int          `json:"running"`
}

// Router is what the API shows and does. Any goroutine may call its methods.
type Router interface {
	Status() Status
	Backends() []Backend
	// Explain says why a customer's requests wait now.
	Explain(c msg.CustomerID) sharing.Explanation
	// Drain begins a graceful shutdown and returns at once.
	Drain()
	// SetLink cuts or mends the link to a peer, for tests of failures. It
	// returns false where the configuration does not allow faults.
	SetLink(peer msg.RouterID, cut bool) bool
}

// Handler serves the API to those whom auth admits.
func Handler(r Router, auth Auth) http.Handler {
	e := echo.New()
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c *echo.Context) error { return readyz(c, r.Status()) })
	g := e.Group("", auth.authenticate)
	g.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	g.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	g.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	g.GET("/v1/status", func(c *echo.Context) error { return c.JSON(http.StatusOK, r.Status()) })
	g.GET("/v1/backends", func(c *echo.Context) error { return c.JSON(http.StatusOK, r.Backends()) })
	g.GET("/v1/explain", func(c *echo.Context) error {
		return c.JSON(http.StatusOK, r.Explain(msg.CustomerID(c.QueryParam("customer"))))
	})
	g.POST("/v1/drain", func(c *echo.Context) error {
		auth.logChange(c, events.DrainOrdered)
		r.Drain()
		return c.JSON(http.StatusAccepted, r.Status())
	})
	g.POST("/v1/link", func(c *echo.Context) error { return setLink(c, r, auth) })
	return e
}

// readyz tells the platform's balancer whether to send callers here.
func readyz(c *echo.Context, s Status) error {
	if !s.Ready || s.Draining {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// linkOrder is the body of POST /v1/link.
type linkOrder struct {
	Peer msg.RouterID `json:"peer"`
	Cut  bool         `json:"cut"`
}

// maxOrder bounds the body of an order, in bytes.
const maxOrder = 4096

// setLink cuts or mends the link to a peer.
func setLink(c *echo.Context, r Router, auth Auth) error {
	var o linkOrder
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxOrder)
	if err := json.NewDecoder(body).Decode(&o); err != nil {
		return c.String(http.StatusBadRequest, "malformed order\n")
	}
	if !r.SetLink(o.Peer, o.Cut) {
		return c.String(http.StatusForbidden, "this router's configuration does not allow faults\n")
	}
	auth.logChange(c, events.LinkOrdered, "peer", o.Peer, "cut", o.Cut)
	return c.NoContent(http.StatusNoContent)
}
