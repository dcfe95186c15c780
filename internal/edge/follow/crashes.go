package follow

import (
	"context"
	"log/slog"
	"time"

	"github.com/windscale/windscale/internal/events"
	"github.com/windscale/windscale/platform"
)

const (
	// blockedInterval is how often a router checks whether it has to write blocked contents to
	// the store, or read those that other routers blocked.
	blockedInterval = 200 * time.Millisecond
	// minBlockedPause is the minimum time between two such calls: each call has a price, while
	// every copy of a content that this router does not know to be blocked costs a server.
	minBlockedPause = time.Second
	// blockedName names the blocked contents in logs and metrics.
	blockedName = "blocked contents"
)

// readServers reads the list of servers and, unless they have been read before, the blocked contents:
// a router that accepts requests then knows what the fleet knew before it started. If the blocked
// contents can't be read because a part of the store is down, the list is returned nevertheless.
func (f *Follower) readServers(ctx context.Context) (platform.Change, error) {
	c, err := f.Store.ReadServers(ctx)
	if err != nil || f.State.HasReadCrashes() {
		return c, err
	}
	if err := f.readBlocked(ctx); err != nil {
		events.StoreEnds.Log(ctx, f.Log, slog.LevelWarn, "err", err)
	}
	return c, nil
}

// SyncBlocked keeps the store's list of blocked contents up to date, and reads the contents that
// other routers blocked while this one hears from few of them, until ctx ends.
func (f *Follower) SyncBlocked(ctx context.Context) error {
	t := time.NewTicker(blockedInterval)
	defer t.Stop()
	lost := false
	var lastCall time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if f.Now().Sub(lastCall) < minBlockedPause {
			continue
		}
		called, err := f.syncBlocked(ctx)
		if called {
			lastCall = f.Now()
		}
		if err != nil && !lost {
			events.StoreEnds.Log(ctx, f.Log, slog.LevelWarn, "err", err)
		}
		lost = err != nil || lost && !called
	}
}

// syncBlocked makes the call that is due, and reports whether there was one.
func (f *Follower) syncBlocked(ctx context.Context) (called bool, _ error) {
	write, remove := f.State.CrashesToStore()
	if !f.WritesForOthers() {
		f.State.MarkCrashesStored(nil, remove) // other routers remove them
		remove = nil
	}
	if len(write)+len(remove) > 0 {
		written, removed, err := f.Store.WriteBlocked(ctx, write, remove)
		if err != nil {
			return true, err
		}
		f.State.MarkCrashesStored(written, removed)
		return true, nil
	}
	if f.State.Ready() && !f.State.HasReadCrashes() || f.State.CrashedSinceRead() && f.HearsTooFew() {
		return true, f.readBlocked(ctx)
	}
	return false, nil
}

// readBlocked reads the blocked contents.
func (f *Follower) readBlocked(ctx context.Context) error {
	records, badRows, err := f.Store.ReadBlocked(ctx)
	if err != nil {
		return err
	}
	for _, row := range badRows {
		f.Meter.BadRow(blockedName)
		events.StoreRowBad.Log(ctx, f.Log, slog.LevelError, "what", blockedName, "key", row.Key, "err", row.Err)
	}
	if len(records) > 0 {
		f.State.MergeCrashes(records).Log(f.Log, "store")
	}
	f.State.MarkCrashesRead()
	return nil
}
