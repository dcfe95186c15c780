package ctl

import (
	"context"
	"strconv"

	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/settingsstore"
)

// showCommand prints the text of a version as it was given.
type showCommand struct {
	deferred
	Args struct {
		Version uint64 `positional-arg-name:"VERSION" description:"the one in force if not given"`
	} `positional-args:"yes"`
}

// shown is the output in JSON.
type shown struct {
	Record settingsstore.Record `json:"record"`
	Source string               `json:"source"`
}

func (c *showCommand) run(ctx context.Context, a *app) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := find(ctx, store, c.Args.Version)
	if err != nil {
		return err
	}
	source, err := store.Source(ctx, r)
	if err != nil {
		return err
	}
	if a.json() {
		return a.showJSON(shown{*r, string(source)})
	}
	a.printf(a.note, "version %d by %s at %s\n", r.Version, r.Editor, r.Time.Format(timeForm))
	a.printf(a.out, "%s", source)
	return nil
}

// find returns the record of a version; 0 is the one in force.
func find(ctx context.Context, store *settingsstore.Store, version uint64) (*settingsstore.Record, error) {
	if version != 0 {
		return store.Record(ctx, version)
	}
	head, err := store.Head(ctx)
	if err == nil && head == nil {
		return nil, &settingsstore.NoVersionError{}
	}
	return head, err
}

// load returns a version as a tree; 0 is the one in force.
func load(ctx context.Context, store *settingsstore.Store, version uint64) (*settings.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := find(ctx, store, version)
	if err != nil {
		return nil, err
	}
	return store.Snapshot(ctx, r)
}

func versionText(v uint64) string { return strconv.FormatUint(v, 10) }
