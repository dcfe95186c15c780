package ctl

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/windscale/windscale/internal/admin"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/platform"
)

const (
	lookEvery = 200 * time.Millisecond // at one router
	listEvery = time.Second            // at the host list
)

// reading is what a router said of its settings.
type reading struct {
	router  string
	version uint64
	err     error
}

// follow is a live router that is looked at on its own, so that a slow one
// holds up no other.
type follow struct {
	admin string // its address
	stop  context.CancelFunc
	last  reading
}

// waiter waits until a version is in force on every live router.
type waiter struct {
	app     *app
	version uint64
	wait    time.Duration
	start   time.Time
	routers map[string]*follow
	seen    chan reading
	listErr error
	line    string // of progress, the last shown
}

// waitInForce waits until each live router has the version or a higher one,
// and shows progress. The result goes to out.
func (a *app) waitInForce(ctx context.Context, version uint64, wait time.Duration, out *applied) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	w := &waiter{
		app:     a,
		version: version,
		wait:    wait,
		start:   time.Now(),
		routers: map[string]*follow{},
		seen:    make(chan reading),
	}
	err := w.run(ctx)
	out.InForce, out.Lagging = w.split()
	return err
}

func (w *waiter) run(ctx context.Context) error {
	relist := time.NewTicker(listEvery)
	defer relist.Stop()
	w.list(ctx)
	for !w.done() {
		w.progress()
		select {
		case s := <-w.seen:
			w.note(s)
		case <-relist.C:
			w.list(ctx)
		case <-ctx.Done():
			_, lagging := w.split()
			return &LaggingError{Version: w.version, Routers: lagging, After: w.wait, Err: w.listErr}
		}
	}
	w.progress()
	return nil
}

// list reads the host list, follows the live routers that are new in it and
// no longer waits for those that are not live any more.
func (w *waiter) list(ctx context.Context) {
	hosts, err := w.app.hosts(ctx)
	if ctx.Err() != nil {
		return
	}
	w.listErr = err
	if err != nil {
		return
	}
	live := map[string]bool{}
	for _, h := range hosts {
		if h.State != platform.HostLive {
			continue
		}
		live[h.ID] = true
		f := w.routers[h.ID]
		if f != nil && f.admin == h.Admin {
			continue
		}
		if f != nil {
			f.stop()
		}
		w.follow(ctx, h)
	}
	maps.DeleteFunc(w.routers, func(id string, f *follow) bool {
		if !live[id] {
			f.stop()
		}
		return !live[id]
	})
}

func (w *waiter) follow(ctx context.Context, h platform.Host) {
	ctx, stop := context.WithCancel(ctx)
	w.routers[h.ID] = &follow{
		admin: h.Admin,
		stop:  stop,
		last:  reading{router: h.ID, err: &RouterError{Router: h.ID}},
	}
	go w.look(ctx, h)
}

// look asks one router until it has the version or ctx ends.
func (w *waiter) look(ctx context.Context, h platform.Host) {
	for {
		var status admin.Status
		err := w.app.call(ctx, h, http.MethodGet, "/v1/status", &status)
		s := reading{router: h.ID, version: status.SettingsVersion, err: err}
		select {
		case w.seen <- s:
		case <-ctx.Done():
			return
		}
		if w.has(s) || !pause.For(ctx, lookEvery) {
			return
		}
	}
}

func (w *waiter) note(s reading) {
	if f := w.routers[s.router]; f != nil {
		f.last = s
	}
}

func (w *waiter) has(s reading) bool { return s.err == nil && s.version >= w.version }

// done says whether each of the live routers, of which there must be one, has
// the version.
func (w *waiter) done() bool {
	for _, f := range w.routers {
		if !w.has(f.last) {
			return false
		}
	}
	return len(w.routers) > 0
}

// split names the routers that have the version, and those that don't with
// what they have.
func (w *waiter) split() (done, lagging []string) {
	done, lagging = []string{}, []string{}
	for _, id := range slices.Sorted(maps.Keys(w.routers)) {
		last := w.routers[id].last
		switch {
		case w.has(last):
			done = append(done, id)
		case last.err != nil:
			lagging = append(lagging, id+" (no answer)")
		default:
			lagging = append(lagging, fmt.Sprintf("%s (version %d)", id, last.version))
		}
	}
	return done, lagging
}

func (w *waiter) progress() {
	done, _ := w.split()
	line := fmt.Sprintf("is in force on %d of %d live routers", len(done), len(w.routers))
	if w.listErr != nil {
		line += "; the host list can't be read: " + w.listErr.Error()
	}
	if line == w.line {
		return
	}
	w.line = line
	w.app.printf(w.app.note, "%5.1f s  version %d %s\n", time.Since(w.start).Seconds(), w.version, line)
}
