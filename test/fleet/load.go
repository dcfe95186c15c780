package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/windscale/windscale/internal/load"
	"github.com/windscale/windscale/internal/standin/backend"
)

// Stream is one stream of callers: a section of windscale-load's plan.
type Stream struct {
	Name     string // of the section, unique in the plan; empty: by its place
	Customer Customer
	Kind     string   // such as "model:plan-7b"
	Mode     string   // such as "open 20" or "closed 4"
	Targets  []string // entry addresses; nil: every router's
	Values   string   // further INI lines
}

// Caller is a running windscale-load.
type Caller struct {
	*Process
	report string // path
}

// answerGrace is how long the load waits for answers after its last request.
const answerGrace = 10 * time.Second

// Call starts load of the streams on the fleet.
func (f *Fleet) Call(name string, streams []Stream, d time.Duration, seed uint64) (*Caller, error) {
	var plan strings.Builder
	for i, s := range streams {
		if s.Targets == nil {
			s.Targets = f.Entries()
		}
		if s.Name == "" {
			kind, _, _ := strings.Cut(s.Kind, ":")
			s.Name = fmt.Sprintf("%d-%s", i, kind)
		}
		fmt.Fprintf(&plan, "[%s]\ncustomer = %s\nkey = %s\ntargets = %s\nkind = %s\nmode = %s\n%s\n\n",
			s.Name, s.Customer.Path, s.Customer.Key(), urls(s.Targets), s.Kind, s.Mode, s.Values)
	}
	file := f.path(name + ".plan.ini")
	if err := os.WriteFile(file, []byte(plan.String()), 0o600); err != nil {
		return nil, fail(err, "write the plan")
	}
	var servers []string
	for _, b := range f.Backends {
		servers = append(servers, b.Addr)
	}
	c := &Caller{report: f.path(name + ".json")}
	var err error
	c.Process, err = f.start(name, "windscale-load", "--plan", file, "--duration", d.String(),
		"--grace", answerGrace.String(), "--seed", fmt.Sprint(seed), "--records", urls(servers), "--out", c.report)
	return c, err
}

func urls(addrs []string) string { return "http://" + strings.Join(addrs, ", http://") }

// Entries are the addresses of all routers' entries.
func (f *Fleet) Entries() (all []string) {
	for _, r := range f.Routers {
		all = append(all, r.Entry)
	}
	return all
}

// Report waits for the end of the load and returns its report.
func (c *Caller) Report(ctx context.Context) (*load.Report, error) {
	if err := c.Wait(ctx); err != nil {
		return nil, err
	}
	b, err := os.ReadFile(c.report)
	if err != nil {
		return nil, fail(err, "report of %s, exit code %d\n%s", c.Name, c.ExitCode(), c.Tail())
	}
	r := new(load.Report)
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fail(err, "report of %s", c.Name)
	}
	return r, nil
}

// Record gathers what ran on all backend servers.
func (f *Fleet) Record(ctx context.Context) ([]backend.Run, error) {
	var all []backend.Run
	for _, b := range f.Backends {
		ran, err := b.Record(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, ran...)
	}
	return all, nil
}

// Record is what ran on the server.
func (b *Backend) Record(ctx context.Context) ([]backend.Run, error) {
	var log backend.Log
	if err := getJSON(ctx, "http://"+b.Addr+"/_record", &log); err != nil {
		return nil, err
	}
	if log.Dropped > 0 {
		return nil, fail(nil, "the record of %s is not whole: %d runs dropped", b.ID, log.Dropped)
	}
	return log.Runs, nil
}
