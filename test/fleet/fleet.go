// Package fleet starts a whole windscale fleet on loopback for demonstrations
// and trials: the stand-ins, the routers, and load on them. It is test
// scaffolding, the only place that starts processes; no product code uses it.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/test/loopback"
)

const (
	adminToken = "loopback-trial-token"
	readyLimit = 20 * time.Second
	pollEvery  = 50 * time.Millisecond
)

// Server says how to start a backend server.
type Server struct {
	ID         string
	DataCentre string
	Kind       string   // "engine" or "service"
	Args       []string // of windscale-standin, besides its address and ID
}

// Config says what a fleet consists of.
type Config struct {
	Dir         string // working folder, emptied first
	Bin         string // folder of the programs
	Routers     int
	DataCentres int
	Sharing     string // "[router] sharing" of every router; empty: the default
	Servers     []Server
	Settings    string // INI sections besides the customers' own
	Customers   []Customer
}

// Customer is a leaf of the settings tree.
type Customer struct {
	Path   string
	Values string // INI lines of its own section, without keys
}

// Key is the customer's bearer key.
func (c Customer) Key() string { return "key-of-" + strings.ReplaceAll(c.Path, "/", "-") }

// Router is one router of the fleet. Its process is replaced by Restart.
type Router struct {
	ID         string
	DataCentre string
	Entry      string // IP:port of the callers' listener
	Link       string
	Admin      string
	*Process
}

// Backend is one running stand-in server.
type Backend struct {
	Server
	Addr string
	*Process
}

// Fleet is a running fleet. Its methods are for one goroutine at a time.
type Fleet struct {
	Config
	Routers  []*Router
	Backends []*Backend
	Platform *Process
	URL      string // of the platform
	version  uint64 // of the settings in force
	hosts    []platform.Host
	all      []*Process // every process started, for Close
}

// Up starts the fleet and returns once every router is ready. On failure
// nothing is left running.
func Up(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Config: c}
	if err := f.up(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) up(ctx context.Context) error {
	if err := os.RemoveAll(f.Dir); err != nil {
		return fail(err, "empty the working folder")
	}
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return fail(err, "make the working folder")
	}
	if err := f.plan(); err != nil {
		return fail(err, "reserve addresses")
	}
	steps := []func(context.Context) error{
		f.writeFiles, f.issueCertificates, f.startStandins, f.startRouters, f.applySettings, f.WaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// plan gives every process its addresses.
func (f *Fleet) plan() error {
	var reserveErr error
	addr := func() string {
		a, err := loopback.ReserveAddr()
		if err != nil {
			reserveErr = err
		}
		return a
	}
	f.URL = "http://" + addr()
	for i := range f.Config.Routers {
		r := &Router{
			ID:         fmt.Sprintf("r%d", i+1),
			DataCentre: fmt.Sprintf("dc%d", i%f.DataCentres+1),
			Entry:      addr(), Link: addr(), Admin: addr(),
		}
		f.Routers = append(f.Routers, r)
		f.hosts = append(f.hosts, platform.Host{
			ID: r.ID, Role: platform.RoleRouter, Addr: r.Link, Admin: r.Admin,
			DataCentre: r.DataCentre, State: platform.HostLive,
		})
	}
	for _, s := range f.Servers {
		b := &Backend{Server: s, Addr: addr()}
		f.Backends = append(f.Backends, b)
		f.hosts = append(f.hosts, platform.Host{
			ID: s.ID, Role: platform.RoleServer, Addr: b.Addr,
			DataCentre: s.DataCentre, State: platform.HostLive,
		})
	}
	return reserveErr
}

// start runs a program and keeps it for Close.
func (f *Fleet) start(name, program string, args ...string) (*Process, error) {
	p, err := start(f.Bin, f.Dir, name, program, args...)
	if err == nil {
		f.all = append(f.all, p)
	}
	return p, err
}

// run runs a program to its end and fails unless it exits with 0.
func (f *Fleet) run(ctx context.Context, name, program string, args ...string) error {
	p, err := f.start(name, program, args...)
	if err != nil {
		return err
	}
	if err := p.Wait(ctx); err != nil {
		return err
	}
	if p.ExitCode() != 0 {
		return fail(nil, "%s %s: exit code %d\n%s", program, strings.Join(args, " "), p.ExitCode(), p.Tail())
	}
	return nil
}

// issueCertificates makes the fleet's CA and a certificate for each router.
func (f *Fleet) issueCertificates(ctx context.Context) error {
	dir := f.path("tls")
	if err := f.run(ctx, "cert", "windscale-cert", "ca", "--out", dir); err != nil {
		return err
	}
	for _, r := range f.Routers {
		err := f.run(ctx, "cert", "windscale-cert", "router", "--ca", dir, "--id", r.ID, "--ip", loopback.IP, "--out", dir)
		if err != nil {
			return err
		}
	}
	return nil
}

// startStandins starts the platform and the backend servers, and waits until
// all answer.
func (f *Fleet) startStandins(ctx context.Context) error {
	addr := strings.TrimPrefix(f.URL, "http://")
	var err error
	if f.Platform, err = f.start("platform", "windscale-standin", "platform", "--listen", addr); err != nil {
		return err
	}
	for _, b := range f.Backends {
		if err := f.startBackend(b); err != nil {
			return err
		}
	}
	if err := f.putHosts(ctx); err != nil {
		return err
	}
	for _, b := range f.Backends {
		err := f.until(ctx, b.ID+" answers", b.Process, func() bool {
			return getJSON(ctx, "http://"+b.Addr+"/v1/load", nil) == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startBackend(b *Backend) error {
	args := append([]string{b.Kind, "--listen", b.Addr, "--id", b.ID}, b.Args...)
	p, err := f.start(b.ID, "windscale-standin", args...)
	b.Process = p
	return err
}

// putHosts writes the host list, once the platform answers.
func (f *Fleet) putHosts(ctx context.Context) error {
	return f.until(ctx, "the platform takes the host list", f.Platform, func() bool {
		return sendJSON(ctx, http.MethodPut, f.URL+"/_hosts", f.hosts) == nil
	})
}

// SetLeaving marks a host as leaving in the host list.
func (f *Fleet) SetLeaving(ctx context.Context, id string, leaving bool) error {
	state := platform.HostLive
	if leaving {
		state = platform.HostLeaving
	}
	i := slices.IndexFunc(f.hosts, func(h platform.Host) bool { return h.ID == id })
	f.hosts[i].State = state
	return f.putHosts(ctx)
}

// startRouters starts every router and waits until all are healthy.
func (f *Fleet) startRouters(ctx context.Context) error {
	for _, r := range f.Routers {
		if err := f.StartRouter(r); err != nil {
			return err
		}
	}
	for _, r := range f.Routers {
		err := f.until(ctx, r.ID+" is healthy", r.Process, func() bool {
			return getJSON(ctx, "http://"+r.Admin+"/healthz", nil) == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// StartRouter starts the router's process, the first or the next one.
func (f *Fleet) StartRouter(r *Router) error {
	p, err := f.start(r.ID, "windscale-router", "--config", f.path(r.ID+".ini"))
	r.Process = p
	return err
}

// WaitReady waits until every router is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, r := range f.Routers {
		err := f.until(ctx, r.ID+" is ready", r.Process, func() bool { return r.Ready(ctx) })
		if err != nil {
			return err
		}
	}
	return nil
}

// until polls ok until it holds; p is the process it depends on.
func (f *Fleet) until(ctx context.Context, what string, p *Process, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for !ok() {
		select {
		case <-p.Done():
			return fail(nil, "wait until %s: the process ended\n%s", what, p.Tail())
		case <-ctx.Done():
			return fail(ctx.Err(), "wait until %s\n%s", what, p.Tail())
		case <-time.After(pollEvery):
		}
	}
	return nil
}

// Close ends every process: the load and the routers first, then what they
// depend on.
func (f *Fleet) Close() {
	late := []*Process{f.Platform}
	for _, b := range f.Backends {
		late = append(late, b.Process)
	}
	first := slices.DeleteFunc(slices.Clone(f.all), func(p *Process) bool { return slices.Contains(late, p) })
	stopAll(first)
	for _, p := range f.all {
		p.Signal(syscall.SIGKILL)
		<-p.Done()
	}
}

func (f *Fleet) path(name string) string { return filepath.Join(f.Dir, name) }
