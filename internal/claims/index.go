package claims

import (
	"context"
	"time"

	"github.com/windscale/windscale/internal/core/claim"
	"github.com/windscale/windscale/internal/platform"
)

// index writes the index of the claims, by which they are found when they are
// over. It belongs to the goroutine of Run.
type index struct {
	table platform.Table
	now   func() time.Time
	core  *claim.Index

	keep  int64         // the latest of the batch, Unix ms
	page  *platform.Row // that the batch's claims go to, as last read; nil: not known
	begun claim.Hour    // the hour in which old state was dropped last
}

// newIndex returns the index of a run that has written nothing yet.
func newIndex(table platform.Table, writer claim.Writer, now func() time.Time) *index {
	return &index{table: table, now: now, core: claim.NewIndex(writer)}
}

// hour is that of the batch's claims.
func (x *index) hour() claim.Hour { return x.core.Hour(x.keep) }

// readWith reads the rows of a batch, and in the same call the page for its
// claims, if it has any (keep, Unix ms, is not 0).
func (x *index) readWith(ctx context.Context, keys []string, keep int64) ([]platform.Row, error) {
	x.keep, x.page = keep, nil
	if keep == 0 {
		return x.table.Read(ctx, keys...)
	}
	x.forget()
	rows, err := x.table.Read(ctx, append(keys, x.core.PageKey(x.hour()))...)
	if err != nil {
		return nil, err
	}
	x.page = &rows[len(keys)]
	return rows[:len(keys)], nil
}

// forget drops the state of hours that are over, once an hour.
func (x *index) forget() {
	now := x.now().UnixMilli()
	if h := claim.HourOf(now); h != x.begun {
		x.begun = h
		x.core.Prune(now)
	}
}

// register makes sure that the hour's manifest names this writer, before any of
// its pages is written.
func (x *index) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	for !x.core.Registered(x.hour()) {
		if err := x.registerOnce(ctx); err != nil {
			return err
		}
	}
	return nil
}

// registerOnce reads the manifest and writes it if it lacks the writer. Whether
// that took effect is then seen by reading again: routers come to a new hour
// together, so that conflicts are no failure.
func (x *index) registerOnce(ctx context.Context) error {
	hour := x.hour()
	rows, err := x.table.Read(ctx, x.core.RegisterKeys(hour)...)
	if err != nil {
		return err
	}
	changes, err := x.core.Register(x.now().UnixMilli(), hour, stored(rows))
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		x.page = nil // the hour may be another now
		return nil
	}
	err = x.table.Commit(ctx, writes(changes)...)
	if kind := platform.KindOf(err); kind == platform.KindConflict || kind == platform.KindUnknown {
		return nil
	}
	return err
}

// name returns the write that adds claims to the page. It is used once: the
// page's next version is not known before it is read.
func (x *index) name(ctx context.Context, keys []claim.Key) (platform.Write, error) {
	page := x.page
	x.page = nil
	if page == nil {
		rows, err := x.table.Read(ctx, x.core.PageKey(x.hour()))
		if err != nil {
			return platform.Write{}, err
		}
		page = &rows[0]
	}
	change, err := x.core.AddKeys(x.hour(), claim.StoredRow(*page), keys)
	return platform.Write(change), err
}

// stored gives rows as the core knows them.
func stored(rows []platform.Row) []claim.StoredRow {
	out := make([]claim.StoredRow, len(rows))
	for i, r := range rows {
		out[i] = claim.StoredRow(r)
	}
	return out
}

// writes gives changes as the table knows them.
func writes(changes []claim.Change) []platform.Write {
	out := make([]platform.Write, len(changes))
	for i, c := range changes {
		out[i] = platform.Write(c)
	}
	return out
}
