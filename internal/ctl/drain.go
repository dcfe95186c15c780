package ctl

import (
	"context"
	"net/http"
	"time"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/platform"
)

// drainCommand begins a router's graceful shutdown.
type drainCommand struct {
	deferred
	Wait time.Duration `long:"wait" default:"0s" description:"time for its requests to end; 0s: don't wait"`
	Args struct {
		Router string `positional-arg-name:"ROUTER" description:"its host ID"`
	} `positional-args:"yes" required:"yes"`
}

// drained is the output in JSON.
type drained struct {
	Router  string `json:"router"`
	Ended   bool   `json:"ended"` // no request is left, or the process has exited
	Running int    `json:"running"`
}

func (c *drainCommand) run(ctx context.Context, a *app) error {
	h, err := a.host(ctx, c.Args.Router)
	if err != nil {
		return err
	}
	var s admin.Status
	if err := a.call(ctx, h, http.MethodPost, "/v1/drain", &s); err != nil {
		return err
	}
	out := drained{Router: h.ID, Running: s.Running + s.Waiting}
	if c.Wait > 0 {
		err = a.waitDrained(ctx, h, c.Wait, &out)
	}
	if a.json() {
		if jsonErr := a.showJSON(out); jsonErr != nil {
			return jsonErr
		}
		return err
	}
	if err == nil {
		a.printf(a.out, "router %s is draining, %d requests left\n", h.ID, out.Running)
	}
	return err
}

// waitDrained waits until the router has no requests left or has exited.
func (a *app) waitDrained(ctx context.Context, h platform.Host, wait time.Duration, out *drained) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		var s admin.Status
		err := a.call(ctx, h, http.MethodGet, "/v1/status", &s)
		if ctx.Err() != nil {
			return &RunningError{Router: h.ID, Running: out.Running, After: wait}
		}
		if err == nil {
			out.Running = s.Running + s.Waiting
		} else if exited(err) {
			out.Running = 0
		}
		if out.Running == 0 {
			out.Ended = true
			return nil
		}
		if !pause.For(ctx, lookEvery) {
			return &RunningError{Router: h.ID, Running: out.Running, After: wait}
		}
	}
}
