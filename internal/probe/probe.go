// Package probe asks backend servers what they hold and how loaded they are.
// A router asks only the servers it admits to.
package probe

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/windscale/windscale/internal/core/intake"
	"github.com/windscale/windscale/internal/core/msg"
)

const (
	// timeout bounds one question.
	timeout = 2 * time.Second
	// idleTimeout closes a connection that is not used.
	idleTimeout = 30 * time.Second
	// maxReport bounds a server's answer, in bytes.
	maxReport = 64 << 10
	// maxHeaderBytes bounds the head of a server's answer.
	maxHeaderBytes = 16 << 10
)

// Report is a server's answer, as it says it. It lags.
type Report struct {
	Models  []string `json:"models"`
	Service string   `json:"service"`
	Slots   int      `json:"slots"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	AgeMs   int      `json:"ageMs"`
	Leaving bool     `json:"leaving"`
}

// Pools returns the pools that the server serves.
func (r Report) Pools() []msg.PoolID {
	var pools []msg.PoolID
	for _, m := range r.Models {
		pools = append(pools, msg.ModelPool(m))
	}
	if r.Service != "" {
		pools = append(pools, msg.ServicePool(r.Service))
	}
	return pools
}

// StatusError says that a server answered a question with another status than
// 200.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "load report: status " + strconv.Itoa(e.Status) }

// Prober asks servers, at most one question to each at a time.
type Prober struct {
	client *http.Client
	// report receives each answer, err not nil when there was none. It is
	// called from a goroutine of its own.
	report func(msg.ServerID, Report, error)

	mu     sync.Mutex
	asking map[msg.ServerID]bool
	wg     sync.WaitGroup // questions under way
}

// New returns a prober that has asked nobody yet.
func New(report func(msg.ServerID, Report, error)) *Prober {
	return &Prober{
		client: newClient(),
		report: report,
		asking: map[msg.ServerID]bool{},
	}
}

// newClient keeps one connection to each server, closes those of servers that
// are asked no more, and lets no server send it elsewhere.
func newClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Ask begins one question to the server at addr (IP:port), unless one is under
// way, and returns at once. Any goroutine may call it.
func (p *Prober) Ask(ctx context.Context, id msg.ServerID, addr string) {
	if !p.begin(id) {
		return
	}
	p.wg.Go(func() {
		r, err := p.ask(ctx, addr)
		p.end(id)
		if ctx.Err() == nil {
			p.report(id, r, err)
		}
	})
}

// begin notes that the server is being asked; false says that it was already.
func (p *Prober) begin(id msg.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asking[id] {
		return false
	}
	p.asking[id] = true
	return true
}

// end notes that the server may be asked again.
func (p *Prober) end(id msg.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asking, id)
}

// ask asks one question and waits for the answer.
func (p *Prober) ask(ctx context.Context, addr string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var r Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/load", nil)
	if err != nil {
		return r, errors.Annotate(err, "load report")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return r, errors.Annotate(err, "load report")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := intake.CheckHead(resp.StatusCode, resp.Header); err != nil {
		return r, errors.Annotate(err, "load report")
	}
	if resp.StatusCode != http.StatusOK {
		return r, &StatusError{Status: resp.StatusCode}
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&r)
	return r, errors.Annotate(err, "load report")
}
