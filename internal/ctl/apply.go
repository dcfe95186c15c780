package ctl

import (
	"context"
	"time"

	"github.com/windscale/windscale/internal/cli"
	"github.com/windscale/windscale/internal/core/settings"
	"github.com/windscale/windscale/internal/settingsstore"
)

const acceptTimeout = 30 * time.Second

// editFlags are common to the commands that make a new version.
type editFlags struct {
	Base       *uint64       `long:"base" value-name:"VERSION" description:"the version that the change starts from; needed once there is one"`
	Note       string        `long:"note" description:"why, for the history"`
	Editor     string        `long:"editor" env:"USER" description:"who, for the history"`
	EditID     string        `long:"edit-id" description:"ID of an unsettled change that is given again"`
	RemoveLive bool          `long:"remove-live" description:"allow removing customers whose keys are live"`
	Wait       time.Duration `long:"wait" default:"10s" description:"time to be in force on every live router; 0s: don't wait"`
}

// begin reads what is in force and returns it with the edit that the flags
// describe.
func (f *editFlags) begin(ctx context.Context, a *app) (current, settingsstore.Edit, error) {
	now, err := a.current(ctx)
	if err != nil {
		return now, settingsstore.Edit{}, err
	}
	e, err := f.edit(now.head)
	return now, e, err
}

// edit returns the edit that the flags describe. Without a base it would
// silently undo what others changed since the operator's copy was made.
func (f *editFlags) edit(head *settingsstore.Record) (settingsstore.Edit, error) {
	e := settingsstore.Edit{
		ID:         f.EditID,
		Editor:     f.Editor,
		Note:       f.Note,
		RemoveLive: f.RemoveLive,
	}
	if f.Base == nil && head != nil {
		return e, &cli.UsageError{What: "--base is needed: the version that the change starts from; in force is " + versionText(head.Version)}
	}
	if f.Base != nil {
		e.Base = *f.Base
	}
	if e.Editor == "" {
		e.Editor = "unknown"
	}
	if e.ID == "" {
		e.ID = settingsstore.NewEditID()
	}
	return e, nil
}

// applyCommand puts a file in force and waits until it is so everywhere.
type applyCommand struct {
	deferred
	editFlags
	Args fileArg `positional-args:"yes" required:"yes"`
}

// applied is the output in JSON.
type applied struct {
	Record    settingsstore.Record `json:"record"`
	Unchanged bool                 `json:"unchanged"`
	Changes   []change             `json:"changes"`
	Waited    bool                 `json:"waited"`
	InForce   []string             `json:"inForce"` // routers
	Lagging   []string             `json:"lagging"`
	Seconds   float64              `json:"seconds"` // from the acceptance to now
}

func (c *applyCommand) run(ctx context.Context, a *app) error {
	next, err := c.Args.build(1) // faults of the text come before all else
	if err != nil {
		return err
	}
	now, e, err := c.begin(ctx, a)
	if err != nil {
		return err
	}
	e.Source = next.Source
	return a.putInForce(ctx, c.Wait, settings.Diff(now.snap, next), func(ctx context.Context) (settingsstore.Accepted, error) {
		return now.store.Accept(ctx, e)
	})
}

// putInForce accepts a version and waits until it is in force.
func (a *app) putInForce(ctx context.Context, wait time.Duration, changes []settings.Change, accept func(context.Context) (settingsstore.Accepted, error)) error {
	if _, err := a.admin(); wait > 0 && err != nil {
		return err
	}
	accepting, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	done, err := accept(accepting)
	if err != nil {
		return err
	}
	out := applied{Record: done.Record, Unchanged: done.Unchanged, Changes: []change{}, Waited: wait > 0, InForce: []string{}, Lagging: []string{}}
	if !done.Unchanged {
		out.Changes = changesOf(changes)
	}
	if !a.json() {
		a.printAccepted(done, changes)
	}
	start := time.Now()
	if wait > 0 {
		err = a.waitInForce(ctx, done.Record.Version, wait, &out)
	}
	out.Seconds = time.Since(start).Seconds()
	if a.json() {
		if jsonErr := a.showJSON(out); jsonErr != nil {
			return jsonErr
		}
	} else if err == nil && wait > 0 {
		a.printf(a.out, "version %d is in force on all %d live routers after %.1f s\n", done.Record.Version, len(out.InForce), out.Seconds)
	}
	return err
}

func (a *app) printAccepted(done settingsstore.Accepted, changes []settings.Change) {
	if done.Unchanged {
		a.printf(a.out, "version %d has this text already\n", done.Record.Version)
		return
	}
	a.printf(a.out, "accepted as version %d:\n", done.Record.Version)
	a.printChanges(a.out, changes)
}
