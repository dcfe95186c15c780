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
	// settingsPollInterval is how often the settings file is checked for changes: it may
	// change without a signal.
	settingsPollInterval = time.Second
	// drainAcceptPeriod is how long a stopping router still accepts requests: the load
	// balancer checks readiness once a second and removes a router after two failed checks.
	drainAcceptPeriod = 3 * time.Second
	// shutdownMargin is the time between the end of the drain and the moment at which the
	// platform kills the process.
	shutdownMargin = 400 * time.Millisecond
)

// watchSettings reloads the settings file on a signal and when the file has changed.
func (n *Node) watchSettings(ctx context.Context, hup <-chan os.Signal) error {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	lastModified := modTime(n.settingsPath)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			lastModified = modTime(n.settingsPath)
			n.reloadSettings("signal")
		case <-t.C:
			if m := modTime(n.settingsPath); m != lastModified {
				lastModified = m
				n.reloadSettings("file changed")
			}
		}
	}
}

// modTime returns when the file was last modified; zero if that is unknown. Loading the file
// then reports why.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings applies those settings that may change while the process runs.
func (n *Node) reloadSettings(trigger string) {
	s, err := settings.Load(n.settingsPath)
	if err != nil {
		events.ReloadRefused.Log(context.Background(), n.log, slog.LevelError, "why", trigger, "err", err)
		return
	}
	n.level.Set(s.LogLevel)
	n.peers.Add(true, s.Seeds...)
	n.state.SetRetryBudget(s.RetryRatio, s.RetrySlack)
	events.ReloadDone.Log(context.Background(), n.log, slog.LevelInfo, "why", trigger)
}

// drainOnSignal waits for the stop signal and drains the router.
func (n *Node) drainOnSignal(ctx context.Context, term <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-term:
	}
	start := time.Now()
	n.draining.Store(true)
	n.handler.Drain()
	if n.sender != nil {
		n.sender.Stop()
		n.receiver.Drain()
	}
	events.DrainStarted.Log(ctx, n.log, slog.LevelInfo, "running", n.handler.InFlight())
	if !sleep(ctx, drainAcceptPeriod) {
		return ctx.Err()
	}
	n.handler.RefuseNew()
	shutdownCtx, cancel := context.WithDeadline(ctx, start.Add(n.settings.ShutdownGrace-shutdownMargin))
	defer cancel()
	// Shutdown closes the listener and idle connections and waits for the rest.
	err := n.callerServer.Shutdown(shutdownCtx)
	relayed := int64(0)
	if n.sender != nil {
		relayed = n.sender.Drain(shutdownCtx)
	}
	events.DrainEnded.Log(ctx, n.log, slog.LevelInfo, "cut", n.handler.InFlight(), "relayedCut", relayed, "tookMs", time.Since(start).Milliseconds(), "err", err)
	return nil
}

// sleep waits for d and reports whether ctx has not ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
