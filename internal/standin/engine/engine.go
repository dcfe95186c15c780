// Package engine is the stand-in of a model engine: continuous batching with
// slots, tokens at a set rate, a small prefix cache, cancel and resume of
// streams, and a load report that lags. It admits all that comes and knows no
// priorities. Its answers are those of package answer.
package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/windscale/windscale/internal/standin/answer"
	"github.com/windscale/windscale/internal/standin/backend"
)

// Options are the sizes and speeds of an engine.
type Options struct {
	ID           string
	Models       []string
	Slots        int           // requests that run together
	Rate         float64       // tokens per second of each stream
	Knee         int           // streams that run at the whole rate; 0: all
	Prefill      time.Duration // for each 100 prompt tokens that are not cached
	CacheBlocks  int           // prefix cache, in blocks of 16 tokens
	ReportLag    time.Duration // age of the load report
	ResumeWindow time.Duration // how long a stream without a reader is kept
}

const (
	prefillUnit = 100 // prompt tokens
	chatPath    = "/v1/chat/completions"
)

// Engine is a stand-in model engine. Its handler may serve any number of
// goroutines; Run steps it.
type Engine struct {
	opts    Options
	batch   *batch
	faults  *backend.Faults[Fault]
	leaving atomic.Bool
	unnamed atomic.Uint64 // requests that came without an id
	echo    *echo.Echo
}

// New returns an engine. Nothing is generated until Run.
func New(opts Options) *Engine {
	e := &Engine{opts: opts, faults: newFaults(), batch: newBatch(opts), echo: echo.New()}
	e.echo.POST(chatPath, e.handle(e.chat))
	e.echo.GET("/v1/streams/:id/:attempt", e.handle(e.resume))
	e.echo.DELETE("/v1/streams/:id/:attempt", e.handle(e.cancel))
	e.echo.GET("/v1/models", e.handle(e.models))
	e.echo.GET("/v1/load", e.handle(e.load))
	e.echo.GET("/_record", e.showRecord)
	e.echo.POST("/_fault", e.setFault)
	return e
}

// ServeHTTP implements [http.Handler].
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.echo.ServeHTTP(w, r) }

// Run generates tokens until ctx ends.
func (e *Engine) Run(ctx context.Context) { e.batch.run(ctx) }

// Leave makes the engine refuse new requests and say that it is leaving.
func (e *Engine) Leave() { e.leaving.Store(true) }

// Idle says whether no request waits or runs.
func (e *Engine) Idle() bool { return e.batch.idle() }

// handle breaks every connection while the engine is dead.
func (e *Engine) handle(next func(c *echo.Context) error) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if e.faults.Now().Mode == Die {
			backend.Break()
		}
		return next(c)
	}
}

type modelEntry struct {
	ID string `json:"id"`
}

type modelList struct {
	Data []modelEntry `json:"data"`
}

func (e *Engine) models(c *echo.Context) error {
	list := modelList{Data: []modelEntry{}}
	for _, id := range e.opts.Models {
		list.Data = append(list.Data, modelEntry{ID: id})
	}
	return c.JSON(http.StatusOK, list)
}

func (e *Engine) load(c *echo.Context) error {
	running, queued, age := e.batch.load.Report()
	return c.JSON(http.StatusOK, backend.Load{
		Slots: e.opts.Slots, Running: running, Queued: queued, AgeMs: age.Milliseconds(),
		Leaving: e.isLeaving(), Models: e.opts.Models,
	})
}

func (e *Engine) isLeaving() bool { return e.leaving.Load() || e.faults.Now().Mode == Leaving }

func (e *Engine) showRecord(c *echo.Context) error {
	return c.JSON(http.StatusOK, e.batch.record.Log(e.opts.ID))
}

func (e *Engine) setFault(c *echo.Context) error {
	var fault Fault
	if !backend.ReadJSON(c.Request(), &fault) || !fault.valid() {
		return c.NoContent(http.StatusBadRequest)
	}
	e.faults.Set(fault)
	if fault.Mode == Die {
		e.batch.cancelAll()
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) cancel(c *echo.Context) error {
	key := jobKey{id: c.Param("id"), attempt: c.Param("attempt")}
	if !e.batch.cancel(key) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusNoContent)
}

// chat runs a new request.
func (e *Engine) chat(c *echo.Context) error {
	w, r := c.Response(), c.Request()
	var req Request
	readable := backend.ReadJSON(r, &req)
	backend.EchoIDs(w, r)
	if e.isLeaving() {
		backend.Refuse(w, http.StatusServiceUnavailable, true)
		return nil
	}
	fault := e.faults.Take()
	switch fault.Mode {
	case Refuse:
		backend.Refuse(w, http.StatusServiceUnavailable, false)
		return nil
	case Busy:
		backend.Refuse(w, http.StatusTooManyRequests, false)
		return nil
	}
	if !readable || len(req.Messages) == 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	if !slices.Contains(e.opts.Models, req.Model) {
		return c.NoContent(http.StatusNotFound)
	}
	e.runNew(w, r, req, fault)
	return nil
}

// runNew runs a request that is admitted and writes its answer.
func (e *Engine) runNew(w http.ResponseWriter, r *http.Request, req Request, fault Fault) {
	if fault.Mode == EchoWrongID {
		cross(w, &req)
	}
	j := e.newJob(r, req)
	if fault.Mode == SlowFirst {
		j.slowFirst = fault.delay()
	}
	reader := newReader()
	if !e.batch.submit(j, reader) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	defer e.batch.detach(j, reader)
	out := output{e: e, w: w, r: r, job: j, reader: reader, fault: fault}
	if req.Stream {
		out.stream(0)
		return
	}
	out.whole()
}

// cross turns a request into another one, as if its answer were another
// caller's.
func cross(w http.ResponseWriter, req *Request) {
	w.Header().Set(backend.HeaderRequest, "crossed-"+w.Header().Get(backend.HeaderRequest))
	req.Messages = append(req.Messages, answer.Message{Role: "user", Content: "another caller's question"})
}

// newJob makes the job of a request; one without an ID gets one.
func (e *Engine) newJob(r *http.Request, req Request) *job {
	prompt := answer.Prompt(req.Messages)
	key := jobKey{id: r.Header.Get(backend.HeaderRequest), attempt: r.Header.Get(backend.HeaderAttempt)}
	if key.id == "" {
		key.id = "unnamed-" + strconv.FormatUint(e.unnamed.Add(1), 10)
	}
	return &job{
		key:          key,
		model:        req.Model,
		prompt:       prompt,
		promptTokens: answer.PromptTokens(prompt),
		answer:       answer.Complete(prompt, req.MaxTokens),
		idempotency:  r.Header.Get(backend.HeaderKey),
	}
}

// resume gives the tokens of a request that is here already, from a position.
func (e *Engine) resume(c *echo.Context) error {
	w, r := c.Response(), c.Request()
	from, err := strconv.Atoi(c.QueryParamOr("from", "0"))
	if err != nil || from < 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	key := jobKey{id: c.Param("id"), attempt: c.Param("attempt")}
	reader := newReader()
	j := e.batch.attach(key, reader)
	if j == nil {
		return c.NoContent(http.StatusNotFound)
	}
	defer e.batch.detach(j, reader)
	if from > j.answer.Len() {
		return c.NoContent(http.StatusRequestedRangeNotSatisfiable)
	}
	w.Header().Set(backend.HeaderRequest, key.id)
	w.Header().Set(backend.HeaderAttempt, key.attempt)
	out := output{e: e, w: w, r: r, job: j, reader: reader, fault: Fault{Mode: OK}}
	out.stream(from)
	return nil
}
