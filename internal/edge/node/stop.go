package node

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/windscale/windscale/internal/edge/settings"
	"github.com/windscale/windscale/internal/events"
)

const (
	// settingsEvery is how often the settings file is looked at: it may change
	// without a signal.
	settingsEvery = time.Second
	// acceptFor is how long a stopping router still takes requests: the balancer
	// asks once a second and takes it out after two misses.
	acceptFor = 3 * time.Second
	// stopMargin is left between the end of the drain and the platform's kill.
	stopMargin = 400 * time.Millisecond
)

// reload reads the settings file again at a signal and when it has changed.
func (n *Node) reload(ctx context.Context, hup <-chan os.Signal) error {
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	last := modified(n.path)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			last = modified(n.path)
			n.reread("signal")
		case <-t.C:
			if m := modified(n.path); m != last {
				last = m
				n.reread("file changed")
			}
		}
	}
}

// modified is when the file was last written; zero if that can't be told, and
// then reading it tells why.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reread takes over what may change while the process runs.
func (n *Node) reread(why string) {
	s, err := settings.Load(n.path)
	if err != nil {
		events.ReloadRefused.Log(context.Background(), n.log, slog.LevelError, "why", why, "err", err)
		return
	}
	n.level.Set(s.LogLevel)
	n.peers.Add(true, s.Seeds...)
	n.state.SetRetries(s.RetryRatio, s.RetrySlack)
	events.ReloadDone.Log(context.Background(), n.log, slog.LevelInfo, "why", why)
}

// stop waits for the signal to stop and drains.
func (n *Node) stop(ctx context.Context, term <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-term:
	}
	begin := time.Now()
	n.draining.Store(true)
	n.handler.Drain()
	events.DrainStarted.Log(ctx, n.log, slog.LevelInfo, "running", n.handler.InFlight())
	if !wait(ctx, acceptFor) {
		return ctx.Err()
	}
	n.handler.RefuseNew()
	shut, cancel := context.WithDeadline(ctx, begin.Add(n.settings.ShutdownGrace-stopMargin))
	defer cancel()
	// Shutdown closes the listener and idle connections and waits for the rest.
	err := n.callers.Shutdown(shut)
	events.DrainEnded.Log(ctx, n.log, slog.LevelInfo, "cut", n.handler.InFlight(), "tookMs", time.Since(begin).Milliseconds(), "err", err)
	return nil
}

// wait waits for d and reports whether ctx still lasts.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
