// Package hosts follows the platform's host list. The list lags and may be
// down; the last one read stays in use.
package hosts

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/windscale/windscale/internal/core/msg"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/pause"
	"github.com/windscale/windscale/internal/platform"
)

const (
	// Interval is the mean time between two reads of the list.
	Interval = time.Second
	// readTimeout bounds one read.
	readTimeout = 3 * time.Second
)

// List is one reading of the host list, indexed. It is immutable.
type List struct {
	All     []platform.Host
	Servers map[msg.ServerID]platform.Host
	Routers map[msg.RouterID]platform.Host
}

// NewList indexes all.
func NewList(all []platform.Host) *List {
	l := &List{
		All:     all,
		Servers: map[msg.ServerID]platform.Host{},
		Routers: map[msg.RouterID]platform.Host{},
	}
	for _, h := range all {
		switch h.Role {
		case platform.RoleServer:
			l.Servers[msg.ServerID(h.ID)] = h
		case platform.RoleRouter:
			l.Routers[msg.RouterID(h.ID)] = h
		}
	}
	return l
}

// Follower reads the list again and again. Run does so; any goroutine may call
// the other methods.
type Follower struct {
	src     platform.HostList
	log     *slog.Logger
	changed func(*List)
	cur     atomic.Pointer[List]
	readAt  atomic.Pointer[time.Time] // of the last list
	errs    atomic.Uint64
}

// NewFollower starts from an initial list, such as the seeds. changed is
// called from Run's goroutine after each successful reading.
func NewFollower(src platform.HostList, initial *List, log *slog.Logger, changed func(*List)) *Follower {
	f := &Follower{src: src, log: log, changed: changed}
	f.store(initial)
	return f
}

// Current returns the last list read.
func (f *Follower) Current() *List { return f.cur.Load() }

// Stats is how the reading goes.
type Stats struct {
	Age    time.Duration // since the list was read, or the follower was made
	Errors uint64        // calls that failed
}

// Stats returns how the reading goes.
func (f *Follower) Stats() Stats {
	return Stats{Age: time.Since(*f.readAt.Load()), Errors: f.errs.Load()}
}

// store puts a list in force, read now.
func (f *Follower) store(l *List) {
	now := time.Now()
	f.cur.Store(l)
	f.readAt.Store(&now)
}

// Run reads the list until ctx ends. An outage is logged when it begins and
// when it ends.
func (f *Follower) Run(ctx context.Context) error {
	down := false
	for {
		err := f.read(ctx)
		if err != nil && !down && ctx.Err() == nil {
			events.HostListDown.Log(ctx, f.log, slog.LevelWarn, "err", err)
		}
		if err == nil && down {
			events.HostListBack.Log(ctx, f.log, slog.LevelInfo)
		}
		down = err != nil
		if !pause.For(ctx, pause.Jitter(Interval)) {
			return nil
		}
	}
}

// read reads the list once.
func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	all, err := f.src.Hosts(ctx)
	if err != nil {
		f.errs.Add(1)
		return err
	}
	l := NewList(all)
	f.store(l)
	f.changed(l)
	return nil
}
