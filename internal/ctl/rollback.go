package ctl

import (
	"context"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/settingsstore"
)

// rollbackCommand puts an earlier version's text in force as a new version.
type rollbackCommand struct {
	deferred
	editFlags
	Args struct {
		Version uint64 `positional-arg-name:"VERSION" description:"whose text comes in force again"`
	} `positional-args:"yes" required:"yes"`
}

func (c *rollbackCommand) run(ctx context.Context, a *app) error {
	now, e, err := c.begin(ctx, a)
	if err != nil {
		return err
	}
	old, err := load(ctx, now.store, c.Args.Version)
	if err != nil {
		return err
	}
	return a.putInForce(ctx, c.Wait, settings.Diff(now.snap, old), func(ctx context.Context) (settingsstore.Accepted, error) {
		return now.store.Rollback(ctx, c.Args.Version, e)
	})
}
