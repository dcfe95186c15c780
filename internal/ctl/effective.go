package ctl

import (
	"context"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/core/settings"
)

// effectiveCommand shows the values of a customer or group.
type effectiveCommand struct {
	deferred
	Version uint64 `long:"version-of" value-name:"VERSION" description:"a version other than the one in force"`
	File    string `long:"file" value-name:"FILE" description:"a file in place of the version in force"`
	Args    struct {
		Path string `positional-arg-name:"PATH" description:"such as trasladar/claims-desk"`
	} `positional-args:"yes" required:"yes"`
}

func (c *effectiveCommand) run(ctx context.Context, a *app) error {
	snap, err := c.snapshot(ctx, a)
	if err != nil {
		return err
	}
	values, ok := snap.Effective(c.Args.Path)
	if !ok {
		return &cli.UsageError{What: "no customer or group " + c.Args.Path}
	}
	return a.show(values, "KEY VALUE FROM", func(add func(...any)) {
		for _, v := range values {
			add(v.Key, v.Value, v.From)
		}
	})
}

func (c *effectiveCommand) snapshot(ctx context.Context, a *app) (*settings.Snapshot, error) {
	if c.File != "" {
		return fileArg{File: c.File}.build(1)
	}
	store, err := a.store()
	if err != nil {
		return nil, err
	}
	return load(ctx, store, c.Version)
}
