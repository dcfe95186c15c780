package ctl

import (
	"context"

	"github.com/windscale/windscale/internal/core/settings"
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
	now, err := a.current(ctx)
	if err != nil {
		return err
	}
	version := now.version()
	next, err := c.Args.build(version + 1)
	if err != nil {
		return err
	}
	changes := settings.Diff(now.snap, next)
	if a.json() {
		return a.showJSON(diffed{version, changesOf(changes)})
	}
	a.printf(a.out, "Against version %d:\n", version)
	a.printChanges(a.out, changes)
	return nil
}
