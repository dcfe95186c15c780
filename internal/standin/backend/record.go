// Package backend is what the two stand-in backend servers have in common: the
// record of what ran, the lagging load report, the echo of request ids and the
// ways to cut a connection.
package backend

import (
	"sync"
)

// MaxRuns bounds the runs a Record holds; older ones are dropped first.
const MaxRuns = 500_000

// Run is one execution of one request.
type Run struct {
	ID        string `json:"id"`
	Attempt   string `json:"attempt,omitempty"`
	Key       string `json:"key,omitempty"` // the Idempotency-Key
	Path      string `json:"path,omitempty"`
	Fence     uint64 `json:"fence,omitempty"`
	Ended     bool   `json:"ended"`               // it ran to its end
	Cancelled bool   `json:"cancelled,omitempty"` // it was stopped before
	Tokens    int    `json:"tokens,omitempty"`
}

// Log is the body of GET /_record: everything that began to run.
type Log struct {
	Server  string `json:"server"`
	Dropped int    `json:"dropped"` // runs that are no longer held
	Runs    []Run  `json:"runs"`
}

// Record holds what ran. Its methods may be called from any goroutine.
type Record struct {
	mu      sync.Mutex
	runs    []*Run
	dropped int
}

// Handle names a run that has begun.
type Handle struct {
	run *Run
}

// Begin records that a request begins to run.
func (r *Record) Begin(run Run) Handle {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) == MaxRuns {
		r.dropped += MaxRuns / 2
		r.runs = append([]*Run(nil), r.runs[MaxRuns/2:]...)
	}
	r.runs = append(r.runs, &run)
	return Handle{run: &run}
}

// End records that a run ran to its end.
func (r *Record) End(h Handle, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.run.Ended = true
	h.run.Tokens = tokens
}

// Cancel records that a run was stopped.
func (r *Record) Cancel(h Handle, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.run.Cancelled = true
	h.run.Tokens = tokens
}

// Log returns a copy of the record.
func (r *Record) Log(server string) Log {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Log{Server: server, Dropped: r.dropped, Runs: make([]Run, len(r.runs))}
	for i, run := range r.runs {
		out.Runs[i] = *run
	}
	return out
}
