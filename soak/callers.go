package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/platform/platformtest"
)

const (
	routeTimeout = 3 * time.Second
	// answerSlack is how long after its route's time a request may have no final
	// answer; paused processes are left out.
	answerSlack = 700 * time.Millisecond
	callerPause = 6 * time.Millisecond
)

// sent is one attempt of a caller.
type sent struct {
	id, key, path string
	once          bool // it must not run twice
	body          string
	at            time.Time
	router        *router
	status        int
	promised      bool // the answer said that it has not run

	resumes   string // the attempt whose stream it resumes; empty: none
	after     int    // the last event that the caller had before
	lastEvent int    // the last event that the caller has
	whole     bool   // the caller has the whole answer
	eligible  bool   // if it is refused, that counts
}

// callers send requests and check what they see.
type callers struct {
	fleet *fleet
	seed  uint64
	calm  bool // no fault of the schedule breaks an answer off
	// longBodies means that some requests have long bodies.
	longBodies bool
	ids        atomic.Int64
	ok         atomic.Int64 // answered with success
	all        atomic.Int64

	mu   sync.Mutex
	sent map[string]*sent
	// leavingSeen holds when each router passed on an answer that announces that its server is leaving.
	leavingSeen map[routerServer][]time.Time
}

// routerServer is a router and the ID of a server.
type routerServer struct {
	router *router
	server string
}

// run runs n callers until ctx ends.
func (c *callers) run(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.caller(ctx, i)
		}()
	}
	wg.Wait()
}

// caller keeps a connection to each router until the router ends it.
func (c *callers) caller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(n)+100))
	resumeRNG := rand.New(rand.NewPCG(c.seed, uint64(n)+10000))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		r := c.fleet.routers[rng.IntN(len(c.fleet.routers))]
		c.one(ctx, client, r, rng, resumeRNG)
		time.Sleep(callerPause)
	}
}

// draw makes a request.
func (c *callers) draw(rng *rand.Rand) *sent {
	s := &sent{}
	for key := range keys {
		s.key = key
		if rng.IntN(2) == 0 {
			break
		}
	}
	switch rng.IntN(4) {
	case 0:
		s.path = "/s/x"
	case 1:
		s.path, s.once = "/o/x", true
	case 2:
		s.path, s.once = "/u/x%2Fy?z=1", true
	default:
		s.path = "/r/x"
	}
	s.body = strings.Repeat("b", rng.IntN(30000))
	return c.add(s)
}

// add gives an attempt its ID.
func (c *callers) add(s *sent) *sent {
	s.id = fmt.Sprintf("%x-%d", c.seed, c.ids.Add(1))
	c.mu.Lock()
	c.sent[s.id] = s
	c.mu.Unlock()
	return s
}

// one sends one request and checks its answer. A stream that may be resumed and breaks off, or that
// the caller drops, is resumed.
func (c *callers) one(ctx context.Context, client *http.Client, r *router, rng, resumeRNG *rand.Rand) {
	s := c.draw(rng)
	c.drawLongBody(s, resumeRNG)
	method := http.MethodPost
	if s.path == "/r/x" {
		method, s.body = http.MethodGet, ""
	}
	requestCtx, cancel := context.WithTimeout(ctx, 2*routeTimeout)
	defer cancel()
	leaves := rng.IntN(30) == 0
	if leaves {
		time.AfterFunc(time.Duration(rng.IntN(40))*time.Millisecond, cancel)
	}
	prompt := ""
	if s.path[1] == 's' || s.path[1] == 'o' {
		prompt = fmt.Sprintf("p:200,s%d:3000,o%s:500", rng.IntN(20), s.id)
	}
	forges := rng.IntN(10) == 0 // a caller that says what is not for it to say
	limit := 0
	if s.path == "/s/x" && resumeRNG.IntN(dropOneIn) == 0 {
		limit = 1 + resumeRNG.IntN(events-1)
	}
	c.exchange(requestCtx, client, r, s, method, prompt, limit, func(h http.Header) {
		if forges {
			platformtest.SetForgedHeaders(h)
		}
	})
	if s.path == "/s/x" && !leaves {
		c.resume(ctx, client, s, prompt, resumeRNG)
	}
}

// exchange makes one attempt and checks its answer. It reads the limit of events at most, 0: all.
func (c *callers) exchange(ctx context.Context, client *http.Client, r *router, s *sent, method, prompt string, limit int, setHeaders func(http.Header)) {
	ctx, cancel := context.WithTimeout(ctx, 2*routeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.callers(r)+s.path, strings.NewReader(s.body))
	if err != nil {
		panic(err) // fixed text
	}
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, s.id, s.key, routeTimeout, prompt)
	setHeaders(req.Header)
	c.all.Add(1)
	begin := time.Now()
	c.mu.Lock()
	s.at, s.router = begin, r
	c.mu.Unlock()
	resp, err := client.Do(req)
	if err != nil {
		c.late(s, r, begin)
		return
	}
	body, err := readStream(resp.Body, limit)
	_ = resp.Body.Close()
	c.late(s, r, begin)
	c.check(s, r, resp, body, err)
}

// late checks that a request had its final answer in time, unless its router
// was frozen.
func (c *callers) late(s *sent, r *router, begin time.Time) {
	took := time.Since(begin)
	if took < routeTimeout+answerSlack {
		return
	}
	c.fleet.mu.Lock()
	excused := c.fleet.frozen(r, begin)
	c.fleet.mu.Unlock()
	if !excused {
		c.fleet.verdicts.report(endsInTime, "%s at %s took %s", s.id, r.name, took.Round(time.Millisecond))
	}
}

// check checks an answer.
func (c *callers) check(s *sent, r *router, resp *http.Response, body string, err error) {
	s.status = resp.StatusCode
	c.recordLeaving(r, resp.Header)
	if c.calm && (err != nil && !errors.Is(err, context.Canceled) || resp.StatusCode == http.StatusBadGateway) {
		c.fleet.verdicts.report(gracefulStop, "%s at %s: %d, %v", s.id, r.name, resp.StatusCode, err)
	}
	s.promised = platformtest.IsNotExecuted(resp.StatusCode)
	if resp.StatusCode == 401 || resp.StatusCode == 404 {
		c.fleet.verdicts.report(inForce, "%s: %d at %s for a route and key of every version", s.id, resp.StatusCode, r.name)
	}
	heldBack := strings.Contains(body, "servers end") || strings.Contains(body, "servers may end") || strings.Contains(body, "servers crash")
	if resp.StatusCode == 503 && heldBack {
		c.fleet.verdicts.report(innocentServed, "%s at %s: %s", s.id, r.name, strings.TrimSpace(body))
	}
	if resp.StatusCode != 200 {
		return
	}
	if platformtest.ServerSeal(resp.Header) == "" {
		c.fleet.verdicts.report(ownWholeAnswer, "%s at %s: a success of no server", s.id, r.name)
	}
	if s.path[1] == 's' || s.path[1] == 'o' {
		c.checkStream(s, r, body, err)
		return
	}
	if err != nil {
		return // visibly cut
	}
	if body != platformtest.Body(s.id) {
		c.fleet.verdicts.report(ownWholeAnswer, "%s at %s: %q", s.id, r.name, body)
		return
	}
	c.ok.Add(1)
}

// checkStream checks that what came is the stream's beginning, or all of it.
func (c *callers) checkStream(s *sent, r *router, body string, err error) {
	var whole strings.Builder
	for n := s.after + 1; n <= events; n++ {
		whole.WriteString(platformtest.Event(s.id, n))
	}
	s.lastEvent = s.after + strings.Count(body, eventEnd)
	s.whole = err == nil
	switch {
	case err == nil && body == whole.String():
		c.ok.Add(1)
	case err == nil:
		c.fleet.verdicts.report(wholeStream, "%s at %s looks whole: %q", s.id, r.name, body)
	case !strings.HasPrefix(whole.String(), body):
		c.fleet.verdicts.report(wholeStream, "%s at %s, cut: %q", s.id, r.name, body)
	}
}
