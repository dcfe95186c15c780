package router

import (
	"context"
	"log/slog"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/entry"
	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/internal/pause"
)

// lameDuck is how long a draining router says "not ready" and still accepts,
// so that the platform's balancer stops sending before it meets a closed port.
const lameDuck = time.Second

// drain is the state of the shutdown.
type drain struct {
	begin sync.Once
	asked chan struct{} // closed when the drain is to begin
	began atomic.Int64  // Unix nanoseconds; 0: serving
	ended atomic.Bool
	cut   atomic.Uint64 // requests cut at the limit
}

func newDrain() *drain { return &drain{asked: make(chan struct{})} }

// start asks for the drain; only the first call counts.
func (d *drain) start() {
	d.begin.Do(func() {
		d.began.Store(time.Now().UnixNano())
		close(d.asked)
	})
}

// draining reports whether the drain has begun.
func (d *drain) draining() bool { return d.began.Load() != 0 }

// addDrain adds the actor that waits for SIGTERM, SIGINT or an operator, and
// then shuts the entry down without cutting anything. A second signal, or the
// drain limit of the settings, cuts what is left.
func (r *Router) addDrain(g *run.Group, srv *entry.Server) {
	signal.Notify(r.signals, syscall.SIGTERM, syscall.SIGINT)
	failed := make(chan struct{}) // another actor has ended
	g.Add(func() error {
		defer signal.Stop(r.signals)
		select {
		case <-r.signals:
			r.drain.start()
		case <-r.drain.asked:
		case <-failed:
			return nil
		}
		return r.drainNow(srv)
	}, func(error) { close(failed) })
}

// drainNow leaves the fleet, lets every request end, and returns a *CutError if
// some could not.
func (r *Router) drainNow(srv *entry.Server) error {
	limit := settings.DefaultFleet().DrainLimit
	if s := r.follower.Current(); s != nil {
		limit = s.Fleet.DrainLimit
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-r.signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	waiting, running := r.sharer.Counts()
	events.DrainStarted.Log(ctx, r.log, slog.LevelInfo, "running", running, "waiting", waiting, "limit", limit)
	r.members.Leave()
	srv.Retire()
	pause.For(ctx, lameDuck)
	err := r.shutdown(ctx, srv)
	r.drain.ended.Store(true)
	events.DrainEnded.Log(ctx, r.log, slog.LevelInfo, "cut", r.drain.cut.Load())
	pause.For(context.Background(), finalSends)
	return err
}

// shutdown waits for the requests in progress. When ctx ends it counts those
// that are left and cuts them; the error is *CutError.
func (r *Router) shutdown(ctx context.Context, srv *entry.Server) error {
	limited, cut := context.WithCancel(context.Background())
	defer cut()
	stop := context.AfterFunc(ctx, func() {
		waiting, running := r.sharer.Counts()
		r.drain.cut.Store(uint64(running + waiting))
		cut()
	})
	defer stop()
	if srv.Shutdown(limited) == nil {
		return nil
	}
	return &CutError{Requests: r.drain.cut.Load(), Err: ctx.Err()}
}

// finalSends is the time for the last messages to peers to leave the process.
const finalSends = 50 * time.Millisecond
