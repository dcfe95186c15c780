package ctl

import (
	"context"
	"time"

	"github.com/windscale/windscale/internal/settingsstore"
)

const (
	timeForm    = time.RFC3339
	shortDigest = 12 // hexadecimal digits shown
)

// historyCommand lists the accepted versions, the newest first.
type historyCommand struct {
	deferred
	Limit int `long:"limit" default:"20" description:"how many versions"`
}

func (c *historyCommand) run(ctx context.Context, a *app) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := store.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	if all == nil {
		all = []settingsstore.Record{}
	}
	return a.show(all, "VERSION TIME EDITOR DIGEST ROLLBACK-OF NOTE", func(add func(...any)) {
		for _, r := range all {
			of := ""
			if r.RollbackOf != 0 {
				of = versionText(r.RollbackOf)
			}
			add(r.Version, r.Time.Format(timeForm), r.Editor, r.Digest.String()[:shortDigest], of, r.Note)
		}
	})
}
