package ctl

import (
	"context"

	"github.com/windscale/windscale/internal/settingsstore"
)

// statusCommand shows the routers and whether the settings are in force.
type statusCommand struct {
	deferred
	Edge []string `long:"edge" value-name:"IP:PORT" description:"metrics address of a windscale-edge on the users' platform: show those in place of the fleet's routers; may be given several times"`
}

// fleet is the output in JSON.
type fleet struct {
	Head      *settingsstore.Record `json:"head"` // nil: none, or not readable
	HeadError string                `json:"headError,omitempty"`
	Routers   []router              `json:"routers"`
}

func (c *statusCommand) run(ctx context.Context, a *app) error {
	if len(c.Edge) > 0 {
		return c.edges(ctx, a)
	}
	if _, err := a.admin(); err != nil {
		return err
	}
	store, err := a.store()
	if err != nil {
		return err
	}
	var f fleet
	f.Head, f.HeadError = readHead(ctx, store)
	if f.Routers, err = a.routers(ctx); err != nil {
		return err
	}
	if !a.json() {
		a.printHead(f)
	}
	return a.show(f, "ROUTER DC STATE SETTINGS IN-FORCE RUNNING WAITING MEMBERS", func(add func(...any)) {
		for _, r := range f.Routers {
			if r.Status == nil {
				add(r.ID, "?", "no answer", "?", "?", "?", "?", "?")
				continue
			}
			s := r.Status
			add(r.ID, s.DataCentre, state(r), s.SettingsVersion, inForce(s.SettingsVersion, f), s.Running, s.Waiting, len(s.Members))
		}
	})
}

func readHead(ctx context.Context, store *settingsstore.Store) (*settingsstore.Record, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, err := store.Head(ctx)
	if err != nil {
		return nil, err.Error()
	}
	return head, ""
}

func (a *app) printHead(f fleet) {
	switch {
	case f.HeadError != "":
		a.printf(a.out, "settings: the version accepted last can't be read: %s\n", f.HeadError)
	case f.Head == nil:
		a.printf(a.out, "settings: none accepted yet\n")
	default:
		a.printf(a.out, "settings: version %d by %s at %s\n", f.Head.Version, f.Head.Editor, f.Head.Time.Format(timeForm))
	}
}

func state(r router) string {
	switch {
	case r.Status.Draining:
		return "draining"
	case r.Leaving:
		return "leaving"
	case r.Status.Ready:
		return "ready"
	}
	return "not ready"
}

// inForce says whether a router has the version accepted last. A router may
// have read a newer head than this command.
func inForce(version uint64, f fleet) string {
	switch {
	case f.HeadError != "":
		return "?"
	case f.Head != nil && version < f.Head.Version:
		return "lagging"
	}
	return "yes"
}
