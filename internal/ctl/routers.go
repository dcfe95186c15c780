package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/adminclient"
	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/platform"
)

const (
	adminTimeout = 2 * time.Second // of one call to a router
	atOnce       = 32              // routers asked at the same time
	maxAnswer    = 8 << 20         // bytes
)

// router is a router of the host list with what it says of itself.
type router struct {
	ID      string        `json:"id"`
	Admin   string        `json:"admin"`
	Leaving bool          `json:"leaving"`
	Status  *admin.Status `json:"status,omitempty"`
	Error   string        `json:"error,omitempty"`
}

// hosts returns the routers of the host list, by ID.
func (a *app) hosts(ctx context.Context) ([]platform.Host, error) {
	p, err := a.platform()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := p.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	all = slices.DeleteFunc(slices.Clone(all), func(h platform.Host) bool { return h.Role != platform.RoleRouter })
	slices.SortFunc(all, func(x, y platform.Host) int { return strings.Compare(x.ID, y.ID) })
	return all, nil
}

// host returns a router of the host list.
func (a *app) host(ctx context.Context, id string) (platform.Host, error) {
	all, err := a.hosts(ctx)
	if err != nil {
		return platform.Host{}, err
	}
	for _, h := range all {
		if h.ID == id {
			return h, nil
		}
	}
	return platform.Host{}, &NoRouterError{Router: id}
}

// routers asks every router for its status. That one does not answer is no
// error of the whole.
func (a *app) routers(ctx context.Context) ([]router, error) {
	hosts, err := a.hosts(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]router, len(hosts))
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i, h := range hosts {
		group.Go(func() error {
			out[i] = router{ID: h.ID, Admin: h.Admin, Leaving: h.State == platform.HostLeaving}
			var s admin.Status
			if err := a.call(ctx, h, http.MethodGet, "/v1/status", &s); err != nil {
				out[i].Error = err.Error()
				return nil
			}
			out[i].Status = &s
			return nil
		})
	}
	return out, group.Wait()
}

// each asks every router for a page and returns the answers of those that
// gave one, by router ID.
func each[V any](ctx context.Context, a *app, path string) (map[string]V, error) {
	if _, err := a.admin(); err != nil {
		return nil, err
	}
	hosts, err := a.hosts(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([]*V, len(hosts))
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i, h := range hosts {
		group.Go(func() error {
			var v V
			if err := a.call(ctx, h, http.MethodGet, path, &v); err != nil {
				a.printf(a.note, "windscalectl: %v\n", err)
				return nil
			}
			answers[i] = &v
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	out := map[string]V{}
	for i, h := range hosts {
		if answers[i] != nil {
			out[h.ID] = *answers[i]
		}
	}
	if len(out) == 0 {
		return nil, &NoRouterError{}
	}
	return out, nil
}

// call calls a router's admin listener and decodes its answer.
func (a *app) call(ctx context.Context, h platform.Host, method, path string, answer any) error {
	admin, err := a.admin()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, admin.Scheme()+"://"+h.Admin+path, nil)
	if err != nil {
		return &RouterError{Router: h.ID, Err: err}
	}
	admin.Authorize(req)
	resp, err := admin.HTTP(msg.RouterID(h.ID)).Do(req)
	if err != nil {
		return &RouterError{Router: h.ID, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return &RouterError{Router: h.ID, Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(answer); err != nil {
		return &RouterError{Router: h.ID, Err: err}
	}
	return nil
}

// admin returns the client of the routers' admin listeners, made at the first
// call. Any goroutine may call it.
func (a *app) admin() (*adminclient.Client, error) {
	a.adminOnce.Do(func() { a.adminClient, a.adminErr = adminclient.New(a.opts.Admin) })
	if a.adminErr != nil {
		return nil, &cli.UsageError{What: a.adminErr.Error()}
	}
	return a.adminClient, nil
}
