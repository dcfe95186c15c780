// Package service is the stand-in of a plain service: requests run in slots
// for a set time each, and every execution is counted. Any path is served; its
// answer is that of package answer. It does not recognise a repeated
// Idempotency-Key: whoever sends one twice has it executed twice, and the
// record shows it.
package service

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
)

// Options are the sizes and speeds of a service.
type Options struct {
	ID          string
	Name        string
	Slots       int           // requests that run together
	Delay       time.Duration // how long each runs
	ReportLag   time.Duration // age of the load report
	ChecksFence bool          // refuse a Windscale-Fence older than one seen for the same key
}

const typeJSON = "application/json"

// Service is a stand-in plain service. Its handler may serve any number of
// goroutines.
type Service struct {
	opts    Options
	slots   chan struct{}
	record  backend.Record
	history *backend.LoadHistory
	faults  *backend.Faults[Fault]
	leaving atomic.Bool
	echo    *echo.Echo

	mu      sync.Mutex
	running int               // guarded by mu
	queued  int               // guarded by mu
	fences  map[string]uint64 // guarded by mu: highest fence by key
}

// New returns a service.
func New(opts Options) *Service {
	s := &Service{
		opts:    opts,
		slots:   make(chan struct{}, opts.Slots),
		history: backend.NewLoadHistory(opts.ReportLag),
		fences:  map[string]uint64{},
		faults:  newFaults(),
		echo:    echo.New(),
	}
	s.echo.GET("/v1/load", s.load)
	s.echo.GET("/_record", s.showRecord)
	s.echo.POST("/_fault", s.setFault)
	s.echo.Any("/*", s.serve)
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Leave makes the service refuse new requests and say that it is leaving.
func (s *Service) Leave() { s.leaving.Store(true) }

// Idle says whether no request waits or runs.
func (s *Service) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running+s.queued == 0
}

func (s *Service) isLeaving() bool { return s.leaving.Load() || s.faults.Now().Mode == Leaving }

func (s *Service) load(c *echo.Context) error {
	if s.faults.Now().Mode == Die {
		backend.Break()
	}
	running, queued, age := s.history.Report()
	return c.JSON(http.StatusOK, backend.Load{
		Slots: s.opts.Slots, Running: running, Queued: queued, AgeMs: age.Milliseconds(),
		Leaving: s.isLeaving(), Service: s.opts.Name,
	})
}

func (s *Service) showRecord(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.record.Log(s.opts.ID))
}

func (s *Service) setFault(c *echo.Context) error {
	var fault Fault
	if !backend.ReadJSON(c.Request(), &fault) || !fault.valid() {
		return c.NoContent(http.StatusBadRequest)
	}
	s.faults.Set(fault)
	return c.NoContent(http.StatusNoContent)
}

// serve runs one request.
func (s *Service) serve(c *echo.Context) error {
	w, r := c.Response(), c.Request()
	body, err := backend.ReadBody(r)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	backend.EchoIDs(w, r)
	if s.isLeaving() {
		backend.Refuse(w, http.StatusServiceUnavailable, true)
		return nil
	}
	mode := s.faults.Take().Mode
	switch mode {
	case Die:
		backend.Break()
	case Refuse:
		backend.Refuse(w, http.StatusServiceUnavailable, false)
		return nil
	case Busy:
		backend.Refuse(w, http.StatusTooManyRequests, false)
		return nil
	}
	if !s.enter(r.Context()) {
		return nil // the caller went before it ran
	}
	defer s.leave()
	s.execute(w, r, body, mode)
	return nil
}

// execute runs a request that has its slot, to the end even if its caller
// goes, and answers.
func (s *Service) execute(w http.ResponseWriter, r *http.Request, body []byte, mode Mode) {
	handle, ok := s.begin(r)
	if !ok {
		w.Header().Set(backend.HeaderFenceRefused, "true")
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.Sleep(s.opts.Delay)
	s.record.End(handle, 0)
	out := answer.Body(r.URL.RequestURI(), body)
	switch mode {
	case CutBefore:
		backend.Break()
	case CutWithin:
		backend.WriteHalf(w, typeJSON, out)
	}
	backend.WriteWhole(w, typeJSON, out)
}

// begin checks the fence and records the execution. It says false if the
// fence is too old; then nothing is recorded.
func (s *Service) begin(r *http.Request) (backend.Handle, bool) {
	run := backend.Run{
		ID:      r.Header.Get(backend.HeaderRequest),
		Attempt: r.Header.Get(backend.HeaderAttempt),
		Key:     r.Header.Get(backend.HeaderKey),
		Path:    r.Method + " " + r.URL.Path,
	}
	run.Fence, _ = strconv.ParseUint(r.Header.Get(backend.HeaderFence), 10, 64) // none is 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFence && run.Key != "" {
		if run.Fence < s.fences[run.Key] {
			return backend.Handle{}, false
		}
		s.fences[run.Key] = run.Fence
	}
	return s.record.Begin(run), true
}

// enter waits for a slot; it says false if ctx ended first.
func (s *Service) enter(ctx context.Context) bool {
	s.count(0, 1)
	select {
	case s.slots <- struct{}{}:
		s.count(1, -1)
		return true
	case <-ctx.Done():
		s.count(0, -1)
		return false
	}
}

func (s *Service) leave() {
	<-s.slots
	s.count(-1, 0)
}

func (s *Service) count(running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.queued += queued
	s.history.Note(s.running, s.queued)
}
