package ctl

import (
	"context"
	"errors"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/settingsstore"
)

// diffCommand shows what a file would change in the version in force.
type diffCommand struct {
	deferred
	Args fileArg `positional-args:"yes" required:"yes"`
}

// diffed is the output in JSON.
type diffed struct {
	Version uint64   `json:"version"`
	Changes []change `json:"changes"`
}

func (c *diffCommand) run(ctx context.Context, a *app) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	head, snap, err := a.readInForce(ctx, store)
	if err != nil {
		return err
	}
	version := versionOf(head)
	next, err := c.Args.build(version + 1)
	if err != nil {
		return err
	}
	changes := settings.Diff(snap, next)
	if a.json() {
		return a.showJSON(diffed{version, changesOf(changes)})
	}
	a.printf(a.out, "Against version %d:\n", version)
	a.printChanges(a.out, changes)
	return nil
}

// readInForce returns the version in force, nil before the first. The tree is
// nil too when this release's checks have faults in the version.
func (a *app) readInForce(ctx context.Context, store *settingsstore.Store) (*settingsstore.Record, *settings.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, err := store.Head(ctx)
	if err != nil {
		return nil, nil, err
	}
	snap, err := store.Snapshot(ctx, head)
	var invalid *settingsstore.InvalidError
	if errors.As(err, &invalid) {
		a.printf(a.note, "%v; no changes can be shown\n", err)
		return head, nil, nil
	}
	return head, snap, err
}

func versionOf(r *settingsstore.Record) uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}
