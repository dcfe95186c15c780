package ctl

import (
	"context"
	"errors"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/settingsstore"
)

// current is what a command finds in force when it begins.
type current struct {
	store *settingsstore.Store
	head  *settingsstore.Record // nil before the first version
	// snap is nil too when this release's checks have faults in the version.
	snap *settings.Snapshot
}

// version is 0 before the first version.
func (c current) version() uint64 {
	if c.head == nil {
		return 0
	}
	return c.head.Version
}

// current reads the version in force.
func (a *app) current(ctx context.Context) (current, error) {
	store, err := a.store()
	if err != nil {
		return current{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, err := store.Head(ctx)
	if err != nil {
		return current{}, err
	}
	now := current{store: store, head: head}
	now.snap, err = store.Snapshot(ctx, head)
	var invalid *settingsstore.InvalidError
	if errors.As(err, &invalid) {
		a.printf(a.note, "%v; no changes can be shown\n", err)
		return now, nil
	}
	return now, err
}
