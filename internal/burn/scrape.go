// Package burn is the shell round the burn computation of the core: it reads
// the routers' counters by HTTP, keeps the history between runs and writes the
// report as a table, JSON or HTML.
package burn

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/windscale/windscale/internal/core/burn"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/dispatch"
	"github.com/windscale/windscale/internal/metrics"
	"github.com/windscale/windscale/internal/problem"
)

const (
	scrapeParallel = 16       // routers read at once
	maxPage        = 64 << 20 // bytes of one router's page
	varsPath       = "/debug/vars"
)

// Target is a router to read.
type Target struct {
	ID  msg.RouterID
	URL string // base URL of its admin listener
}

// StatusError is an answer of a router other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the router answered %d %s", e.Status, http.StatusText(e.Status))
}

// NoMetricsError says that a page does not hold windscale's metrics.
type NoMetricsError struct{}

// Error implements error.
func (e *NoMetricsError) Error() string { return "the page holds no windscale metrics" }

// Failure is a router that could not be read.
type Failure struct {
	Router msg.RouterID
	Err    error
}

// Scraper reads routers. Its methods are for one goroutine at a time.
type Scraper struct {
	Token   string                          // the operators' token; empty: none is sent
	For     func(msg.RouterID) *http.Client // the client for a router, whose ID may be empty
	Timeout time.Duration                   // for one router

	names map[string]msg.RouterID // by URL, once a router has said its name
}

// Scrape reads all targets and returns the round of now. Routers that cannot
// be read are in the round's Missing and in the failures.
func (s *Scraper) Scrape(ctx context.Context, targets []Target, now time.Time) (burn.Scrape, []Failure) {
	samples := make([]burn.Sample, len(targets))
	errs := make([]error, len(targets))
	var g errgroup.Group
	g.SetLimit(scrapeParallel)
	for i, t := range targets {
		g.Go(func() error {
			samples[i], errs[i] = s.read(ctx, t)
			return nil
		})
	}
	_ = g.Wait() // no function returns an error
	return s.round(targets, samples, errs, now)
}

// round puts the samples together. A router that was not read is named as
// when it was read last, else by its URL.
func (s *Scraper) round(targets []Target, samples []burn.Sample, errs []error, now time.Time) (burn.Scrape, []Failure) {
	if s.names == nil {
		s.names = map[string]msg.RouterID{}
	}
	round := burn.Scrape{At: now}
	var failures []Failure
	for i, t := range targets {
		if errs[i] == nil {
			s.names[t.URL] = samples[i].Router
			round.Samples = append(round.Samples, samples[i])
			continue
		}
		id := t.ID
		if name, ok := s.names[t.URL]; ok && id == "" {
			id = name
		}
		if id == "" {
			id = msg.RouterID(t.URL)
		}
		round.Missing = append(round.Missing, id)
		failures = append(failures, Failure{Router: id, Err: errs[i]})
	}
	return round, failures
}

// page is what the burn needs of /debug/vars.
type page struct {
	Windscale *struct {
		Process metrics.ProcessState `json:"process"`
		Entry   metrics.EntryState   `json:"entry"`
	} `json:"windscale"`
}

// read reads one router.
func (s *Scraper) read(ctx context.Context, t Target) (burn.Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.URL+varsPath, nil)
	if err != nil {
		return burn.Sample{}, errors.Trace(err)
	}
	if s.Token != "" {
		req.Header.Set("Authorization", "Bearer "+s.Token)
	}
	resp, err := s.For(t.ID).Do(req)
	if err != nil {
		return burn.Sample{}, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return burn.Sample{}, &StatusError{Status: resp.StatusCode}
	}
	return parse(io.LimitReader(resp.Body, maxPage))
}

// parse makes a sample of a router's page.
func parse(r io.Reader) (burn.Sample, error) {
	var p page
	if err := json.NewDecoder(r).Decode(&p); err != nil {
		return burn.Sample{}, errors.Annotate(err, "reading the metrics page")
	}
	if p.Windscale == nil || p.Windscale.Process.Router == "" {
		return burn.Sample{}, &NoMetricsError{}
	}
	proc := p.Windscale.Process
	s := burn.Sample{
		Router:      proc.Router,
		Incarnation: proc.Incarnation,
		Uptime:      time.Duration(float64(proc.Uptime) * float64(time.Second)),
		Customers:   map[msg.CustomerID]burn.Totals{},
	}
	for id, c := range p.Windscale.Entry.Customers {
		s.Customers[id] = totals(c)
	}
	return s, nil
}

// callers holds the reasons of refusals that are the caller's own doing: they
// are no outcome of the fleet's. What a customer's own rate turns away is among
// them; a full queue is not.
var callers = map[string]bool{
	dispatch.CallerGone.String():  true,
	problem.BadRequest.Name:       true,
	problem.BadTimeout.Name:       true,
	problem.BadKey.Name:           true,
	problem.Forbidden.Name:        true,
	problem.NotFound.Name:         true,
	problem.MethodNotAllowed.Name: true,
	problem.RequestTimeout.Name:   true,
	problem.ClaimRunning.Name:     true,
	problem.ClaimMismatch.Name:    true,
	problem.BodyTooLarge.Name:     true,
	problem.RateLimited.Name:      true,
}

// totals judges a customer's counters. One whose answer is unknown to the
// caller failed.
func totals(c metrics.CustomerCounters) burn.Totals {
	var refused uint64
	for reason, n := range c.Refused {
		if !callers[reason] {
			refused += n
		}
	}
	failed := c.Failed + c.Unknown
	ended := c.Answered + refused + failed
	var t burn.Totals
	t[burn.FirstToken] = counts(c.FirstToken)
	t[burn.BetweenTokens] = counts(c.BetweenTokens)
	t[burn.Refused] = burn.Counts{Total: ended, Bad: refused}
	t[burn.Failed] = burn.Counts{Total: ended, Bad: failed}
	return t
}

func counts(o metrics.ObjectiveCounters) burn.Counts {
	return burn.Counts{Total: o.Met + o.Missed, Bad: o.Missed}
}

// Targets finds the routers to read.
type Targets func(ctx context.Context) ([]Target, error)

// Fixed returns the given targets always.
func Fixed(t []Target) Targets {
	return func(context.Context) ([]Target, error) { return t, nil }
}

// Latest wraps f so that a failure yields the last list that f returned; the
// first call's failure is returned. Warn is told of the others.
func Latest(f Targets, warn func(error)) Targets {
	var mu sync.Mutex
	var last []Target
	return func(ctx context.Context) ([]Target, error) {
		mu.Lock()
		defer mu.Unlock()
		list, err := f(ctx)
		if err != nil && last == nil {
			return nil, err
		}
		if err != nil {
			warn(err)
			return last, nil
		}
		last = list
		return list, nil
	}
}
