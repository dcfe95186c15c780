// Package platform is the stand-in of the platform: a transactional table, an
// object store and a lagging host list in memory, in the HTTP form of package
// wire. Each service can be told to be down, slow, or to lose its replies.
//
// Besides the services it answers PUT and GET /_hosts (the list as it really
// is), POST /_fault ([Fault]) and GET /_stats ([Stats] by service).
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v5"

	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform/wire"
)

// Server is the stand-in platform. Its handler may serve any number of
// goroutines.
type Server struct {
	store  *store
	hosts  *hostList
	faults *faults
	echo   *echo.Echo
}

// New returns a platform whose host list shows each change listLag after it
// was made.
func New(listLag time.Duration) *Server {
	s := &Server{store: newStore(), hosts: newHostList(listLag), faults: newFaults(), echo: echo.New()}
	s.echo.GET("/table/rows/*", s.service(Table, false, s.getRow))
	s.echo.PUT("/table/rows/*", s.service(Table, true, s.putRow))
	s.echo.DELETE("/table/rows/*", s.service(Table, true, s.deleteRow))
	s.echo.POST(wire.Read, s.service(Table, false, s.readRows))
	s.echo.POST(wire.Transactions, s.service(Table, true, s.transaction))
	s.echo.GET("/objects/*", s.service(Objects, false, s.getObject))
	s.echo.PUT("/objects/*", s.service(Objects, true, s.putObject))
	s.echo.GET(wire.Hosts, s.service(Hosts, false, s.listHosts))
	s.echo.GET("/_hosts", s.realHosts)
	s.echo.PUT("/_hosts", s.setHosts)
	s.echo.POST("/_fault", s.setFault)
	s.echo.GET("/_stats", s.showStats)
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// reply is what a service answers once it has acted.
type reply struct {
	status int
	etag   string
	body   []byte
}

// action is one service call: it acts and returns its reply. The body is the
// request's.
type action func(r *http.Request, body []byte) reply

// service wraps an action in the faults of its service.
func (s *Server) service(name string, write bool, act action) echo.HandlerFunc {
	return func(c *echo.Context) error {
		body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, wire.MaxBody))
		if err != nil {
			return c.NoContent(http.StatusRequestEntityTooLarge)
		}
		fault := s.faults.take(name, write)
		switch fault.Mode {
		case Down:
			return c.NoContent(http.StatusServiceUnavailable)
		case Cut:
			panic(http.ErrAbortHandler)
		case Slow:
			time.Sleep(fault.delay()) // it acts late, even if its caller has gone
		}
		out := act(c.Request(), body)
		if fault.Mode == LostReply {
			panic(http.ErrAbortHandler)
		}
		return send(c, out)
	}
}

func send(c *echo.Context, out reply) error {
	if out.etag != "" {
		c.Response().Header().Set("ETag", out.etag)
	}
	if out.body == nil {
		return c.NoContent(out.status)
	}
	return c.Blob(out.status, "application/octet-stream", out.body)
}

func (s *Server) getRow(r *http.Request, _ []byte) reply {
	key, ok := wire.Key(wire.Rows, r.URL.EscapedPath())
	if !ok {
		return reply{status: http.StatusBadRequest}
	}
	row := s.store.read([]string{key})[0]
	if row.Version == 0 {
		return reply{status: http.StatusNotFound}
	}
	return reply{status: http.StatusOK, etag: wire.ETag(row.Version), body: nonNil(row.Value)}
}

func (s *Server) putRow(r *http.Request, body []byte) reply { return s.writeRow(r, body, false) }

func (s *Server) deleteRow(r *http.Request, _ []byte) reply { return s.writeRow(r, nil, true) }

func (s *Server) writeRow(r *http.Request, body []byte, remove bool) reply {
	key, ok := wire.Key(wire.Rows, r.URL.EscapedPath())
	version, conditional := condition(r.Header)
	if !ok || !conditional {
		return reply{status: http.StatusBadRequest}
	}
	return s.apply([]wire.Write{{Key: key, Value: body, IfVersion: version, Delete: remove}})
}

// condition returns the version that a write demands, 0 for none, and whether
// the write is conditional at all.
func condition(h http.Header) (uint64, bool) {
	if h.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, ok := wire.ParseETag(h.Get("If-Match"))
	return version, ok && version > 0
}

func (s *Server) apply(writes []wire.Write) reply {
	if !s.store.commit(writes) {
		return reply{status: http.StatusPreconditionFailed}
	}
	return reply{status: http.StatusNoContent}
}

func (s *Server) readRows(_ *http.Request, body []byte) reply {
	var req wire.ReadRequest
	if json.Unmarshal(body, &req) != nil {
		return reply{status: http.StatusBadRequest}
	}
	return jsonReply(wire.ReadResponse{Rows: s.store.read(req.Keys)})
}

func (s *Server) transaction(_ *http.Request, body []byte) reply {
	var tx wire.Transaction
	if json.Unmarshal(body, &tx) != nil || len(tx.Writes) == 0 {
		return reply{status: http.StatusBadRequest}
	}
	return s.apply(tx.Writes)
}

func (s *Server) getObject(r *http.Request, _ []byte) reply {
	key, ok := wire.Key(wire.Objects, r.URL.EscapedPath())
	if !ok {
		return reply{status: http.StatusBadRequest}
	}
	body, ok := s.store.get(key)
	if !ok {
		return reply{status: http.StatusNotFound}
	}
	return reply{status: http.StatusOK, body: nonNil(body)}
}

func (s *Server) putObject(r *http.Request, body []byte) reply {
	key, ok := wire.Key(wire.Objects, r.URL.EscapedPath())
	if !ok || r.Header.Get("If-None-Match") != "*" {
		return reply{status: http.StatusBadRequest}
	}
	if !s.store.put(key, body) {
		return reply{status: http.StatusPreconditionFailed}
	}
	return reply{status: http.StatusCreated}
}

func (s *Server) listHosts(r *http.Request, _ []byte) reply {
	out := jsonReply(s.hosts.shown(time.Now()).hosts)
	out.etag = wire.ETag(xxhash.Sum64(out.body))
	if r.Header.Get("If-None-Match") == out.etag {
		return reply{status: http.StatusNotModified, etag: out.etag}
	}
	return out
}

func (s *Server) realHosts(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.hosts.newest().hosts)
}

func (s *Server) setHosts(c *echo.Context) error {
	hosts := []platform.Host{}
	if json.NewDecoder(io.LimitReader(c.Request().Body, wire.MaxBody)).Decode(&hosts) != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.hosts.set(hosts, time.Now())
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) setFault(c *echo.Context) error {
	var fault Fault
	if json.NewDecoder(io.LimitReader(c.Request().Body, wire.MaxBody)).Decode(&fault) != nil || !fault.valid() {
		return c.NoContent(http.StatusBadRequest)
	}
	s.faults.set(fault)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) showStats(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.faults.counts())
}

func jsonReply(v any) reply {
	body, err := json.Marshal(v)
	if err != nil {
		return reply{status: http.StatusInternalServerError}
	}
	return reply{status: http.StatusOK, body: body}
}

func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}
