package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// Stream is one stream of callers: a section of windscale-load's plan.
type Stream struct {
	Customer Customer
	Kind     string   // such as "model:plan-7b"
	Mode     string   // such as "open 20" or "closed 4"
	Targets  []string // entry addresses; nil: every router's
	Values   string   // further INI lines
}

// Caller is a running windscale-load.
type Caller struct {
	*Process
	name string
	f    *Fleet
}

func kindOf(kind string) string {
	kind, _, _ = strings.Cut(kind, ":")
	return kind
}

// Call starts load of the streams on the fleet.
func (f *Fleet) Call(name string, streams []Stream, d time.Duration, seed uint64) (*Caller, error) {
	var b strings.Builder
	for i, s := range streams {
		targets := s.Targets
		if targets == nil {
			targets = f.Entries()
		}
		fmt.Fprintf(&b, "[%s-%d]\ncustomer = %s\nkey = %s\ntargets = %s\nkind = %s\nmode = %s\n%s\n\n",
			kindOf(s.Kind), i, s.Customer.Path, s.Customer.Key(),
			"http://"+strings.Join(targets, ", http://"), s.Kind, s.Mode, s.Values)
	}
	plan := f.path(name + ".plan.ini")
	if err := os.WriteFile(plan, []byte(b.String()), 0o600); err != nil {
		return nil, fail(err, "write the plan")
	}
	p, err := f.start(name, "windscale-load", "--plan", plan, "--duration", d.String(),
		"--seed", fmt.Sprint(seed), "--output", "table", "--requests", f.path(name+".jsonl"))
	return &Caller{Process: p, name: name, f: f}, err
}

// Entries are the addresses of all routers' entries.
func (f *Fleet) Entries() (all []string) {
	for _, r := range f.Routers {
		all = append(all, r.Entry)
	}
	return all
}

// Requests waits for the end of the load and returns its request log.
func (c *Caller) Requests(ctx context.Context) ([]Request, error) {
	if err := c.Wait(ctx); err != nil {
		return nil, err
	}
	file, err := os.Open(c.f.path(c.name + ".jsonl"))
	if err != nil {
		return nil, fail(err, "request log of %s\n%s", c.name, c.Tail())
	}
	defer file.Close()
	var all []Request
	for dec := json.NewDecoder(bufio.NewReader(file)); dec.More(); {
		var r Request
		if err := dec.Decode(&r); err != nil {
			return nil, fail(err, "request log of %s", c.name)
		}
		all = append(all, r)
	}
	return all, nil
}

// Record gathers the records of all backend servers.
func (f *Fleet) Record(ctx context.Context) ([]Execution, error) {
	var all []Execution
	for _, b := range f.Backends {
		ran, err := f.RecordOf(ctx, b)
		if err != nil {
			return nil, err
		}
		all = append(all, ran...)
	}
	return all, nil
}

// RecordOf is one server's record.
func (f *Fleet) RecordOf(ctx context.Context, b *Backend) ([]Execution, error) {
	var log struct {
		Dropped int         `json:"dropped"`
		Runs    []Execution `json:"runs"`
	}
	if err := getJSON(ctx, "http://"+b.Addr+"/_record", &log); err != nil {
		return nil, err
	}
	if log.Dropped > 0 {
		return nil, fail(nil, "the record of %s is not whole: %d runs dropped", b.ID, log.Dropped)
	}
	for i := range log.Runs {
		log.Runs[i].Server = b.ID
	}
	return log.Runs, nil
}
