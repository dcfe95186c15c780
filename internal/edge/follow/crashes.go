package follow

import (
	"context"
	"log/slog"
	"time"

	"github.com/windscale/windscale/internal/core/poison"
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
	// isolatedReadInterval is how often a router that hears too few others reads what they blocked. It
	// would otherwise learn of it by losing a server.
	isolatedReadInterval = 1500 * time.Millisecond
)

// blockedNames names what is blocked in logs and metrics.
var blockedNames = [poison.KindCount]string{poison.Contents: "blocked contents", poison.Parts: "blocked parts"}

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
	lastCall := f.Now().Add(-minBlockedPause)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if f.Now().Sub(lastCall) < minBlockedPause {
			continue
		}
		called, err := f.syncBlocked(ctx, f.Now().Sub(lastCall))
		if called {
			lastCall = f.Now()
		}
		if err != nil && !lost {
			events.StoreEnds.Log(ctx, f.Log, slog.LevelWarn, "err", err)
		}
		lost = err != nil || lost && !called
	}
}

// syncBlocked makes the calls that are due, the last of which was made at the given time before, and
// reports whether there was one.
func (f *Follower) syncBlocked(ctx context.Context, sinceLast time.Duration) (called bool, _ error) {
	for kind := range poison.KindCount {
		wrote, err := f.writeBlocked(ctx, kind)
		if err != nil {
			return true, err
		}
		called = called || wrote
	}
	if called {
		return true, nil
	}
	isDue := sinceLast >= isolatedReadInterval || f.State.CrashedSinceRead()
	if f.State.Ready() && (!f.State.HasReadCrashes() || isDue && f.HearsTooFew()) {
		return true, f.readBlocked(ctx)
	}
	return false, nil
}

// writeBlocked writes what this router has to write, and reports whether there was anything.
func (f *Follower) writeBlocked(ctx context.Context, kind poison.Kind) (called bool, _ error) {
	write, remove := f.State.CrashesToStore(kind)
	if !f.WritesForOthers() {
		f.State.MarkCrashesStored(kind, nil, remove) // other routers remove them
		remove = nil
	}
	if len(write)+len(remove) == 0 {
		return false, nil
	}
	written, removed, err := f.Store.WriteBlocked(ctx, kind, write, remove)
	if err != nil {
		return true, err
	}
	f.State.MarkCrashesStored(kind, written, removed)
	return true, nil
}

// readBlocked reads the blocked contents and parts.
func (f *Follower) readBlocked(ctx context.Context) error {
	for kind := range poison.KindCount {
		records, badRows, err := f.Store.ReadBlocked(ctx, kind)
		if err != nil {
			return err
		}
		for _, row := range badRows {
			f.Meter.BadRow(blockedNames[kind])
			events.StoreRowBad.Log(ctx, f.Log, slog.LevelError, "what", blockedNames[kind], "key", row.Key, "err", row.Err)
		}
		if len(records) > 0 {
			f.State.MergeCrashes(kind, records).Log(f.Log, "store")
		}
	}
	f.State.MarkCrashesRead()
	return nil
}
